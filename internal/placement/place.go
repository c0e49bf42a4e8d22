package placement

import (
	"math/rand/v2"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/id"
)

// Query describes the call to place.
type Query struct {
	Program id.Program
	Model   id.Model
	Adapter id.Adapter
	Tokens  int       // KV cache that the call may need, in tokens
	Home    id.Worker // where the program's last call ran; empty if unknown
	Zone    string    // zone of the node that sends the call
	Exclude []id.Worker
	// Key, if set, breaks ties: calls with the same key prefer the same worker on every
	// node. Without it ties are broken at random.
	Key string
	// Sequence numbers the decisions of one placer. Round robin uses it as its counter.
	Sequence uint64
}

// Candidate is a worker that may run the call, with the estimates by which it is ranked.
type Candidate struct {
	Worker       id.Worker
	Zone         string
	RoundTrip    time.Duration // round trip to the worker, rounded so that equally distant workers are equal
	Healthy      bool
	Draining     bool // the worker is draining
	ModelLoaded  bool
	AdapterReady bool
	Queued       int
	Running      int
	Wait         time.Duration // until admission
	Prefill      time.Duration // of the tokens that are not cached at the worker
	Decode       time.Duration // time to generate the output at the current batch size
	TokenTime    time.Duration // time per output token at the current batch size; 0: unknown
	OwnPrefill   time.Duration // prefill of this call alone, without the work queued ahead of it
	Load         time.Duration // time to load the model or adapter; 0: it is loaded
	CachedTokens int
	Capacity     int // KV cache in tokens; 0: unknown
	// Connected means that an idle connection to the worker is open.
	Connected bool
}

// Expected is the expected time until the call completes at the candidate.
func (c Candidate) Expected() time.Duration {
	return c.Wait + c.Load + c.Prefill + c.Decode
}

// Decision is the outcome of Choose.
type Decision struct {
	Worker   id.Worker
	Expected time.Duration
	// RunnerUp is the second best worker, and Margin its expected time minus Expected. Both are zero if there
	// was no other feasible candidate.
	RunnerUp id.Worker
	Margin   time.Duration
}

// Choose picks a worker for the call. random breaks the ties of calls without a key and may be nil.
// It fails with fault.Unavailable and fault.RanNo if no candidate is feasible.
func Choose(query Query, candidates []Candidate, policy Policy, random *rand.Rand) (Decision, error) {
	feasible, err := Feasible(query, candidates)
	if err != nil {
		return Decision{}, err
	}
	ranked := Rank(query, feasible, policy)
	return Select(query, ranked, policy, random), nil
}
