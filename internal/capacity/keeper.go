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
	// maxSchedulers limits the groups that one process keeps.
	maxSchedulers = 256
	// maxHold caps how long a query is held.
	maxHold = 250 * time.Millisecond
)

// Experience merges the nodes' samples of worker behavior into verdicts.
type Experience interface {
	// Add adds a node's samples of a group's workers.
	Add(group Group, from string, samples []outlier.Sample, now time.Time)
	// Verdicts returns the merged verdicts on a group's workers.
	Verdicts(group Group, now time.Time) []outlier.Verdict
}

// CoordinatorOptions configures a Coordinator.
type CoordinatorOptions struct {
	Process string
	Slots   *KeeperResolver
	// Members returns the workers of a group that may receive requests. ok is false if this process
	// does not know all of them.
	Members func(Group) (members []Member, ok bool)
	// Experience is optional.
	Experience Experience
	// OnAnswer is called with each answer to a query.
	OnAnswer func(Outcome, Reason)
	Logger   log.Interface
}

// Coordinator runs the schedulers of the groups for which other nodes consider this process the keeper.
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
// answer if this process is not the group's keeper, does not know all of its workers or keeps too many
// groups.
func (k *Coordinator) Answer(ctx context.Context, request Request) Answer {
	group := request.Report.Group
	if !k.isKeeperFor(request) {
		return Answer{}
	}
	members, known := k.options.Members(group)
	if !known {
		return Answer{}
	}
	now := time.Now()
	verdicts := k.mergeSamples(request.Report, now)
	answer, query, answers := k.handle(request, withoutAvoided(members, verdicts), now)
	if query != nil {
		answer = k.await(ctx, group, query, answers)
	}
	if request.Ask != nil {
		k.options.OnAnswer(answer.Outcome, answer.Reason)
	}
	answer.Avoid = verdicts
	return answer
}

// mergeSamples adds a node's samples and returns the merged verdicts on the group's workers.
func (k *Coordinator) mergeSamples(report Report, now time.Time) []outlier.Verdict {
	if k.options.Experience == nil {
		return nil
	}
	if len(report.Learnt) > 0 {
		k.options.Experience.Add(report.Group, report.From, report.Learnt, now)
	}
	return k.options.Experience.Verdicts(report.Group, now)
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

// Utilization returns the utilization of a group; 0 if it is not kept here.
func (k *Coordinator) Utilization(group Group) float64 {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if scheduler, ok := k.schedulers[group]; ok {
		return scheduler.load.Busy()
	}
	return 0
}

// isKeeperFor reports whether the request is addressed to this process, and this process keeps the
// group or replaces a keeper that the sender could not reach.
func (k *Coordinator) isKeeperFor(request Request) bool {
	if request.Process != k.options.Process {
		return false
	}
	if request.Passed {
		return true
	}
	keeper, _, ok := k.options.Slots.keeper(request.Report.Group, func(string) bool { return false })
	return ok && keeper.Process == k.options.Process
}

// handle applies a report, and answers its query or queues it. A queued query is returned with the
// channel for its answer.
func (k *Coordinator) handle(request Request, members []Member, now time.Time) (Answer, *Query, <-chan Answer) {
	report := request.Report
	k.mutex.Lock()
	defer k.mutex.Unlock()
	scheduler := k.scheduler(report.Group, now)
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
func (k *Coordinator) await(ctx context.Context, group Group, query *Query, answers <-chan Answer) Answer {
	timer := time.NewTimer(min(query.Ask.Patience, maxHold))
	defer timer.Stop()
	select {
	case answer := <-answers:
		return answer
	case <-ctx.Done():
	case <-timer.C:
	}
	if answer, ok := k.withdraw(group, query); ok {
		return answer
	}
	return <-answers
}

// withdraw removes a held query. ok is false if it is already resolved.
func (k *Coordinator) withdraw(group Group, query *Query) (answer Answer, ok bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	scheduler, known := k.schedulers[group]
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
func (k *Coordinator) scheduler(group Group, now time.Time) *groupScheduler {
	k.sweep(now)
	scheduler, ok := k.schedulers[group]
	if !ok {
		if len(k.schedulers) >= maxSchedulers {
			return nil
		}
		scheduler = &groupScheduler{Scheduler: NewScheduler(), answers: map[*Query]chan<- Answer{}}
		k.schedulers[group] = scheduler
		k.options.Logger.WithField("group", group.String()).Info("became capacity keeper of a worker group; collecting load reports before answering queries")
	}
	scheduler.lastUsed = now
	return scheduler
}

// sweep removes the schedulers that nodes do not use any more. The caller holds the mutex.
func (k *Coordinator) sweep(now time.Time) {
	if now.Sub(k.lastSweep) < schedulerTTL/4 {
		return
	}
	k.lastSweep = now
	maps.DeleteFunc(k.schedulers, func(group Group, scheduler *groupScheduler) bool {
		expired := now.Sub(scheduler.lastUsed) > schedulerTTL && len(scheduler.answers) == 0
		if expired {
			k.options.Logger.WithField("group", group.String()).Info("no more load reports or queries for a worker group; dropping its capacity state")
		}
		return expired
	})
}

// Stats returns the number of groups kept by this process and of queries held.
func (k *Coordinator) Stats() (groups, waiting int) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for _, scheduler := range k.schedulers {
		waiting += scheduler.QueueLength()
	}
	return len(k.schedulers), waiting
}
