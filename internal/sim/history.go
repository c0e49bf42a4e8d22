package sim

import (
	"slices"

	"github.com/cloverwheel/cloverwheel/internal/id"
)

const (
	// historySize bounds the programs remembered per template.
	historySize = 256
	// historyLeast is how many ended programs make an estimate.
	historyLeast = 10
)

// history learns from ended programs how much service those of a template take.
type history struct {
	totals map[id.Template][]int // sorted
	oldest map[id.Template][]int // in order of their ends
}

func newHistory() *history {
	return &history{totals: map[id.Template][]int{}, oldest: map[id.Template][]int{}}
}

// add notes the whole service of an ended program.
func (h *history) add(template id.Template, total int) {
	h.oldest[template] = append(h.oldest[template], total)
	sorted := h.totals[template]
	if len(h.oldest[template]) > historySize {
		gone := h.oldest[template][0]
		h.oldest[template] = h.oldest[template][1:]
		at, _ := slices.BinarySearch(sorted, gone)
		sorted = slices.Delete(sorted, at, at+1)
	}
	at, _ := slices.BinarySearch(sorted, total)
	h.totals[template] = slices.Insert(sorted, at, total)
}

// remaining is the mean rest of the programs that took more than attained, or
// zero if nothing is known.
func (h *history) remaining(template id.Template, attained int) int {
	sorted := h.totals[template]
	if len(sorted) < historyLeast {
		return 0
	}
	at, _ := slices.BinarySearch(sorted, attained+1)
	longer := sorted[at:]
	if len(longer) == 0 {
		return attained
	}
	sum := 0
	for _, total := range longer {
		sum += total - attained
	}
	return sum / len(longer)
}
