package capacity

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/outlier"
	"github.com/cloverwheel/cloverwheel/internal/timing"
)

const (
	// queryTimeout and maxQueryTimeout bound the wait for a keeper's answer, beyond the time that it
	// may hold the query. In between, the observed response times of the peer decide.
	queryTimeout    = 20 * time.Millisecond
	maxQueryTimeout = 60 * time.Millisecond
	// reportTimeout and maxReportTimeout are the same for reports without a query. No request waits
	// for these, so they get more time, and a timeout is conclusive.
	reportTimeout    = 100 * time.Millisecond
	maxReportTimeout = 300 * time.Millisecond
	// reportTick is the maximum time between two checks for due reports.
	reportTick = 50 * time.Millisecond
	// maxGroups limits the groups of which a node tracks its own load.
	maxGroups = 512
)

// Peers sends requests to other nodes.
type Peers interface {
	// Room sends a request to a keeper and returns its answer.
	Room(ctx context.Context, keeper budget.Holder, request Request) (Answer, error)
}

// GroupResolver maps workers to groups. ok is false if the group is not known, or if capacity is not tracked
// for the service.
type GroupResolver interface {
	// GroupOf returns the group of a worker, given its key.
	GroupOf(service, worker string) (group Group, ok bool)
	// GroupIn returns the group of a zone for a new program, given the program's key.
	GroupIn(service, zone, key string) (group Group, ok bool)
	// OtherZones returns the other zones of the region in which workers of a service may get requests,
	// nearest first.
	OtherZones(service, zone string) []RemoteZone
	// InRegion reports whether a zone is in this node's region.
	InRegion(zone string) bool
	// Excluded returns the workers of a group that this node has just seen fail or decline a request.
	Excluded(group Group) []string
}

// RemoteZone is another zone and the round-trip time to it.
type RemoteZone struct {
	Zone      string
	RoundTrip time.Duration
}

// Learner supplies this node's samples of worker behavior and receives the merged verdicts of all
// nodes.
type Learner interface {
	// TakeSamples returns the samples of a service's workers since the last call.
	TakeSamples(service string) []outlier.Sample
	// NoteVerdicts replaces the known verdicts.
	NoteVerdicts(verdicts []outlier.Verdict)
}

// ClientOptions configures a Client.
type ClientOptions struct {
	Self    budget.Holder
	Zone    string
	Slots   *KeeperResolver
	Peers   Peers
	Workers GroupResolver
	// Patience is the observed response times of other nodes; nil: unknown.
	Patience timing.TimeoutFunc
	Keeper   *Coordinator // the keeper of this process
	// Learner is optional.
	Learner Learner
	// OnFind is called with the result of each Find. Told is called after each report without a query;
	// heard is whether a keeper accepted it.
	OnFind   func(Placement)
	OnReport func(heard bool)
	Logger   log.Interface
}

// Client reports this node's running requests to the keepers of their groups, and queries them for
// workers.
type Client struct {
	options ClientOptions
	wake    chan struct{} // signals Run that a report may be due

	mutex    sync.Mutex
	groups   map[Group]*groupState
	suspects suspects
}

// groupState is this node's load in a group and the state of its reports.
type groupState struct {
	*NodeLoad
	keeper    string // process that received the last request
	reporting bool   // a report without a query is in flight
	samples   []outlier.Sample
}

// NewClient returns a Client without running requests. Run has to be started.
func NewClient(options ClientOptions) *Client {
	return &Client{options: options, wake: make(chan struct{}, 1), groups: map[Group]*groupState{}, suspects: suspects{}}
}

// Begin counts a request at a worker until the Reservation is ended. It returns nil if capacity is not
// tracked there, or if this node tracks too many groups.
func (r *Client) Begin(service, worker string, tokens int) *Reservation {
	group, ok := r.options.Workers.GroupOf(service, worker)
	if !ok {
		return nil
	}
	defer r.wakeRun()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	state := r.groupState(group)
	if state == nil {
		return nil
	}
	state.Begin(worker, tokens)
	return &Reservation{reporter: r, group: group, worker: worker, tokens: tokens, started: time.Now()}
}

// wakeRun makes Run check for due reports. It does not block.
func (r *Client) wakeRun() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// end removes the request of a place from the load.
func (r *Client) end(place *Reservation) {
	defer r.wakeRun()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if state, ok := r.groups[place.group]; ok {
		state.End(place.worker, place.tokens, time.Since(place.started))
	}
}

// declined records that the worker of a place declined its request.
func (r *Client) declined(place *Reservation) {
	defer r.wakeRun()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if state, ok := r.groups[place.group]; ok {
		state.Declined(place.worker)
	}
}

// groupState returns the state of a group, creating it if needed; nil if there are too many. The
// caller holds the mutex.
func (r *Client) groupState(group Group) *groupState {
	state, ok := r.groups[group]
	if !ok && len(r.groups) < maxGroups {
		state = &groupState{NodeLoad: NewNodeLoad(group)}
		r.groups[group] = state
	}
	return state
}

