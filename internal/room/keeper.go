package room

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/cloverwheel/cloverwheel/internal/experience"
)

const (
	// deskUnused is after how long without a word a group is forgotten.
	deskUnused = 10 * time.Second
	// maxDesks bounds the groups that a process keeps.
	maxDesks = 256
	// longestHold bounds how long a question is held.
	longestHold = 250 * time.Millisecond
)

// Experience merges what nodes have seen of workers.
type Experience interface {
	Learn(group Group, from string, samples []experience.Sample, now time.Time)
	Verdicts(group Group, now time.Time) []experience.Verdict
}

// KeeperOptions of a Keeper.
type KeeperOptions struct {
	Process string
	Slots   *Slots
	// Members lists the workers of a group that may get requests; ok is false if this process does
	// not know them all.
	Members func(Group) (members []Member, ok bool)
	// Experience may be nil.
	Experience Experience
	// Count is told what was answered.
	Count  func(Outcome, Reason)
	Logger log.Interface
}

// Keeper keeps the desks of the groups that other nodes take this process to keep.
type Keeper struct {
	options KeeperOptions

	mutex sync.Mutex
	desks map[Group]*keptDesk
	swept time.Time
}

// keptDesk is a desk and those who wait for its answers.
type keptDesk struct {
	*Desk
	waiting map[*Question]chan<- Answer
	used    time.Time
}

// NewKeeper returns a keeper of no group.
func NewKeeper(options KeeperOptions) *Keeper {
	return &Keeper{options: options, desks: map[Group]*keptDesk{}}
}

// Answer answers a node. It takes as long as the question allows for.
func (k *Keeper) Answer(ctx context.Context, request Request) Answer {
	group := request.Report.Group
	if !k.keeps(request) {
		return Answer{}
	}
	members, known := k.options.Members(group)
	if !known {
		return Answer{}
	}
	now := time.Now()
	verdicts := k.learn(request.Report, now)
	answer, question, answers := k.take(request, withoutAvoided(members, verdicts), now)
	if question != nil {
		answer = k.hold(ctx, group, question, answers)
	}
	if request.Ask != nil {
		k.options.Count(answer.Outcome, answer.Reason)
	}
	answer.Avoid = verdicts
	return answer
}

// learn takes in what a node has seen of workers, and returns what all nodes together have.
func (k *Keeper) learn(report Report, now time.Time) []experience.Verdict {
	if k.options.Experience == nil {
		return nil
	}
	if len(report.Learnt) > 0 {
		k.options.Experience.Learn(report.Group, report.From, report.Learnt, now)
	}
	return k.options.Experience.Verdicts(report.Group, now)
}

// withoutAvoided leaves out the workers that are to be avoided, unless nobody else is left.
func withoutAvoided(members []Member, verdicts []experience.Verdict) []Member {
	avoided := func(member Member) bool {
		return slices.ContainsFunc(verdicts, func(said experience.Verdict) bool {
			return said.Worker == member.Worker && said.Until > 0
		})
	}
	left := slices.DeleteFunc(slices.Clone(members), avoided)
	if len(left) == 0 {
		return members
	}
	return left
}

// Busy is the share of a group's places that are taken; 0 if the group is not kept here.
func (k *Keeper) Busy(group Group) float64 {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if desk, ok := k.desks[group]; ok {
		return desk.account.Busy()
	}
	return 0
}

// keeps reports whether this process is the one that is asked, and keeps the group or stands in for
// another that does not answer the asker.
func (k *Keeper) keeps(request Request) bool {
	if request.Process != k.options.Process {
		return false
	}
	if request.Passed {
		return true
	}
	keeper, _, ok := k.options.Slots.keeper(request.Report.Group, func(string) bool { return false })
	return ok && keeper.Process == k.options.Process
}

// take takes in a report, and answers the question that came with it or holds it.
func (k *Keeper) take(request Request, members []Member, now time.Time) (Answer, *Question, <-chan Answer) {
	report := request.Report
	k.mutex.Lock()
	defer k.mutex.Unlock()
	desk := k.desk(report.Group, now)
	if desk == nil {
		return Answer{}, nil, nil
	}
	desk.SetMembers(members)
	desk.tell(report, now)
	if request.Ask == nil {
		return desk.Word(now), nil, nil
	}
	question := &Question{From: report.From, Sequence: report.Sequence, Ask: *request.Ask}
	answer, held := desk.Ask(question, now)
	if !held {
		return answer, nil, nil
	}
	answers := make(chan Answer, 1)
	desk.waiting[question] = answers
	return answer, question, answers
}

// hold waits until a question gets a place, its time is over or its asker has gone.
func (k *Keeper) hold(ctx context.Context, group Group, question *Question, answers <-chan Answer) Answer {
	timer := time.NewTimer(min(question.Ask.Patience, longestHold))
	defer timer.Stop()
	select {
	case answer := <-answers:
		return answer
	case <-ctx.Done():
	case <-timer.C:
	}
	if answer, ok := k.giveUp(group, question); ok {
		return answer
	}
	return <-answers
}

// giveUp takes a question back. ok is false if it has been answered.
func (k *Keeper) giveUp(group Group, question *Question) (answer Answer, ok bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	desk, known := k.desks[group]
	if !known {
		return Answer{Keeper: true}, true
	}
	answer, ok = desk.GiveUp(question, time.Now())
	if ok {
		delete(desk.waiting, question)
	}
	return answer, ok
}

// tell takes in a report, and answers those who have got places by it.
func (d *keptDesk) tell(report Report, now time.Time) {
	for _, served := range d.Tell(report, now) {
		answers, ok := d.waiting[served.Question]
		if ok {
			delete(d.waiting, served.Question)
			answers <- served.Answer
		}
	}
}

// desk is that of a group; nil if there are too many. The caller holds the mutex.
func (k *Keeper) desk(group Group, now time.Time) *keptDesk {
	k.sweep(now)
	known, ok := k.desks[group]
	if !ok {
		if len(k.desks) >= maxDesks {
			return nil
		}
		known = &keptDesk{Desk: NewDesk(), waiting: map[*Question]chan<- Answer{}}
		k.desks[group] = known
		k.options.Logger.WithField("group", group.String()).Info("room of a group is kept here")
	}
	known.used = now
	return known
}

// sweep forgets groups that nobody asks for here any more. The caller holds the mutex.
func (k *Keeper) sweep(now time.Time) {
	if now.Sub(k.swept) < deskUnused/4 {
		return
	}
	k.swept = now
	maps.DeleteFunc(k.desks, func(group Group, desk *keptDesk) bool {
		unused := now.Sub(desk.used) > deskUnused && len(desk.waiting) == 0
		if unused {
			k.options.Logger.WithField("group", group.String()).Info("room of a group is not kept here any more")
		}
		return unused
	})
}

// Kept is how many groups this process keeps, and how many questions it holds.
func (k *Keeper) Kept() (groups, waiting int) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for _, desk := range k.desks {
		waiting += desk.Waiting()
	}
	return len(k.desks), waiting
}
