package quota

import (
	"maps"
	"time"
)

const (
	// activeFor is how long after its last request a program counts as one that will
	// send more: tools and model calls usually take less.
	activeFor = 2 * time.Second
	// programAhead is how far ahead an owner looks before it lets a program begin, as a
	// part of the window: about as long as programs usually go on.
	programAhead = 0.7
	// roomSlack is by how much what is expected may pass the share. Programs fall to
	// shares unevenly, and one that waits a moment for its next request is not lost.
	roomSlack = 1.4
	// maxPrograms bounds the programs of a tenant that an owner remembers.
	maxPrograms = 4096
	// firstPace is what a program is taken to send in a second before any was seen, and
	// paceWeight of what was seen in the last paceEvery goes into the estimate.
	firstPace  = 1.5
	paceEvery  = 500 * time.Millisecond
	paceWeight = 0.2
)

// programs are those that got a request lately, and when.
type programs map[string]time.Time

// underWay reports whether a program may go on.
func (p programs) underWay(program string, now time.Time) bool {
	last, ok := p[program]
	return ok && now.Sub(last) < underWayFor
}

// active counts the programs that will send more.
func (p programs) active(now time.Time) (count int) {
	for _, last := range p {
		if now.Sub(last) < activeFor {
			count++
		}
	}
	return count
}

// note remembers a program's request.
func (p programs) note(program string, now time.Time) {
	if program == "" || len(p) >= maxPrograms && p[program].IsZero() {
		return
	}
	p[program] = now
}

// forget drops programs that have ended.
func (p programs) forget(now time.Time) {
	maps.DeleteFunc(p, func(_ string, last time.Time) bool { return now.Sub(last) >= underWayFor })
}

// pace estimates how many requests a program sends in a second.
type pace struct {
	perSecond float64
	learnt    time.Time
	requests  int // of programs, since then
}

func newPace(now time.Time) pace { return pace{perSecond: firstPace, learnt: now} }

// lent notes a request.
func (p *pace) lent(program string) {
	if program != "" {
		p.requests++
	}
}

// learn takes over what the last moment showed, once in a while, and forgets programs that
// have ended.
func (p *pace) learn(accounts map[shareName]*lent, now time.Time) {
	passed := now.Sub(p.learnt)
	if passed < paceEvery {
		return
	}
	active := 0
	for _, known := range accounts {
		known.programs.forget(now)
		active += known.programs.active(now)
	}
	if active > 0 && passed < 2*paceEvery {
		seen := float64(p.requests) / float64(active) / passed.Seconds()
		p.perSecond += paceWeight * (seen - p.perSecond)
	}
	p.learnt, p.requests = now, 0
}