// Run sends due reports until ctx ends.
func (r *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		due, next := r.due(time.Now())
		for _, group := range due {
			go r.sendReport(ctx, group)
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

// due returns the groups for which a report is due, and removes idle groups. next is the time until
// the next check.
func (r *Client) due(now time.Time) (due []Group, next time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	next = reportTick
	for group, state := range r.groups {
		if state.Idle(now) {
			delete(r.groups, group)
			continue
		}
		at, ok := state.NextReport()
		switch {
		case !ok || state.reporting:
		case now.Before(at):
			next = min(next, at.Sub(now))
		default:
			state.reporting = true
			due = append(due, group)
		}
	}
	return due, next
}

// sendReport sends a report to a group's keeper. A suspected keeper is probed in this way once its
// backoff is over.
func (r *Client) sendReport(ctx context.Context, group Group) {
	keeper, passed, ok := r.options.Slots.keeper(group, r.inBackoff)
	var answer Answer
	if ok {
		ctx, cancel := context.WithTimeout(ctx, r.options.Patience.For(keeper.Process, reportTimeout, maxReportTimeout))
		defer cancel()
		request, _ := r.newRequest(group, keeper, passed, nil)
		answer, ok = r.send(ctx, group, keeper, request, true)
		r.options.OnReport(ok && answer.Keeper)
	}
	defer r.wakeRun()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	state, known := r.groups[group]
	if !known {
		return
	}
	state.reporting = false
	if !ok || !answer.Keeper {
		state.ReportLost(time.Now())
	}
}

// newRequest returns a request for a keeper and the sequence of its report; 0 if this node tracks too
// many groups.
func (r *Client) newRequest(group Group, keeper budget.Holder, passed bool, ask *Ask) (request Request, sequence uint64) {
	samples := r.collectSamples(group)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	state := r.groupState(group)
	if state == nil {
		return Request{}, 0
	}
	state.keeper = keeper.Process
	report := state.Report(r.options.Self.Process, time.Now())
	report.Learnt = samples
	if ask != nil {
		state.QuerySent(report.Sequence)
	}
	return Request{Process: keeper.Process, Passed: passed, Report: report, Ask: ask}, report.Sequence
}

// send sends a request to a keeper and handles the answer. ok is false if the keeper did not answer.
// conclusive says that one missing answer suffices to suspect it.
func (r *Client) send(ctx context.Context, group Group, keeper budget.Holder, request Request, conclusive bool) (answer Answer, ok bool) {
	if keeper.Process == r.options.Self.Process {
		answer = r.options.Keeper.Answer(ctx, request)
	} else {
		var err error
		answer, err = r.options.Peers.Room(ctx, keeper, request)
		if err != nil {
			r.handleError(ctx, keeper, conclusive, err)
			return Answer{}, false
		}
	}
	r.handleAnswer(group, keeper, answer)
	return answer, true
}

// handleAnswer updates the state of the group and of the keeper from an answer.
func (r *Client) handleAnswer(group Group, keeper budget.Holder, answer Answer) {
	if !answer.Keeper {
		r.options.Slots.Owners.RequestRefresh()
	}
	if r.options.Learner != nil && len(answer.Avoid) > 0 {
		r.options.Learner.NoteVerdicts(answer.Avoid)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.suspects.recordAnswer(keeper.Process) {
		r.options.Logger.WithField("keeper", keeper.Process).Info("capacity keeper answers again; resuming queries to it")
	}
	if state, known := r.groups[group]; known && answer.Keeper && answer.Settled {
		state.SetBusy(answer.Busy, time.Now())
	}
}

// handleError records a missing answer. A canceled request says nothing about the keeper. A keeper
// that does not know the method runs an older version and will never answer.
func (r *Client) handleError(ctx context.Context, keeper budget.Holder, conclusive bool, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	conclusive = conclusive || fault.Is(err, fault.Invalid)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.suspects.recordMiss(keeper.Process, conclusive, time.Now()) {
		r.options.Logger.WithError(err).WithField("keeper", keeper.Process).Warn("capacity keeper does not answer; sending queries to the next slot owner until it does")
	}
}

func (r *Client) isSuspected(process string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.suspects.suspected(process)
}

func (r *Client) inBackoff(process string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.suspects.inBackoff(process, time.Now())
}

// collectSamples returns the samples of a group's workers that have not been sent yet. Samples of
// other groups of the service stay until their next report, up to targetGroupSize per group.
func (r *Client) collectSamples(group Group) []outlier.Sample {
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
		if state := r.groupState(other); state != nil && len(state.samples) < targetGroupSize {
			state.samples = append(state.samples, sample)
		}
	}
	state := r.groupState(group)
	if state == nil {
		return nil
	}
	pending := state.samples
	state.samples = nil
	return pending
}

// RunningRequests returns the number of running requests that this node counts.
func (r *Client) RunningRequests() (count int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, state := range r.groups {
		for _, current := range state.running {
			count += current.requests
		}
	}
	return count
}

// Utilization returns the mean utilization of a service's groups in which this node has state, as their
// keepers last reported it, and the age of the oldest value. Values older than longest are ignored;
// known is false if none is left.
func (r *Client) Utilization(service string, longest time.Duration) (busy float64, age time.Duration, known bool) {
	now := time.Now()
	count := 0
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for group, state := range r.groups {
		if group.Service != service {
			continue
		}
		if groupBusy, groupAge, ok := state.Busy(now); ok && groupAge <= longest {
			count++
			busy += groupBusy
			age = max(age, groupAge)
		}
	}
	if count == 0 {
		return 0, 0, false
	}
	return busy / float64(count), age, true
}
