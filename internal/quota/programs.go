package quota

import (
	"maps"
	"time"
)

const (
	// activeTimeout is how long after its last request a program is expected to send more. It
	// covers usual tool and model calls.
	activeTimeout = 2 * time.Second
	// forecastPart is how far ahead hasCapacity looks, as a part of the window. It is about the
	// usual duration of a program.
	forecastPart = 0.7
	// forecastSlack is the factor by which the forecast may exceed the share. Programs are
	// spread unevenly over shares, and a short wait does not fail one.
	forecastSlack = 1.4
	// minRateSample is how long a program is observed before its own rate is used.
	minRateSample = time.Second
	// maxPrograms bounds the programs that are tracked for a share.
	maxPrograms = 4096
	// initialRate is the estimate of a program's requests per second before any was observed.
	// Every rateInterval, the observed rate enters the estimate with weight rateWeight.
	initialRate  = 1.5
	rateInterval = 500 * time.Millisecond
	rateWeight   = 0.2
)

// programs are the programs that were recently granted requests of a share, by name.
type programs map[string]*programUsage

// programUsage counts a program's requests of one share.
type programUsage struct {
	first, last time.Time
	requests    int
}

// perSecond returns the program's request rate at this share: usual until it was observed for
// minRateSample. A program that uses several shares counts at each with only the requests
// granted there. Counting its full rate everywhere would keep new programs out while a share
// is unavailable.
func (p *programUsage) perSecond(usual float64, now time.Time) float64 {
	age := now.Sub(p.first)
	if age < minRateSample {
		return usual
	}
	return float64(p.requests) / age.Seconds()
}

// active reports whether the program is likely to send more.
func (p *programUsage) active(now time.Time) bool { return now.Sub(p.last) < activeTimeout }

// underWay reports whether a program is running: its last request is newer than programTTL.
func (p programs) underWay(program string, now time.Time) bool {
	known, ok := p[program]
	return ok && now.Sub(known.last) < programTTL
}

// active counts the programs that are likely to send more requests.
func (p programs) active(now time.Time) (count int) {
	for _, known := range p {
		if known.active(now) {
			count++
		}
	}
	return count
}

// perSecond returns the request rate of all active programs together.
func (p programs) perSecond(usual float64, now time.Time) (sum float64) {
	for _, known := range p {
		if known.active(now) {
			sum += known.perSecond(usual, now)
		}
	}
	return sum
}

// record counts a program's request. Beyond maxPrograms, new programs are not tracked.
func (p programs) record(program string, now time.Time) {
	if program == "" {
		return
	}
	known, ok := p[program]
	if !ok {
		if len(p) >= maxPrograms {
			return
		}
		known = &programUsage{first: now}
		p[program] = known
	}
	known.last = now
	known.requests++
}

// prune removes programs that are no longer running.
func (p programs) prune(now time.Time) {
	maps.DeleteFunc(p, func(_ string, known *programUsage) bool { return now.Sub(known.last) >= programTTL })
}

// rateEstimate estimates how many requests an active program sends per second.
type rateEstimate struct {
	perSecond float64
	updated   time.Time
	requests  int // of all programs, since updated
}

func newRateEstimate(now time.Time) rateEstimate {
	return rateEstimate{perSecond: initialRate, updated: now}
}

// count counts a request of a program.
func (p *rateEstimate) count(program string) {
	if program != "" {
		p.requests++
	}
}

// update adjusts the estimate at most once in each rateInterval, and prunes programs that have
// ended. After a gap of two intervals the estimate is kept.
func (p *rateEstimate) update(accounts map[shareKey]*shareAccount, now time.Time) {
	elapsed := now.Sub(p.updated)
	if elapsed < rateInterval {
		return
	}
	active := 0
	for _, known := range accounts {
		known.programs.prune(now)
		active += known.programs.active(now)
	}
	if active > 0 && elapsed < 2*rateInterval {
		observed := float64(p.requests) / float64(active) / elapsed.Seconds()
		p.perSecond += rateWeight * (observed - p.perSecond)
	}
	p.updated, p.requests = now, 0
}
