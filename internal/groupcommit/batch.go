package groupcommit

import (
	"cmp"
	"slices"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/store"
)

const (
	// maxBatchRows is the most rows that the table accepts in one transaction.
	maxBatchRows = 100
	// maxBatchBytes leaves a margin for the encoding of values, which adds a third, below the table's
	// limit of 1 MB per transaction.
	maxBatchBytes = 600 << 10
)

// pendingRequest is a request whose rows wait to be committed.
type pendingRequest struct {
	rows     []store.Row
	bytes    int
	arrived  time.Time
	deadline time.Time
	outcome  chan Outcome // buffered, capacity 1
}

// partition returns the partition that all rows of the request belong to.
func (p *pendingRequest) partition() string { return p.rows[0].Part }

// selectBatch splits pending requests into those of the next commit and the rest: earliest
// deadline first, up to the limits of one transaction. Of requests whose first row has the same
// key, as after a retried turn, a batch contains only one.
func selectBatch(pending []*pendingRequest) (batch, rest []*pendingRequest) {
	ordered := slices.SortedStableFunc(slices.Values(pending), func(a, b *pendingRequest) int { return a.deadline.Compare(b.deadline) })
	rows, bytes := 0, 0
	selected := map[store.Key]bool{}
	for _, next := range ordered {
		first := next.rows[0].Key
		fits := rows+len(next.rows) <= maxBatchRows && bytes+next.bytes <= maxBatchBytes
		if selected[first] || !fits && len(batch) > 0 {
			rest = append(rest, next)
			continue
		}
		selected[first] = true
		batch = append(batch, next)
		rows += len(next.rows)
		bytes += next.bytes
	}
	return batch, rest
}

// splitByPartition groups requests by the partition of their rows.
func splitByPartition(requests []*pendingRequest) [][]*pendingRequest {
	ordered := slices.SortedStableFunc(slices.Values(requests), func(a, b *pendingRequest) int { return cmp.Compare(a.partition(), b.partition()) })
	var partitions [][]*pendingRequest
	for index, next := range ordered {
		if index == 0 || next.partition() != ordered[index-1].partition() {
			partitions = append(partitions, nil)
		}
		partitions[len(partitions)-1] = append(partitions[len(partitions)-1], next)
	}
	return partitions
}

// buildTransaction returns a transaction that writes the rows of all requests.
func buildTransaction(requests []*pendingRequest) (transaction store.Transaction) {
	for _, next := range requests {
		transaction.Put = append(transaction.Put, next.rows...)
	}
	return transaction
}
