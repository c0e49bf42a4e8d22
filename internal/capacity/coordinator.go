package capacity

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/cloverwheel/cloverwheel/internal/outlier"
)

const (
	// schedulerTTL is how long a group's scheduler is kept without requests.
	schedulerTTL = 10 * time.Second
	// maxSchedulers limits the groups that one process coordinates.
	maxSchedulers = 256
	// maxHold caps how long a query is held.
	maxHold = 250 * time.Millisecond
)

// OutlierDetector merges the nodes' samples of worker behavior into verdicts.
type OutlierDetector interface {
	// Add adds a node's samples of a group's workers.
	Add(group Group, from string, samples []outlier.Sample, now time.Time)
	// Verdicts returns the merged verdicts on a group's workers.
	Verdicts(group Group, now time.Time) []outlier.Verdict
}

// CoordinatorOptions configures a Coordinator.
type CoordinatorOptions struct {
	Process  string
	Resolver *CoordinatorResolver
	// Members returns the workers of a group that may receive requests. ok is false if this process
	// does not have the records of all of them.
	Members func(Group) (members []Member, ok bool)
	// OutlierDetector provides the verdicts on workers; nil: none.
	OutlierDetector OutlierDetector
	// OnAnswer is called with each answer to a query.
	OnAnswer func(Outcome, Reason)
	Logger   log.Interface
}

// Coordinator runs the schedulers of the groups for which other nodes consider this process the
// coordinator.
type Coordinator struct {
	options CoordinatorOptions

	mutex      sync.Mutex
	schedulers map[Group]*groupScheduler
	lastSweep  time.Time
}

// groupScheduler is a scheduler and the channels that wait for its answers.
type groupScheduler struct {
	*Scheduler
	answers  map[*Query]chan<- Answer
	lastUsed time.Time
}

// NewCoordinator returns a Coordinator without groups.
func NewCoordinator(options CoordinatorOptions) *Coordinator {
	return &Coordinator{options: options, schedulers: map[Group]*groupScheduler{}}
}

// Answer handles a request of a node. It blocks while the query is held. Keeper is false in the
// answer if this process is not the group's coordinator, lacks the records of some of its workers or
// coordinates too many groups.
func (c *Coordinator) Answer(ctx context.Context, request Request) Answer {
	group := request.Report.Group
	if !c.isCoordinatorFor(request) {
		return Answer{}
	}
	members, known := c.options.Members(group)
	if !known {
		return Answer{}
	}
	now := time.Now()
	verdicts := c.mergeSamples(request.Report, now)
	answer, query, answers := c.handle(request, withoutAvoided(members, verdicts), now)
	if query != nil {
		answer = c.await(ctx, group, query, answers)
	}
	if request.Ask != nil {
		c.options.OnAnswer(answer.Outcome, answer.Reason)
	}
	answer.Avoid = verdicts
	return answer
}

// mergeSamples adds a node's samples and returns the merged verdicts on the group's workers.
func (c *Coordinator) mergeSamples(report Report, now time.Time) []outlier.Verdict {
	if c.options.OutlierDetector == nil {
		return nil
	}
	if len(report.Learnt) > 0 {
		c.options.OutlierDetector.Add(report.Group, report.From, report.Learnt, now)
	}
	return c.options.OutlierDetector.Verdicts(report.Group, now)
}

// withoutAvoided removes the workers that have an active verdict against them, unless none would be
// left.
func withoutAvoided(members []Member, verdicts []outlier.Verdict) []Member {
	avoided := func(member Member) bool {
		return slices.ContainsFunc(verdicts, func(verdict outlier.Verdict) bool {
			return verdict.Worker == member.Worker && verdict.Until > 0
		})
	}
	remaining := slices.DeleteFunc(slices.Clone(members), avoided)
	if len(remaining) == 0 {
		return members
	}
	return remaining
}

// Utilization returns the utilization of a group; 0 if this process does not coordinate it.
func (c *Coordinator) Utilization(group Group) float64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if scheduler, ok := c.schedulers[group]; ok {
		return scheduler.load.Utilization()
	}
	return 0
}

