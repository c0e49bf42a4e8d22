package room

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/experience"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/wait"
)

const (
	// A keeper is waited for as long as answers from its place are seen to take, from askWait to
	// longestAskWait, and as long as it may hold the question. It usually answers in 1 to 10 ms.
	askWait        = 20 * time.Millisecond
	longestAskWait = 60 * time.Millisecond
	// A report for which nobody waits is given longer: it is lost for sure, then.
	tellWait        = 100 * time.Millisecond
	longestTellWait = 300 * time.Millisecond
	// tellTick is how often it is looked at least whether a keeper is to be told.
	tellTick = 50 * time.Millisecond
	// maxTallies bounds the groups in which a node has something running.
	maxTallies = 512
)

// Peers asks other nodes.
type Peers interface {
	Room(ctx context.Context, keeper budget.Holder, request Request) (Answer, error)
}

// Workers tell in which groups workers are. ok is false where that is not known, or room is not kept
// for the service.
type Workers interface {
	// GroupOf is the group of the worker of a key.
	GroupOf(service, worker string) (group Group, ok bool)
	// GroupIn is the group of a zone for a program that begins, by its key.
	GroupIn(service, zone, key string) (group Group, ok bool)
	// Others lists the other zones of the region in which workers of a service may get a request,
	// nearest first, and how long a message there and its answer take.
	Others(service, zone string) []Distant
	// Near reports whether a zone is of this node's region.
	Near(zone string) bool
	// Shunned lists the workers of a group that this node has just seen fail, or decline.
	Shunned(group Group) []string
}

// Distant is a zone and the way there.
type Distant struct {
	Zone      string
	RoundTrip time.Duration
}

// Learner is what this node learns of workers, and is told.
type Learner interface {
	// TakeSamples returns what was seen of a service's workers since it was called last.
	TakeSamples(service string) []experience.Sample
	// NoteVerdicts takes over what all nodes together have seen.
	NoteVerdicts(verdicts []experience.Verdict)
}

// ReporterOptions of a Reporter.
type ReporterOptions struct {
	Self    budget.Holder
	Zone    string
	Slots   *Slots
	Peers   Peers
	Workers Workers
	// Patience is how long other nodes' answers are seen to take; nil: not known.
	Patience wait.Patience
	Keeper   *Keeper // of this process
	// Learner may be nil.
	Learner Learner
	// Count is told what came of each question, and Told of each report that came alone.
	Count  func(Found)
	Told   func(heard bool)
	Logger log.Interface
}

// Reporter tells keepers what this node has running, and asks them for places.
type Reporter struct {
	options ReporterOptions
	wake    chan struct{} // something has changed that a keeper should hear of

	mutex    sync.Mutex
	tallies  map[Group]*told
	suspects suspects
}

// told is a tally and to whom it was told.
type told struct {
	*Tally
	keeper  string // process that was told last
	telling bool   // a report is under way that came alone
	learnt  []experience.Sample
}

// NewReporter returns a reporter that has nothing running.
func NewReporter(options ReporterOptions) *Reporter {
	return &Reporter{options: options, wake: make(chan struct{}, 1), tallies: map[Group]*told{}, suspects: suspects{}}
}

// Begin counts a request at a worker until its place is ended. It is nil if no room is kept there.
func (r *Reporter) Begin(service, worker string, tokens int) *Place {
	group, ok := r.options.Workers.GroupOf(service, worker)
	if !ok {
		return nil
	}
	defer r.changed()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	tally := r.tally(group)
	if tally == nil {
		return nil
	}
	tally.Begin(worker, tokens)
	return &Place{reporter: r, group: group, worker: worker, tokens: tokens, since: time.Now()}
}

// changed lets Run look whether a keeper is to be told.
func (r *Reporter) changed() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *Reporter) end(place *Place) {
	defer r.changed()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if tally, ok := r.tallies[place.group]; ok {
		tally.End(place.worker, place.tokens, time.Since(place.since))
	}
}

func (r *Reporter) declined(place *Place) {
	defer r.changed()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if tally, ok := r.tallies[place.group]; ok {
		tally.Declined(place.worker)
	}
}

// tally is that of a group; nil if there are too many. The caller holds the mutex.
func (r *Reporter) tally(group Group) *told {
	known, ok := r.tallies[group]
	if !ok && len(r.tallies) < maxTallies {
		known = &told{Tally: NewTally(group)}
		r.tallies[group] = known
	}
	return known
}

