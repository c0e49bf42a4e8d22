package cache

// Cause says why computed context was never used again.
type Cause string

// The causes of waste.
const (
	Evicted     Cause = "evicted"      // by the engine
	EndedUnused Cause = "ended_unused" // the program ended without using it again
	Dropped     Cause = "dropped"      // by our own decision
	LostWorker  Cause = "lost_worker"  // with the worker's memory
)

// Causes lists all causes.
var Causes = []Cause{Evicted, EndedUnused, Dropped, LostWorker}

// Waste counts tokens of context: all that were computed, those of them that
// were reused, and by cause those that were not and are gone. What is still
// cached and not yet reused is in Computed only.
type Waste struct {
	Computed    int64
	Reused      int64
	Evicted     int64
	EndedUnused int64
	Dropped     int64
	LostWorker  int64
}

func (w *Waste) add(cause Cause, tokens int) {
	switch cause {
	case Evicted:
		w.Evicted += int64(tokens)
	case EndedUnused:
		w.EndedUnused += int64(tokens)
	case Dropped:
		w.Dropped += int64(tokens)
	case LostWorker:
		w.LostWorker += int64(tokens)
	}
}

// By returns the tokens wasted by a cause.
func (w Waste) By(cause Cause) int64 {
	switch cause {
	case Evicted:
		return w.Evicted
	case EndedUnused:
		return w.EndedUnused
	case Dropped:
		return w.Dropped
	default:
		return w.LostWorker
	}
}

// Total sums all causes.
func (w Waste) Total() int64 { return w.Evicted + w.EndedUnused + w.Dropped + w.LostWorker }
