package gather

import (
	"cmp"
	"slices"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/store"
)

const (
	// callRows is the most rows that the table takes in one call.
	callRows = 100
	// callBytes of rows are well below the 1 MB of one call, in which values take four thirds.
	callBytes = 600 << 10
)

// item are rows of one request that wait.
type item struct {
	rows     []store.Row
	bytes    int
	arrived  time.Time
	deadline time.Time
	outcome  chan Outcome // has room for one
}

// part is that of the rows of an item, which share it.
func (i *item) part() string { return i.rows[0].Part }

// pick takes what goes in the next call out of what waits: by earliest deadline, as much as one
// call takes. Of items with the same rows, which a turn that was sent twice makes, one goes.
func pick(waiting []*item) (picked, rest []*item) {
	ordered := slices.SortedStableFunc(slices.Values(waiting), func(a, b *item) int { return a.deadline.Compare(b.deadline) })
	rows, bytes := 0, 0
	taken := map[store.Key]bool{}
	for _, next := range ordered {
		first := next.rows[0].Key
		fits := rows+len(next.rows) <= callRows && bytes+next.bytes <= callBytes
		if taken[first] || !fits && len(picked) > 0 {
			rest = append(rest, next)
			continue
		}
		taken[first] = true
		picked = append(picked, next)
		rows += len(next.rows)
		bytes += next.bytes
	}
	return picked, rest
}

// byPart divides items by the part of their rows.
func byPart(items []*item) [][]*item {
	ordered := slices.SortedStableFunc(slices.Values(items), func(a, b *item) int { return cmp.Compare(a.part(), b.part()) })
	var divided [][]*item
	for index, next := range ordered {
		if index == 0 || next.part() != ordered[index-1].part() {
			divided = append(divided, nil)
		}
		divided[len(divided)-1] = append(divided[len(divided)-1], next)
	}
	return divided
}

// transactionOf writes the rows of all items.
func transactionOf(items []*item) (transaction store.Transaction) {
	for _, next := range items {
		transaction.Put = append(transaction.Put, next.rows...)
	}
	return transaction
}
