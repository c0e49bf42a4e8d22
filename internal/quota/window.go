package quota

import "time"

// steps is into how many parts a window is divided that is counted. A request counts until
// the part in which it was lent has left the window whole: up to a fiftieth too long.
const steps = 50

// window counts what was lent in the last window of time.
type window struct {
	counts [steps + 1]uint32 // by step, in a ring
	step   int64             // the newest counted
	total  int
}

// advance drops what has left the window. step numbers the present one; it never falls.
func (w *window) advance(step int64) {
	if step-w.step > steps {
		w.counts, w.total = [steps + 1]uint32{}, 0
		w.step = step
		return
	}
	for w.step < step {
		w.step++
		index := w.step % (steps + 1)
		w.total -= int(w.counts[index])
		w.counts[index] = 0
	}
}

// add counts requests in the present step.
func (w *window) add(count int) {
	w.counts[w.step%(steps+1)] += uint32(count)
	w.total += count
}

// since counts what was lent in the newest part of the window, which is whole long.
func (w *window) since(part, whole time.Duration) (count int) {
	newest := int64(part * steps / whole)
	for back := range newest {
		if w.step < back {
			break
		}
		count += int(w.counts[(w.step-back)%(steps+1)])
	}
	return count
}

// untilFree is in how many steps so many requests will have left the window.
func (w *window) untilFree(count int) int64 {
	freed := 0
	for ahead := int64(1); ahead <= steps; ahead++ {
		freed += int(w.counts[(w.step+ahead)%(steps+1)])
		if freed >= count {
			return ahead
		}
	}
	return steps
}

// stepOf numbers the step of a moment, counted from an origin.
func stepOf(origin, now time.Time, whole time.Duration) int64 {
	return int64(now.Sub(origin) / (whole / steps))
}
