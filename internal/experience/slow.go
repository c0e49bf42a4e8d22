package experience

import "time"

const (
	// slowFrom is how many times as long as the median a token must take to count as slow.
	slowFrom = 1.3
	// enoughPaced is the weight of measurements that tell a worker's pace.
	enoughPaced = 2.0
	// slowTrialEvery is the time between two trials of a slow worker that gets few requests, and
	// slowUntried after how long without a measurement it is taken to be like others.
	slowTrialEvery = 500 * time.Millisecond
	slowUntried    = 5 * time.Second
	// fewestPaced is how many workers must have shown their pace for one to be slow.
	fewestPaced = 3
	// costOfFailure is what a sure failure is taken to cost: the time until another worker is asked.
	costOfFailure = 200 * time.Millisecond
	// costOfSilence is how long a request without a first event waits before it is looked after.
	costOfSilence = 200 * time.Millisecond
)

// pace is the median over nodes of what a token takes at a worker; a node that is slow itself sees
// all workers slow. known is false if too little was seen.
func (w *worker) pace(now time.Time) (step float64, known bool) {
	paces := make([]weighed, 0, len(w.cells))
	total := 0.0
	for _, told := range w.cells {
		told.pace.age(now)
		if told.pace.weight > 0 {
			paces = append(paces, weighed{float64(told.pace.mean), told.pace.weight})
			total += told.pace.weight
		}
	}
	return median(paces), total >= enoughPaced
}

// judgePaces finds the slow workers of a group, and what sending a request to each costs.
func (b *Board) judgePaces(workers []*worker, now time.Time) {
	steps := make([]weighed, 0, len(workers))
	for _, known := range workers {
		known.step = 0
		if step, ok := known.pace(now); ok {
			known.step = step
			steps = append(steps, weighed{step, 1})
		}
	}
	usual := median(steps)
	fellows := fellowShare(workers, now)
	silent := fellowSilence(workers)
	for _, known := range workers {
		known.judgePace(usual, len(steps), now)
		known.cost = known.costBeside(fellows, silent)
	}
}

// judgePace decides whether a worker is slow beside what is usual for so many. One that gets no
// requests because it was slow stays so until a trial shows otherwise.
func (w *worker) judgePace(usual float64, shown int, now time.Time) {
	switch {
	case w.step == 0 && now.Sub(w.pacedAt) < slowUntried:
		return
	case w.step == 0 || shown < fewestPaced || w.step < slowFrom*usual:
		w.slow = 0
	default:
		w.slow = w.step / usual
	}
	w.pacedAt = now
}

// tryPace reports whether the asker may send a slow worker one request.
func (w *worker) tryPace(now time.Time) bool {
	if w.slow == 0 || now.Before(w.nextPaced) {
		return false
	}
	w.nextPaced = now.Add(slowTrialEvery)
	return true
}

// fellowSilence is the median share of silences of workers.
func fellowSilence(workers []*worker) float64 {
	shares := make([]weighed, 0, len(workers))
	for _, known := range workers {
		if known.recent.requests+known.recent.silences >= leastUse {
			shares = append(shares, weighed{known.recent.silenceShare(), 1})
		}
	}
	return median(shares)
}

// costBeside is what a worker's failures and silences cost beyond those of its fellows; 0 unless
// they are clearly more.
func (w *worker) costBeside(failures, silences float64) time.Duration {
	cost := time.Duration(0)
	if more := w.charged.share - aboveFellows*failures; w.charged.against > enoughAgainst/2 && more > 0 {
		cost += time.Duration(more * float64(costOfFailure))
	}
	if more := w.recent.silenceShare() - silences; w.recent.silences >= 1 && more >= clearlyWorse {
		cost += time.Duration(more * float64(costOfSilence))
	}
	return cost
}
