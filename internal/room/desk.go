package room

import "time"

const (
	// homeAmong is among how many of those who wait the ones come first whose context lies at a worker
	// that has room: elsewhere it would be read again.
	homeAmong = 24
	// passedFor is for how long after the moment by which it has to begin one may be passed over so.
	passedFor = 250 * time.Millisecond
)

// Desk is the account of a group and those who wait for its places. It knows no clock.
type Desk struct {
	account *Account
	waiting queue
	asked   uint64 // questions so far
}

// NewDesk returns a desk that has heard nothing.
func NewDesk() *Desk { return &Desk{account: NewAccount()} }

// Served is a question that was held and has its answer now.
type Served struct {
	Question *Question
	Answer   Answer
}

// Question is one that is asked at a desk.
type Question struct {
	From     string
	Sequence uint64 // of the report that came with it
	Ask      Ask

	rank   time.Time // the earliest goes first
	came   time.Time
	number uint64 // of those asked at the desk
}

// Tell takes in a report. It returns the questions that have got places by it.
func (d *Desk) Tell(report Report, now time.Time) []Served {
	d.account.Tell(report, now)
	return d.serve(now)
}

// Ask answers a question, or holds it: then it will be among those served, unless it is given up.
func (d *Desk) Ask(question *Question, now time.Time) (answer Answer, held bool) {
	d.asked++
	question.rank, question.came, question.number = rank(question.Ask.Program, now), now, d.asked
	ahead := d.waiting.ahead(question)
	answer = d.decide(question, ahead, now)
	if answer.Outcome != Wait || question.Ask.Patience <= 0 || len(d.waiting) >= maxWaiting {
		return answer, false
	}
	d.waiting.insert(question)
	return answer, true
}

// decide answers a question that comes after so many others, and gives out what it grants.
func (d *Desk) decide(question *Question, ahead int, now time.Time) Answer {
	answer := d.account.Decide(question.Ask, ahead, now)
	if answer.Outcome == Go {
		d.account.give(question.From, question.Sequence, answer.Worker, question.Ask.Tokens, now)
	}
	return answer
}

// serve gives places to those who wait: the first of them at home, where that has room, then all
// in their order.
func (d *Desk) serve(now time.Time) (served []Served) {
	if len(d.waiting) == 0 {
		return nil
	}
	atHome := func(question *Question) bool { return d.account.homeHasRoom(question.Ask, now) }
	anywhere := func(*Question) bool { return true }
	among := min(len(d.waiting), homeAmong)
	if now.Sub(d.waiting[0].rank) > passedFor {
		among = 0
	}
	served = d.serveThose(nil, among, atHome, now)
	return d.serveThose(served, len(d.waiting), anywhere, now)
}

// serveThose gives places to those of the first that wait that may have one.
func (d *Desk) serveThose(served []Served, among int, may func(*Question) bool, now time.Time) []Served {
	left := d.waiting[:0]
	for index, question := range d.waiting {
		if index >= among || !d.account.anyRoom() {
			left = append(left, d.waiting[index:]...)
			break
		}
		if !may(question) {
			left = append(left, question)
			continue
		}
		answer := d.decide(question, len(left), now)
		if answer.Outcome == Wait {
			left = append(left, question)
			continue
		}
		answer.HeldFor = now.Sub(question.came)
		served = append(served, Served{Question: question, Answer: answer})
	}
	clear(d.waiting[len(left):])
	d.waiting = left
	return served
}

// GiveUp takes a question back that was held. ok is false if it has been served.
func (d *Desk) GiveUp(question *Question, now time.Time) (answer Answer, ok bool) {
	if !d.waiting.remove(question) {
		return Answer{}, false
	}
	answer = d.decide(question, d.waiting.ahead(question), now)
	answer.HeldFor = now.Sub(question.came)
	return answer, true
}

// SetMembers replaces the workers that may get requests.
func (d *Desk) SetMembers(members []Member) { d.account.SetMembers(members) }

// Word is what a node is told that asks nothing.
func (d *Desk) Word(now time.Time) Answer {
	return Answer{Keeper: true, Busy: d.account.Busy(), Settled: d.account.Settled(now), Waiting: len(d.waiting)}
}

// Waiting is how many questions are held.
func (d *Desk) Waiting() int { return len(d.waiting) }
