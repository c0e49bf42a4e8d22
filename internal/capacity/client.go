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
	// queryTimeout and maxQueryTimeout bound the wait for a coordinator's answer, beyond the time
	// that it may hold the query. In between, the observed response times of the peer decide.
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
	// Report sends a request to a coordinator and returns its answer.
	Report(ctx context.Context, coordinator budget.Holder, request Request) (Answer, error)
}

// GroupResolver maps workers to groups. ok is false if the group is unknown, or if capacity is not
// tracked for the service.
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

// SampleExchange supplies this node's samples of worker behavior and receives the merged verdicts of all
// nodes.
type SampleExchange interface {
	// TakeSamples returns the samples of a service's workers since the last call.
	TakeSamples(service string) []outlier.Sample
	// NoteVerdicts replaces the previous verdicts.
	NoteVerdicts(verdicts []outlier.Verdict)
}

// ClientOptions configures a Client.
type ClientOptions struct {
	Self     budget.Holder
	Zone     string
	Resolver *CoordinatorResolver
	Peers    Peers
	Workers  GroupResolver
	// ResponseTimes returns call timeouts from the observed response times of other nodes; nil: no
	// observations.
	ResponseTimes timing.TimeoutFunc
	Coordinator   *Coordinator // the coordinator of this process
	// SampleExchange is nil if this node exchanges no samples and verdicts.
	SampleExchange SampleExchange
	// OnFind is called with the result of each Reserve. OnReport is called after each report without
	// a query; accepted is whether a coordinator accepted it.
	OnFind   func(Placement)
	OnReport func(accepted bool)
	Logger   log.Interface
}

// Client reports this node's running requests to the coordinators of their groups, and queries them
// for workers.
type Client struct {
	options ClientOptions
	wake    chan struct{} // signals Run that a report may be due

	mutex    sync.Mutex
	groups   map[Group]*groupState
	sequence uint64 // highest sequence of the reports of groups that were removed
	suspects suspects
}

// groupState is this node's load in a group and the state of its reports.
type groupState struct {
	*NodeLoad
	coordinator string // process that received the last request
	reporting   bool   // a report without a query is in flight
	samples     []outlier.Sample
}

// NewClient returns a Client without running requests. Run has to be started.
func NewClient(options ClientOptions) *Client {
	return &Client{options: options, wake: make(chan struct{}, 1), groups: map[Group]*groupState{}, suspects: suspects{}}
}

// Begin counts a request at a worker until the Reservation is released. It returns nil if capacity
// is not tracked there, or if this node tracks too many groups.
func (c *Client) Begin(service, worker string, tokens int) *Reservation {
	group, ok := c.options.Workers.GroupOf(service, worker)
	if !ok {
		return nil
	}
	defer c.wakeRun()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	state := c.groupState(group)
	if state == nil {
		return nil
	}
	state.Begin(worker, tokens)
	return &Reservation{client: c, group: group, worker: worker, tokens: tokens, started: time.Now()}
}

// wakeRun makes Run check for due reports. It does not block.
func (c *Client) wakeRun() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// end removes the request of a reservation from the load.
func (c *Client) end(reservation *Reservation) {
	defer c.wakeRun()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if state, ok := c.groups[reservation.group]; ok {
		state.End(reservation.worker, reservation.tokens, time.Since(reservation.started))
	}
}

// declined records that the worker of a reservation declined its request.
func (c *Client) declined(reservation *Reservation) {
	defer c.wakeRun()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if state, ok := c.groups[reservation.group]; ok {
		state.Declined(reservation.worker)
	}
}

// groupState returns the state of a group, creating it if needed; nil if there are too many. The
// caller holds the mutex.
func (c *Client) groupState(group Group) *groupState {
	state, ok := c.groups[group]
	if !ok && len(c.groups) < maxGroups {
		state = &groupState{NodeLoad: NewNodeLoad(group)}
		state.sequence = c.sequence
		c.groups[group] = state
	}
	return state
}

