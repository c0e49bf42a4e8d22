// Package admission implements admission control for programs under overload.
//
// A program is a sequence of requests, called turns. Only first turns can be refused: once a turn of
// a program has run, all nodes admit the program's other turns and their retries. Under overload,
// whole programs are thus refused before they cost any work. Without admission control every turn
// would queue, all programs would miss their deadlines, and the late ones would add to the load.
//
// The package uses neither the clock nor the network; callers pass the current time.
package admission

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cloverwheel/cloverwheel/internal/scheduling"
)

// Reason is why a program was admitted or refused. Its values are metric labels and log fields.
type Reason string

// Reasons to admit a program, followed by reasons to refuse it.
const (
	ReasonInProgress    Reason = "under_way" // a turn of the program has already run
	ReasonNoDeadline    Reason = "untimed"   // the program has no deadline, or the turn belongs to no program
	ReasonNotOverloaded Reason = "room"      // no evidence that all workers have queues
	ReasonReturning     Reason = "promised"  // the program was refused before and retries at the time that it was given
	ReasonInTime        Reason = "in_time"   // the program has enough slack for the expected queueing
	ReasonClientTimeout Reason = "leaves"    // the client would time out before the first turn ends
	ReasonTooLate       Reason = "too_late"  // the program will miss its deadline even without queueing
	ReasonOverloaded    Reason = "crowded"   // the program would miss its deadline at the present load
)

// Verdict is an admission decision.
type Verdict struct {
	Admitted   bool // the program is admitted
	Reason     Reason
	RetryAfter time.Duration // delay before the client should retry; meaningful only if refused
}

// Request is the input of an admission decision: the program of a turn and the state of the queue that
// it would join.
type Request struct {
	Program scheduling.Program
	// TimeLeft is the time until the caller's timeout for this turn.
	TimeLeft time.Duration
	// PendingRetries is the number of refused programs whose retry time has not come yet.
	PendingRetries int
	// AdmitRate is the recent rate of admitted first turns per second; 0 if there were none.
	AdmitRate float64
}

const (
	// minSamples is the usual number of samples required to detect overload; see Load.Overloaded. A
	// sample is the first event of a new program's turn or a turn declined by a full worker.
	minSamples = 3
	// overloadedShare is the share of samples that must have queued or been declined for all workers
	// to count as having queues.
	overloadedShare = 0.75
	// fullUtilization is the reported utilization above which requests queue at workers.
	fullUtilization = 1.0
	// maxSampleAge is the age of the newest sample beyond which all samples are ignored. It is about the
	// duration of a turn.
	maxSampleAge = 500 * time.Millisecond
	// The ratio of a program's slack to its expected queueing determines the share of such programs
	// that is admitted: all from admitAllRatio up, none from admitNoneRatio down, linear in between.
	// At a ratio of 1 a program just meets its deadline if the queues grow no further. The ramp
	// keeps nodes from alternating between admitting all programs and admitting none.
	admitAllRatio  = 3.0
	admitNoneRatio = 1.0
	// minRetryAfter is the shortest retry delay at a known admission rate, unless maxRetryShare
	// requires a shorter one. maxRetryShare is the largest share of the client's remaining time that
	// a retry delay may take.
	minRetryAfter = 120 * time.Millisecond
	maxRetryShare = 1.0 / 3
	// retryJitter is the largest share by which a retry delay is shortened, to spread retries.
	retryJitter = 0.3
)

// MaxUtilizationAge is the greatest age at which a utilization report is used.
const MaxUtilizationAge = 500 * time.Millisecond

// Decide decides whether to admit a program and, if not, when its client should retry.
func Decide(request Request, load Load) Verdict {
	program := request.Program
	switch {
	case !program.Begins:
		return Verdict{Admitted: true, Reason: ReasonInProgress}
	case !program.Timed || program.Key == "":
		return Verdict{Admitted: true, Reason: ReasonNoDeadline}
	case !load.Overloaded():
		return Verdict{Admitted: true, Reason: ReasonNotOverloaded}
	case request.TimeLeft < load.New.mean()+load.UnloadedTime:
		return Verdict{Reason: ReasonClientTimeout, RetryAfter: request.maxRetryAfter()}
	case program.Returns:
		return Verdict{Admitted: true, Reason: ReasonReturning}
	case program.Late():
		return Verdict{Reason: ReasonTooLate, RetryAfter: request.maxRetryAfter()}
	case hashRank(program.Key) < admittedShare(program, load):
		return Verdict{Admitted: true, Reason: ReasonInTime}
	default:
		return Verdict{Reason: ReasonOverloaded, RetryAfter: request.retryAfter()}
	}
}

// admittedShare returns the share of programs with this slack that is admitted: none at 0 or less, all
// at 1 or more.
func admittedShare(program scheduling.Program, load Load) float64 {
	expectedWait := float64(load.ExpectedWait(program.Turns))
	if expectedWait <= 0 {
		return 1
	}
	slack, _ := program.Slack()
	return (float64(slack)/expectedWait - admitNoneRatio) / (admitAllRatio - admitNoneRatio)
}

// hashRank maps a program's key uniformly to [0, 1]. All nodes compute the same rank, so nodes that
// admit the same share of programs admit the same ones.
func hashRank(key string) float64 { return float64(xxhash.Sum64String(key)) / math.MaxUint64 }

// retryAfter returns the delay after which the programs ahead of this one should have been admitted
// at the recent rate.
func (a Request) retryAfter() time.Duration {
	if a.AdmitRate <= 0 {
		return a.maxRetryAfter()
	}
	delay := time.Duration(float64(a.PendingRetries+1) / a.AdmitRate * float64(time.Second))
	return min(max(a.withJitter(delay), minRetryAfter), a.maxRetryAfter())
}

// maxRetryAfter returns the longest delay after which the client should retry.
func (a Request) maxRetryAfter() time.Duration {
	return max(a.withJitter(time.Duration(maxRetryShare*float64(a.TimeLeft))), 0)
}

// withJitter shortens a delay in proportion to the program's rank.
func (a Request) withJitter(delay time.Duration) time.Duration {
	return delay - time.Duration(retryJitter*hashRank(a.Program.Key)*float64(delay))
}
