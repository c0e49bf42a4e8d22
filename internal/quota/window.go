package quota

import "time"

const (
	// steps is the number of parts of a window. A permit counts until the whole step in which
	// it was issued has left the window, so up to a fiftieth of the window too long.
	steps = 50
	// stepsAhead is how many steps ahead permits may be booked.
	stepsAhead = 10
	// ringSize is the number of steps that are stored.
	ringSize = steps + 1 + stepsAhead
)

// windowCounter counts the permits of the last window, and those booked for later steps.
type windowCounter struct {
	counts [ringSize]uint32 // by step, as a ring buffer
	step   int64            // the current step
	total  int              // permits in the window that ends now
	booked int              // permits of later steps
}

// at returns the counter of a step of the window, or of one ahead of it.
func (w *windowCounter) at(step int64) *uint32 {
	return &w.counts[((step%ringSize)+ringSize)%ringSize]
}

// advance moves to a step and drops what has left the window. step must not decrease.
func (w *windowCounter) advance(step int64) {
	if step-w.step >= ringSize {
		*w = windowCounter{step: step}
		return
	}
	for w.step < step {
		w.step++
		leaving := w.at(w.step - steps - 1)
		w.total -= int(*leaving)
		*leaving = 0 // the ring entry now holds the last step ahead
		entering := int(*w.at(w.step))
		w.total += entering
		w.booked -= entering
	}
}

// add counts a permit that is used the given number of steps ahead; 0 is the current step.
func (w *windowCounter) add(ahead int64) {
	*w.at(w.step + ahead)++
	if ahead == 0 {
		w.total++
		return
	}
	w.booked++
}

// earliest returns the smallest number of steps ahead at which one more permit may be added
// without any window, bookings included, holding more than most. ok is false if that is beyond
// stepsAhead.
func (w *windowCounter) earliest(most float64) (ahead int64, ok bool) {
	held := w.total
	for step := int64(0); step <= stepsAhead; step++ {
		if step > 0 {
			held += w.change(step)
		}
		if float64(held+1) > most {
			ahead = step + 1
		}
	}
	return ahead, ahead <= stepsAhead
}

// change returns by how much the window that ends the given number of steps ahead holds more
// than the one that ends a step earlier.
func (w *windowCounter) change(ahead int64) int {
	entering := 0
	if ahead <= stepsAhead {
		entering = int(*w.at(w.step + ahead))
	}
	return entering - int(*w.at(w.step + ahead - steps - 1))
}

// recent counts the permits of the newest part of a window whose full length is whole.
func (w *windowCounter) recent(part, whole time.Duration) (count int) {
	for back := range int64(part * steps / whole) {
		count += int(*w.at(w.step - back))
	}
	return count
}

// untilFree returns the number of steps until the window holds count fewer permits; at most
// steps.
func (w *windowCounter) untilFree(count int) int64 {
	for ahead := int64(1); ahead <= steps; ahead++ {
		count += w.change(ahead)
		if count <= 0 {
			return ahead
		}
	}
	return steps
}

// stepOf returns the number of the step that contains a time, counted from origin.
func stepOf(origin, now time.Time, whole time.Duration) int64 {
	return int64(now.Sub(origin) / (whole / steps))
}

// startOf returns the time at which a step begins.
func startOf(origin time.Time, step int64, whole time.Duration) time.Time {
	return origin.Add(time.Duration(step) * (whole / steps))
}
