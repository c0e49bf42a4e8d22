package worker

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/fault"
)

const (
	// breakerThreshold is how many failures in a row open a breaker.
	breakerThreshold = 3
	// breakerFirst and breakerLongest bound how long a breaker stays open; it
	// doubles with each opening in a row.
	breakerFirst   = time.Second
	breakerLongest = 30 * time.Second
	// breakerJitter spreads the ends of breakers that opened together.
	breakerJitter = 0.3
)

// breaker keeps new calls from an engine that fails. It opens after failures in
// a row and closes with the first success after its time.
type breaker struct {
	mutex    sync.Mutex
	failures int
	openings int
	until    time.Time
	open     bool
}

func newBreaker() *breaker { return &breaker{} }

// record takes in how an exchange with the engine ended.
func (b *breaker) record(now time.Time, err error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if !countsAgainst(err) {
		b.succeed(now)
		return
	}
	b.failures++
	if b.failures < breakerThreshold || now.Before(b.until) {
		return
	}
	b.open = true
	b.until = now.Add(b.term())
	b.openings++
}

// countsAgainst tells failures of the engine from refusals that it is right to give.
func countsAgainst(err error) bool {
	switch fault.CodeOf(err) {
	case fault.Unavailable, fault.EngineFailed, fault.Internal, fault.OutcomeUnknown:
		return true
	}
	return false
}

func (b *breaker) succeed(now time.Time) {
	b.failures = 0
	if b.open && now.Before(b.until) {
		return
	}
	if !b.open {
		b.openings = 0
	}
	b.open = false
}

func (b *breaker) term() time.Duration {
	term := min(breakerFirst<<min(b.openings, 16), breakerLongest)
	return term + time.Duration(rand.Float64()*breakerJitter*float64(term))
}

// blocks reports whether new calls must stay out. After its time an open
// breaker still blocks until an exchange has succeeded.
func (b *breaker) blocks(time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.open
}

const (
	retryShare = 0.1 // of started calls
	retryBurst = 10
)

// retryBudget bounds retries to a share of the traffic.
type retryBudget struct {
	mutex  sync.Mutex
	tokens float64
}

func newRetryBudget() *retryBudget { return &retryBudget{tokens: retryBurst} }

// earn counts a started call.
func (r *retryBudget) earn() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.tokens = min(r.tokens+retryShare, retryBurst)
}

// spend takes one retry out and reports whether there was one.
func (r *retryBudget) spend() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}
