package experience

import (
	"slices"
	"time"
)

const (
	// judgeEvery is the time between two judgements of a group.
	judgeEvery = 100 * time.Millisecond
	// verdictLasts is for how long a verdict counts at a node that hears no other.
	verdictLasts = time.Second
	// tellClear is for how long nodes are told that nothing speaks against a worker any more.
	tellClear = 3 * time.Second
	// forgetAfter is how long after the last word of it a node or a worker is forgotten.
	forgetAfter = 10 * time.Second
	// mostWorkers and mostNodes bound what a board holds: workers, and nodes that speak of each.
	mostWorkers = 2048
	mostNodes   = 256
)

// Reason is why a worker's state changed.
type Reason string

// The reasons.
const (
	Failing Reason = "failing" // clearly more than its fellows: ejected
	Tried   Reason = "tried"   // its trial failed: ejected for longer
	Sound   Reason = "sound"   // its trials went well: back
	Needed  Reason = "needed"  // its fellows cannot bear the load without it: back
	Untried Reason = "untried" // nobody has tried it: back
)

// Change is a decision about a worker, for the log.
type Change struct {
	Worker string
	Out    bool // it gets no requests but trials from now on
	Reason Reason
	Share  float64       // of its requests that failed
	Weight float64       // requests by which that is known
	Nodes  int           // that have seen failures
	Wait   time.Duration // until its next trial, if it is out
	Lasted time.Duration // since it was ejected
	Busy   float64       // share of the group's places that were taken
}

// Event names the decision.
func (c Change) Event() string {
	switch {
	case !c.Out:
		return "back"
	case c.Reason == Tried:
		return "tried again"
	default:
		return "ejected"
	}
}

// Board merges the experience of all nodes with the workers of one group. It takes one caller at a
// time.
type Board struct {
	onChange func(Change)
	workers  map[string]*worker // by key
	trust    map[string]float64 // in nodes that are not believed wholly
	busy     float64            // share of the group's places that are taken
	group    []string           // that was judged last
	judged   time.Time
	swept    time.Time
}

// worker is what is known of one incarnation of a worker.
type worker struct {
	key       string
	cells     map[string]*cell // by node
	recent    tally
	newest    time.Time
	charged   charge
	step      float64 // time of a token; 0: unknown
	slow      float64
	pacedAt   time.Time // when its pace was last known
	nextPaced time.Time // when it may next be tried for being slow
	cost      time.Duration
	doubted   bool // failures were told since it last was beyond doubt
	ejection  *ejection
	lastWait  time.Duration // of the last ejection
	back      time.Time     // when that ended
	spoken    time.Time     // when something last spoke against it
}

// New returns an empty board. onChange is told each decision; it may be nil.
func New(onChange func(Change)) *Board {
	if onChange == nil {
		onChange = func(Change) {}
	}
	return &Board{onChange: onChange, workers: map[string]*worker{}, trust: map[string]float64{}}
}

// SetBusy tells which share of the places of the group's workers is taken; above 1 if requests wait.
// Without it the load is taken to be nothing.
func (b *Board) SetBusy(share float64) { b.busy = share }

// Add takes in what a node has seen since it told last.
func (b *Board) Add(from string, samples []Sample, now time.Time) {
	trust := b.trustIn(from)
	for _, sample := range samples {
		if known := b.worker(sample.Worker); known != nil && valid(sample) {
			b.take(known, from, sample, trust, now)
		}
	}
	b.sweep(now)
}

// valid reports whether a sample can be: it comes from another process.
func valid(sample Sample) bool {
	return sample.Failures >= 0 && sample.Requests >= sample.Failures && sample.Silences >= 0 &&
		sample.Paced >= 0 && sample.Pace >= 0
}

func (b *Board) worker(key string) *worker {
	known, ok := b.workers[key]
	if !ok && len(b.workers) < mostWorkers {
		known = &worker{key: key, cells: map[string]*cell{}}
		b.workers[key] = known
	}
	return known
}

