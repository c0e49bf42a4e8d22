package dispatch

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/timing"
)

// ownerSearch bounds the attempts of a call that were refused only because
// their worker had another owner by then. They ran nowhere, so they use up
// neither the call's attempts nor its tenant's retries.
type ownerSearch struct {
	refusals int
	until    time.Time // zero before the first
	waits    *backoff.ExponentialBackOff
}

// ownerMoved reports whether the attempt was refused by a former owner.
func (v verdict) ownerMoved() bool {
	return v.refused && v.problem != nil && internalCode(v.problem.Code)
}

// internalCode tells the codes that only nodes understand.
func internalCode(code fault.Code) bool { return code == fault.Fenced || code == fault.NotLeader }

// mayGoOn counts a refusal and reports whether there is time for another attempt.
func (s *ownerSearch) mayGoOn(patience time.Duration) bool {
	now := time.Now()
	if s.refusals == 0 {
		s.until = now.Add(patience)
		s.waits = timing.NewBackoff(retryPause, maxRetryPause)
	}
	s.refusals++
	return now.Before(s.until)
}

// wait lets the ownership settle.
func (s *ownerSearch) wait(ctx context.Context) { _ = timing.Sleep(ctx, s.waits.NextBackOff()) }

// forCaller hides a code that a gateway would take for its own search of a
// leader.
func forCaller(problem *fault.Error) *fault.Error {
	if !internalCode(problem.Code) {
		return problem
	}
	return fault.Newf(fault.Unavailable, "try again later", "the call's worker changed its owner again and again: %s", problem.Message).
		WithRan(problem.Ran).WithRetryAfter(unplacedRetryAfter)
}