// isCoordinatorFor reports whether the request is addressed to this process, and this process
// coordinates the group or replaces a coordinator that the sender could not reach.
func (c *Coordinator) isCoordinatorFor(request Request) bool {
	if request.Process != c.options.Process {
		return false
	}
	if request.Passed {
		return true
	}
	coordinator, _, ok := c.options.Resolver.coordinator(request.Report.Group, func(string) bool { return false })
	return ok && coordinator.Process == c.options.Process
}

// handle applies a report, and answers its query or queues it. A queued query is returned with the
// channel for its answer.
func (c *Coordinator) handle(request Request, members []Member, now time.Time) (Answer, *Query, <-chan Answer) {
	report := request.Report
	c.mutex.Lock()
	defer c.mutex.Unlock()
	scheduler := c.scheduler(report.Group, now)
	if scheduler == nil {
		return Answer{}, nil, nil
	}
	scheduler.SetMembers(members)
	scheduler.applyReport(report, now)
	if request.Ask == nil {
		return scheduler.Status(now), nil, nil
	}
	query := &Query{From: report.From, Sequence: report.Sequence, Ask: *request.Ask}
	answer, held := scheduler.Submit(query, now)
	if !held {
		return answer, nil, nil
	}
	answers := make(chan Answer, 1)
	scheduler.answers[query] = answers
	return answer, query, answers
}

// await waits until a query is resolved, its hold time is over or the sender has canceled.
func (c *Coordinator) await(ctx context.Context, group Group, query *Query, answers <-chan Answer) Answer {
	timer := time.NewTimer(min(query.Ask.Patience, maxHold))
	defer timer.Stop()
	select {
	case answer := <-answers:
		return answer
	case <-ctx.Done():
	case <-timer.C:
	}
	if answer, ok := c.withdraw(group, query); ok {
		return answer
	}
	return <-answers
}

// withdraw removes a held query. ok is false if it is already resolved.
func (c *Coordinator) withdraw(group Group, query *Query) (answer Answer, ok bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	scheduler, known := c.schedulers[group]
	if !known {
		return Answer{Keeper: true}, true
	}
	answer, ok = scheduler.Withdraw(query, time.Now())
	if ok {
		delete(scheduler.answers, query)
	}
	return answer, ok
}

// applyReport applies a report and sends the answers of the queries that it resolves.
func (s *groupScheduler) applyReport(report Report, now time.Time) {
	for _, resolved := range s.ApplyReport(report, now) {
		answers, ok := s.answers[resolved.Query]
		if ok {
			delete(s.answers, resolved.Query)
			answers <- resolved.Answer
		}
	}
}

// scheduler returns the scheduler of a group, creating it if needed; nil if there are too many. The
// caller holds the mutex.
func (c *Coordinator) scheduler(group Group, now time.Time) *groupScheduler {
	c.sweep(now)
	scheduler, ok := c.schedulers[group]
	if !ok {
		if len(c.schedulers) >= maxSchedulers {
			return nil
		}
		scheduler = &groupScheduler{Scheduler: NewScheduler(), answers: map[*Query]chan<- Answer{}}
		c.schedulers[group] = scheduler
		c.options.Logger.WithField("group", group.String()).Info("became capacity coordinator of a worker group; collecting load reports before answering queries")
	}
	scheduler.lastUsed = now
	return scheduler
}

// sweep removes the schedulers that nodes do not use any more. The caller holds the mutex.
func (c *Coordinator) sweep(now time.Time) {
	if now.Sub(c.lastSweep) < schedulerTTL/4 {
		return
	}
	c.lastSweep = now
	maps.DeleteFunc(c.schedulers, func(group Group, scheduler *groupScheduler) bool {
		expired := now.Sub(scheduler.lastUsed) > schedulerTTL && len(scheduler.answers) == 0
		if expired {
			c.options.Logger.WithField("group", group.String()).Info("no more load reports or queries for a worker group; dropping its capacity state")
		}
		return expired
	})
}

// Stats returns the number of groups that this process coordinates and of held queries.
func (c *Coordinator) Stats() (groups, waiting int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, scheduler := range c.schedulers {
		waiting += scheduler.QueueLength()
	}
	return len(c.schedulers), waiting
}