func (b *Board) take(known *worker, from string, sample Sample, trust float64, now time.Time) {
	requests, failures, silences := float64(sample.Requests), float64(sample.Failures), float64(sample.Silences)
	known.newest = now
	told, ok := known.cells[from]
	if !ok {
		if len(known.cells) >= mostNodes {
			return
		}
		told = &cell{}
		known.cells[from] = told
	}
	told.newest = now
	told.spread.add(requests, failures, silences, 1, now, spreadHalfLife)
	if sample.Paced > 0 && sample.Pace > 0 {
		told.pace.add(sample.Pace, float64(sample.Paced), now)
	}
	if known.ejection == nil {
		known.recent.add(requests, failures, silences, trust, now, recentHalfLife)
		known.doubted = known.doubted || failures > 0
		if known.doubted {
			told.open.add(requests, failures, silences, 1, now, caseHalfLife)
		}
		return
	}
	if trust >= believed {
		b.tried(known, sample, now)
	}
}

// tried takes in the outcome of trials of an ejected worker.
func (b *Board) tried(known *worker, sample Sample, now time.Time) {
	before := known.ejection.wait
	if known.ejection.outcome(sample.Requests, sample.Failures, now) {
		b.readmit(known, Sound, now)
		return
	}
	if known.ejection.wait != before {
		b.tell(known, true, Tried, now)
	}
}

func (b *Board) eject(found charge, now time.Time) {
	known := found.worker
	known.ejection = newEjection(found.share, waitAfter(known.lastWait, known.back, now), now)
	known.lastWait = known.ejection.wait
	b.tell(known, true, Failing, now)
}

func (b *Board) readmit(known *worker, reason Reason, now time.Time) {
	b.tell(known, false, reason, now)
	known.lastWait = known.ejection.wait
	known.ejection = nil
	known.back = now
	known.recent = tally{}
	known.dismiss()
}

func (b *Board) tell(known *worker, out bool, reason Reason, now time.Time) {
	b.onChange(Change{
		Worker: known.key, Out: out, Reason: reason, Share: known.ejection.share,
		Weight: known.charged.weight, Nodes: known.charged.nodes, Wait: known.ejection.wait,
		Lasted: now.Sub(known.ejection.since), Busy: b.busy,
	})
}

// Verdicts is what the answer to one node says of a group's workers: those that something speaks
// against, and those of which that has ended a moment ago. A trial is handed out once, so each
// call must be for one answer.
func (b *Board) Verdicts(workers []string, now time.Time) []Verdict {
	b.judgeIfDue(workers, now)
	var verdicts []Verdict
	for _, key := range workers {
		known, ok := b.workers[key]
		if !ok {
			continue
		}
		verdict := known.verdict(now)
		if !verdict.Clear() {
			known.spoken = now
		}
		if !known.spoken.IsZero() && now.Sub(known.spoken) < tellClear {
			verdicts = append(verdicts, verdict)
		}
	}
	return verdicts
}

func (b *Board) judgeIfDue(workers []string, now time.Time) {
	if now.Sub(b.judged) >= judgeEvery || !slices.Equal(workers, b.group) {
		b.judge(workers, now)
	}
}

func (b *Board) judge(workers []string, now time.Time) {
	b.judged, b.group = now, slices.Clone(workers)
	known := make([]*worker, 0, len(workers))
	for _, key := range workers {
		if member := b.worker(key); member != nil {
			known = append(known, member)
		}
	}
	b.judgeNodes(known, now)
	b.judgeFailures(known, now)
	b.judgePaces(known, now)
}

func (w *worker) verdict(now time.Time) Verdict {
	verdict := Verdict{Worker: w.key, Slow: w.slow, Cost: w.cost}
	if w.ejection == nil {
		verdict.Trial = w.tryPace(now)
		return verdict
	}
	verdict.Until = max(w.ejection.next.Sub(now), verdictLasts)
	verdict.Trial = w.ejection.hand(now)
	return verdict
}

// sweep forgets nodes and workers that nobody has spoken of for long.
func (b *Board) sweep(now time.Time) {
	if now.Sub(b.swept) < forgetAfter/4 {
		return
	}
	b.swept = now
	for key, known := range b.workers {
		for node, told := range known.cells {
			if now.Sub(told.newest) > forgetAfter {
				delete(known.cells, node)
			}
		}
		if known.ejection == nil && now.Sub(known.newest) > forgetAfter {
			delete(b.workers, key)
		}
	}
}