// Run sends due reports until ctx ends.
func (c *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		due, next := c.due(time.Now())
		for _, group := range due {
			go c.sendReport(ctx, group)
		}
		timer := time.NewTimer(next)
		select {
		case <-ctx.Done():
		case <-c.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// due returns the groups for which a report is due, and removes idle groups. next is the time until
// the next check.
func (c *Client) due(now time.Time) (due []Group, next time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	next = reportTick
	for group, state := range c.groups {
		if state.Idle(now) {
			c.sequence = max(c.sequence, state.sequence) // coordinators discard reports of lower sequences
			delete(c.groups, group)
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

// sendReport sends a report to a group's coordinator. A suspected coordinator is probed in this way
// once its backoff is over.
func (c *Client) sendReport(ctx context.Context, group Group) {
	coordinator, passed, ok := c.options.Resolver.coordinator(group, c.inBackoff)
	var answer Answer
	if ok {
		ctx, cancel := context.WithTimeout(ctx, c.options.ResponseTimes.For(coordinator.Process, reportTimeout, maxReportTimeout))
		defer cancel()
		request, _ := c.newRequest(group, coordinator, passed, nil)
		answer, ok = c.send(ctx, group, coordinator, request, true)
		c.options.OnReport(ok && answer.Keeper)
	}
	defer c.wakeRun()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	state, known := c.groups[group]
	if !known {
		return
	}
	state.reporting = false
	if !ok || !answer.Keeper {
		state.ReportLost(time.Now())
	}
}

// newRequest returns a request for a coordinator and the sequence of its report; 0 if this node
// tracks too many groups.
func (c *Client) newRequest(group Group, coordinator budget.Holder, passed bool, ask *Ask) (request Request, sequence uint64) {
	samples := c.collectSamples(group)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	state := c.groupState(group)
	if state == nil {
		return Request{}, 0
	}
	state.coordinator = coordinator.Process
	report := state.Report(c.options.Self.Process, time.Now())
	report.Learnt = samples
	if ask != nil {
		state.QuerySent(report.Sequence)
	}
	return Request{Process: coordinator.Process, Passed: passed, Report: report, Ask: ask}, report.Sequence
}

// send sends a request to a coordinator and handles the answer. ok is false if the coordinator did
// not answer. conclusive means that one missing answer suffices to suspect it.
func (c *Client) send(ctx context.Context, group Group, coordinator budget.Holder, request Request, conclusive bool) (answer Answer, ok bool) {
	if coordinator.Process == c.options.Self.Process {
		answer = c.options.Coordinator.Answer(ctx, request)
	} else {
		var err error
		answer, err = c.options.Peers.Report(ctx, coordinator, request)
		if err != nil {
			c.handleError(ctx, coordinator, conclusive, err)
			return Answer{}, false
		}
	}
	c.handleAnswer(group, coordinator, answer)
	return answer, true
}

// handleAnswer updates the state of the group and of the coordinator from an answer.
func (c *Client) handleAnswer(group Group, coordinator budget.Holder, answer Answer) {
	if !answer.Keeper {
		c.options.Resolver.Owners.RequestRefresh()
	}
	if c.options.SampleExchange != nil && len(answer.Avoid) > 0 {
		c.options.SampleExchange.NoteVerdicts(answer.Avoid)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.suspects.recordAnswer(coordinator.Process) {
		c.options.Logger.WithField("keeper", coordinator.Process).Info("capacity coordinator answers again; resuming queries to it")
	}
	if state, known := c.groups[group]; known && answer.Keeper && answer.Settled {
		state.SetUtilization(answer.Busy, time.Now())
	}
}

// handleError records a missing answer. A canceled request is no evidence against the
// coordinator. One that rejects the method as unknown runs an older version and cannot answer at all.
func (c *Client) handleError(ctx context.Context, coordinator budget.Holder, conclusive bool, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	conclusive = conclusive || fault.Is(err, fault.Invalid)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.suspects.recordMiss(coordinator.Process, conclusive, time.Now()) {
		c.options.Logger.WithError(err).WithField("keeper", coordinator.Process).Warn("capacity coordinator does not answer; sending queries to the next slot owner until it does")
	}
}

func (c *Client) isSuspected(process string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.suspects.suspected(process)
}

func (c *Client) inBackoff(process string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.suspects.inBackoff(process, time.Now())
}

// collectSamples returns the samples of a group's workers that have not been sent yet. Samples of
// other groups of the service stay until their next report, up to targetGroupSize per group.
func (c *Client) collectSamples(group Group) []outlier.Sample {
	if c.options.SampleExchange == nil {
		return nil
	}
	samples := c.options.SampleExchange.TakeSamples(group.Service)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, sample := range samples {
		other, ok := c.options.Workers.GroupOf(group.Service, sample.Worker)
		if !ok {
			continue
		}
		if state := c.groupState(other); state != nil && len(state.samples) < targetGroupSize {
			state.samples = append(state.samples, sample)
		}
	}
	state := c.groupState(group)
	if state == nil {
		return nil
	}
	pending := state.samples
	state.samples = nil
	return pending
}

// RunningRequests returns the number of running requests that this node counts.
func (c *Client) RunningRequests() (count int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, state := range c.groups {
		for _, current := range state.running {
			count += current.requests
		}
	}
	return count
}

// Utilization returns the mean utilization of a service's groups in which this node has state, as
// their coordinators last reported it, and the age of the oldest value. Values older than longest
// are ignored; known is false if none is left.
func (c *Client) Utilization(service string, longest time.Duration) (utilization float64, age time.Duration, known bool) {
	now := time.Now()
	count := 0
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for group, state := range c.groups {
		if group.Service != service {
			continue
		}
		if groupUtilization, groupAge, ok := state.Utilization(now); ok && groupAge <= longest {
			count++
			utilization += groupUtilization
			age = max(age, groupAge)
		}
	}
	if count == 0 {
		return 0, 0, false
	}
	return utilization / float64(count), age, true
}