// Run tells keepers what has changed, until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	for ctx.Err() == nil {
		due, next := r.due(time.Now())
		for _, group := range due {
			go r.tell(ctx, group)
		}
		timer := time.NewTimer(next)
		select {
		case <-ctx.Done():
		case <-r.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// due lists the groups whose keepers are to be told, and forgets those in which nothing is left. next
// is when to look again.
func (r *Reporter) due(now time.Time) (due []Group, next time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	next = tellTick
	for group, tally := range r.tallies {
		if tally.Idle(now) {
			delete(r.tallies, group)
			continue
		}
		at, ok := tally.Due()
		switch {
		case !ok || tally.telling:
		case now.Before(at):
			next = min(next, at.Sub(now))
		default:
			tally.telling = true
			due = append(due, group)
		}
	}
	return due, next
}

// tell tells a group's keeper what runs. A keeper that did not answer is tried again by this.
func (r *Reporter) tell(ctx context.Context, group Group) {
	keeper, passed, ok := r.options.Slots.keeper(group, r.untried)
	var answer Answer
	if ok {
		ctx, cancel := context.WithTimeout(ctx, r.options.Patience.Of(keeper.Process, tellWait, longestTellWait))
		defer cancel()
		request, _ := r.request(group, keeper, passed, nil)
		answer, ok = r.send(ctx, group, keeper, request, true)
		r.options.Told(ok && answer.Keeper)
	}
	defer r.changed()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	tally, known := r.tallies[group]
	if !known {
		return
	}
	tally.telling = false
	if !ok || !answer.Keeper {
		tally.Unsaid(time.Now())
	}
}

// request is what a keeper is sent. sequence is that of its report.
func (r *Reporter) request(group Group, keeper budget.Holder, passed bool, ask *Ask) (request Request, sequence uint64) {
	learnt := r.learnt(group)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	tally := r.tally(group)
	if tally == nil {
		return Request{}, 0
	}
	tally.keeper = keeper.Process
	report := tally.Report(r.options.Self.Process, time.Now())
	report.Learnt = learnt
	if ask != nil {
		tally.Asked(report.Sequence)
	}
	return Request{Process: keeper.Process, Passed: passed, Report: report, Ask: ask}, report.Sequence
}

// send sends a keeper a request, and takes in what it says of the group. ok is false if it did not
// answer; sure says that this tells that it will not.
func (r *Reporter) send(ctx context.Context, group Group, keeper budget.Holder, request Request, sure bool) (answer Answer, ok bool) {
	if keeper.Process == r.options.Self.Process {
		answer = r.options.Keeper.Answer(ctx, request)
	} else {
		var err error
		answer, err = r.options.Peers.Room(ctx, keeper, request)
		if err != nil {
			r.noteError(ctx, keeper, sure, err)
			return Answer{}, false
		}
	}
	r.heard(group, keeper, answer)
	return answer, true
}

// heard takes in a keeper's answer.
func (r *Reporter) heard(group Group, keeper budget.Holder, answer Answer) {
	if !answer.Keeper {
		r.options.Slots.Owners.Doubt()
	}
	if r.options.Learner != nil && len(answer.Avoid) > 0 {
		r.options.Learner.NoteVerdicts(answer.Avoid)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.suspects.heard(keeper.Process) {
		r.options.Logger.WithField("keeper", keeper.Process).Info("keeper of room answers again")
	}
	if tally, known := r.tallies[group]; known && answer.Keeper && answer.Settled {
		tally.Hear(answer.Busy, time.Now())
	}
}

// noteError notes that a keeper did not answer. An asker that has gone tells nothing of it, and one
// that knows no such question never will.
func (r *Reporter) noteError(ctx context.Context, keeper budget.Holder, sure bool, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	sure = sure || fault.Is(err, fault.Invalid)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.suspects.missed(keeper.Process, sure, time.Now()) {
		r.options.Logger.WithError(err).WithField("keeper", keeper.Process).Warn("keeper of room does not answer, passed over")
	}
}

func (r *Reporter) passedOver(process string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.suspects.passedOver(process)
}

func (r *Reporter) untried(process string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.suspects.untried(process, time.Now())
}

// learnt is what this node has seen of a group's workers and not told yet.
func (r *Reporter) learnt(group Group) []experience.Sample {
	if r.options.Learner == nil {
		return nil
	}
	samples := r.options.Learner.TakeSamples(group.Service)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, sample := range samples {
		other, ok := r.options.Workers.GroupOf(group.Service, sample.Worker)
		if !ok {
			continue
		}
		if tally := r.tally(other); tally != nil && len(tally.learnt) < mostInGroup {
			tally.learnt = append(tally.learnt, sample)
		}
	}
	tally := r.tally(group)
	if tally == nil {
		return nil
	}
	learnt := tally.learnt
	tally.learnt = nil
	return learnt
}

// Holds is how many places the requests of this node have.
func (r *Reporter) Holds() (places int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, tally := range r.tallies {
		for _, present := range tally.running {
			places += present.requests
		}
	}
	return places
}

// Busy is the mean share of places taken in the groups of a service in which this node has something
// running, by their keepers' words, and the age of the oldest of them. Words older than longest do not
// count; known is false if there are no others.
func (r *Reporter) Busy(service string, longest time.Duration) (busy float64, age time.Duration, known bool) {
	now := time.Now()
	words := 0
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for group, tally := range r.tallies {
		if group.Service != service {
			continue
		}
		if word, since, ok := tally.Busy(now); ok && since <= longest {
			words++
			busy += word
			age = max(age, since)
		}
	}
	if words == 0 {
		return 0, 0, false
	}
	return busy / float64(words), age, true
}
