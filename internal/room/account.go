package room

import (
	"slices"
	"time"
)

const (
	// settling is how long a new account listens before it tells: for longer than nodes take to
	// find out that the keeper before does not answer, by the next report that they renew.
	settling = renewAfter + tellWait + 100*time.Millisecond
	// silentFor is how long an account may hear nothing before it counts as new.
	silentFor = time.Second
	// grantLasts is how long a place counts as given out without a report that covers it.
	grantLasts = 400 * time.Millisecond
	// declinedFor is how long a worker counts as full that has said so.
	declinedFor = 60 * time.Millisecond
	// longestReport bounds for how long a report may count.
	longestReport = 2 * time.Second
	// maxNodes bounds the nodes of an account, and maxGrants what each of them is given out.
	maxNodes  = 2048
	maxGrants = 64
	// sweepEvery is the least time between two looks for what has lapsed.
	sweepEvery = 20 * time.Millisecond
	// heldGain weighs what nodes tell newly of how long places are held.
	heldGain = 1.0 / 8
)

// Member is a worker of a group that may get requests.
type Member struct {
	Worker string // its key
	Places int    // requests that it runs at once
	Memory int    // tokens that it holds; 0: not known
}

// Account is how full the workers of a group are, by the word of all nodes. It knows no clock.
// Its zero value is not usable.
type Account struct {
	members  []Member
	began    time.Time // it has heard of all nodes since
	heard    time.Time // when a node last told something
	nodes    map[string]*teller
	taken    map[string]load      // by worker
	declined map[string]time.Time // until when a worker counts as full
	swept    time.Time
	held     time.Duration // how long a place is usually held; 0: not known
}

// load is what a worker has.
type load struct {
	requests, tokens int
}

// teller is what a node has told, and was given.
type teller struct {
	sequence uint64
	until    time.Time
	running  []Running
	grants   []grant
}

// grant is a place that was given out and is not in a report yet.
type grant struct {
	sequence uint64 // of the question
	worker   string
	tokens   int
	until    time.Time
}

// NewAccount returns an account that has heard nothing.
func NewAccount() *Account {
	return &Account{nodes: map[string]*teller{}, taken: map[string]load{}, declined: map[string]time.Time{}}
}

// SetMembers replaces the workers that may get requests.
func (a *Account) SetMembers(members []Member) { a.members = members }

// Tell takes in a report.
func (a *Account) Tell(report Report, now time.Time) {
	if a.heard.IsZero() || now.Sub(a.heard) > silentFor {
		a.began = now
	}
	a.heard = now
	a.sweep(now)
	known, ok := a.nodes[report.From]
	if !ok {
		if len(a.nodes) >= maxNodes {
			return
		}
		known = &teller{}
		a.nodes[report.From] = known
	}
	for _, worker := range report.Declined {
		a.declined[worker] = now.Add(declinedFor)
	}
	a.noteHeld(report)
	if report.Sequence <= known.sequence {
		return
	}
	known.sequence = report.Sequence
	known.until = now.Add(min(report.Lasts, longestReport))
	a.replace(known, report.Running)
	a.cover(known, report)
}

// noteHeld takes in how long places were held.
func (a *Account) noteHeld(report Report) {
	if report.Ended <= 0 || report.Held <= 0 {
		return
	}
	newest := report.Held / time.Duration(report.Ended)
	if a.held == 0 {
		a.held = newest
		return
	}
	a.held += time.Duration(heldGain * float64(newest-a.held))
}

// replace puts what a node has running in place of what it had.
func (a *Account) replace(known *teller, running []Running) {
	for _, before := range known.running {
		a.add(before.Worker, -before.Requests, -before.Tokens)
	}
	known.running = running
	for _, present := range running {
		a.add(present.Worker, present.Requests, present.Tokens)
	}
}

// cover drops what was given out that a report tells of: all that was asked for before it and is
// not waited for.
func (a *Account) cover(known *teller, report Report) {
	known.grants = slices.DeleteFunc(known.grants, func(given grant) bool {
		covered := given.sequence < report.Sequence && !slices.Contains(report.Pending, given.sequence)
		if covered {
			a.add(given.worker, -1, -given.tokens)
		}
		return covered
	})
}

// add changes what a worker has.
func (a *Account) add(worker string, requests, tokens int) {
	present := a.taken[worker]
	present.requests += requests
	present.tokens += tokens
	if present.requests <= 0 {
		delete(a.taken, worker)
		return
	}
	a.taken[worker] = present
}

// sweep forgets what has lapsed.
func (a *Account) sweep(now time.Time) {
	if now.Sub(a.swept) < sweepEvery {
		return
	}
	a.swept = now
	for process, known := range a.nodes {
		a.dropGrants(known, now)
		if now.Before(known.until) {
			continue
		}
		a.replace(known, nil)
		if len(known.grants) == 0 && now.Sub(known.until) > longestReport {
			delete(a.nodes, process)
		}
	}
	for worker, until := range a.declined {
		if !now.Before(until) {
			delete(a.declined, worker)
		}
	}
}

// dropGrants forgets what was given out and was never covered.
func (a *Account) dropGrants(known *teller, now time.Time) {
	known.grants = slices.DeleteFunc(known.grants, func(given grant) bool {
		lapsed := !now.Before(given.until)
		if lapsed {
			a.add(given.worker, -1, -given.tokens)
		}
		return lapsed
	})
}

// give notes that a place was given out to a node in answer to a question.
func (a *Account) give(process string, sequence uint64, worker string, tokens int, now time.Time) {
	known, ok := a.nodes[process]
	if !ok || len(known.grants) >= maxGrants {
		return
	}
	known.grants = append(known.grants, grant{sequence: sequence, worker: worker, tokens: tokens, until: now.Add(grantLasts)})
	a.add(worker, 1, tokens)
}

// Settled reports whether the account has heard of all nodes.
func (a *Account) Settled(now time.Time) bool {
	return !a.heard.IsZero() && now.Sub(a.began) >= settling && now.Sub(a.heard) <= silentFor
}

// Busy is the share of the members' places that are taken, above 1 if requests wait at them.
func (a *Account) Busy() float64 {
	places, taken := 0, 0
	for _, member := range a.members {
		places += member.Places
		taken += a.taken[member.Worker].requests
	}
	if places == 0 {
		return 0
	}
	return float64(taken) / float64(places)
}

// places is how many places the members have.
func (a *Account) places() (places int) {
	for _, member := range a.members {
		places += member.Places
	}
	return places
}

// anyRoom reports whether some member has a place, or one beyond those that it has.
func (a *Account) anyRoom() bool {
	return slices.ContainsFunc(a.members, func(member Member) bool {
		return a.taken[member.Worker].requests < member.Places+overbooked
	})
}
