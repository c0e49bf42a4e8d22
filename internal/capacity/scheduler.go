package capacity

import "time"

const (
	// homeWindow is the number of queries at the head of the queue among which those with capacity at
	// their home worker go first. Another worker would have to read the context again.
	homeWindow = 24
	// maxBypass is how long after its start deadline the first query may still be bypassed by such
	// queries.
	maxBypass = 250 * time.Millisecond
)

// Scheduler assigns the queries of a group to workers and queues those without capacity. It reads no
// clock; callers pass the time.
type Scheduler struct {
	load      *GroupLoad
	queue     queryQueue
	submitted uint64 // number of queries so far
}

// NewScheduler returns a scheduler without members, reports or queries.
func NewScheduler() *Scheduler { return &Scheduler{load: NewGroupLoad()} }

// Resolved is a queued query and its answer.
type Resolved struct {
	Query  *Query
	Answer Answer
}

// Query is a request for a worker, submitted to a Scheduler.
type Query struct {
	From     string // process name of the node
	Sequence uint64 // of the report sent along
	Ask      Ask

	startBy time.Time // position in the queue: earliest first
	arrived time.Time
	number  uint64 // order of submission; breaks ties of startBy
}

// ApplyReport applies a report and returns the queued queries that it resolves.
func (s *Scheduler) ApplyReport(report Report, now time.Time) []Resolved {
	s.load.ApplyReport(report, now)
	return s.dispatch(now)
}

// Submit answers a query or queues it. A held query is resolved by a later ApplyReport, or removed by
// Withdraw.
func (s *Scheduler) Submit(query *Query, now time.Time) (answer Answer, held bool) {
	s.submitted++
	query.startBy, query.arrived, query.number = startDeadline(query.Ask.Program, now), now, s.submitted
	ahead := s.queue.ahead(query)
	answer = s.decide(query, ahead, now)
	if answer.Outcome != OutcomeWait || query.Ask.Patience <= 0 || len(s.queue) >= maxQueued {
		return answer, false
	}
	s.queue.insert(query)
	return answer, true
}

// decide answers a query with ahead others before it, and records the grant if a worker is assigned.
func (s *Scheduler) decide(query *Query, ahead int, now time.Time) Answer {
	answer := s.load.Decide(query.Ask, ahead, now)
	if answer.Outcome == OutcomeAssigned {
		s.load.addGrant(query.From, query.Sequence, answer.Worker, query.Ask.Tokens, now)
	}
	return answer
}

// dispatch assigns free capacity to queued queries: first to those near the head whose home worker has
// capacity, then to all in order.
func (s *Scheduler) dispatch(now time.Time) (resolved []Resolved) {
	if len(s.queue) == 0 {
		return nil
	}
	atHome := func(query *Query) bool { return s.load.homeHasCapacity(query.Ask, now) }
	anywhere := func(*Query) bool { return true }
	window := min(len(s.queue), homeWindow)
	if now.Sub(s.queue[0].startBy) > maxBypass {
		window = 0
	}
	resolved = s.dispatchFirst(nil, window, atHome, now)
	return s.dispatchFirst(resolved, len(s.queue), anywhere, now)
}

// dispatchFirst assigns free capacity to the eligible queries among the first limit of the queue and
// appends their answers to resolved.
func (s *Scheduler) dispatchFirst(resolved []Resolved, limit int, eligible func(*Query) bool, now time.Time) []Resolved {
	remaining := s.queue[:0]
	for index, query := range s.queue {
		if index >= limit || !s.load.anyCapacity() {
			remaining = append(remaining, s.queue[index:]...)
			break
		}
		if !eligible(query) {
			remaining = append(remaining, query)
			continue
		}
		answer := s.decide(query, len(remaining), now)
		if answer.Outcome == OutcomeWait {
			remaining = append(remaining, query)
			continue
		}
		answer.HeldFor = now.Sub(query.arrived)
		resolved = append(resolved, Resolved{Query: query, Answer: answer})
	}
	clear(s.queue[len(remaining):])
	s.queue = remaining
	return resolved
}

// Withdraw removes a held query and returns its last answer, which may still assign a worker. ok is
// false if the query is already resolved.
func (s *Scheduler) Withdraw(query *Query, now time.Time) (answer Answer, ok bool) {
	if !s.queue.remove(query) {
		return Answer{}, false
	}
	answer = s.decide(query, s.queue.ahead(query), now)
	answer.HeldFor = now.Sub(query.arrived)
	return answer, true
}

// SetMembers replaces the workers that may receive requests.
func (s *Scheduler) SetMembers(members []Member) { s.load.SetMembers(members) }

// Status returns the answer to a report without a query.
func (s *Scheduler) Status(now time.Time) Answer {
	return Answer{Keeper: true, Busy: s.load.Utilization(), Settled: s.load.Settled(now), Waiting: len(s.queue)}
}

// QueueLength returns the number of held queries.
func (s *Scheduler) QueueLength() int { return len(s.queue) }
