package quota

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// windowModel is the reference model: the steps in which permits are used.
type windowModel struct{ uses []int64 }

// in counts the uses in the window that ends with a step.
func (c windowModel) in(step int64) (count int) {
	for _, use := range c.uses {
		if use <= step && use >= step-steps {
			count++
		}
	}
	return count
}

// Guards against windows that hold more than the maximum, totals that differ from the model,
// and permits that are delayed longer than necessary.
func TestWindowCounterMatchesModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var w windowCounter
		var model windowModel
		most := rapid.IntRange(1, 20).Draw(rt, "most")
		now := int64(0)
		fits := func(ahead int64) bool {
			for step := now + ahead; step <= now+ahead+steps; step++ {
				if model.in(step)+1 > most {
					return false
				}
			}
			return true
		}
		for range rapid.IntRange(1, 80).Draw(rt, "requests") {
			now += rapid.SampledFrom([]int64{0, 0, 0, 1, 3, 17, steps, 2 * ringSize}).Draw(rt, "passed")
			w.advance(now)
			require.Equal(rt, model.in(now), w.total)
			ahead, ok := w.earliest(float64(most))
			if !ok {
				require.False(rt, fits(stepsAhead))
				continue
			}
			require.True(rt, fits(ahead))
			require.True(rt, ahead == 0 || !fits(ahead-1), "a permit would also fit before %d steps ahead", ahead)
			w.add(ahead)
			model.uses = append(model.uses, now+ahead)
		}
	})
}
