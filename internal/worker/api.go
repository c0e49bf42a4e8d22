package worker

import (
	"time"

	"github.com/cloverwheel/cloverwheel/internal/chat"
	"github.com/cloverwheel/cloverwheel/internal/engine"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/peer"
)

// Peer methods that a worker's owner serves.
const (
	MethodSubmit = "worker.submit" // Job → stream of Event
	MethodResume = "worker.resume" // ResumeRequest → stream of Event
	MethodLookup = "worker.lookup" // LookupRequest → engine.RequestStatus
	MethodProbe  = "worker.probe"  // ProbeRequest → Estimate
	MethodPause  = "worker.pause"  // PauseNotice → Ack
	MethodEnd    = "worker.end"    // EndNotice → Ack
	MethodCancel = "worker.cancel" // CancelRequest → Ack
)

// Ack is an empty answer.
type Ack struct{ OK bool }

// Location says where a worker is and which node owns it now.
type Location struct {
	Worker id.Worker
	Zone   string
	Region string
	Owner  peer.Address
	Models []id.Model
	Import Import // to be passed on in the Job
	// Fence is the ownership and the engine's start that the estimate was made
	// under, to be passed on in the Job.
	Fence engine.Fence
}

// Profile is what scheduling knows of a call beyond its content.
type Profile struct {
	Priority int // of the tenant; higher is more urgent
	// Attained is the service the whole program has had so far, in tokens
	// prefilled and generated, sub-agents included.
	Attained int
	// Remaining estimates the service the program still needs, in tokens, from
	// past runs of its template; zero when unknown.
	Remaining int
	// Turn counts the program's calls, from 1. First calls are shed first.
	Turn     int
	Started  time.Time // of the program; zero when unknown
	Arrived  time.Time // of the call at its gateway
	Deadline time.Time // of the program; zero means none
	// ExpectedPause is how long the program's tools usually take after a call.
	ExpectedPause time.Duration
}

// Job is one attempt of a call, sent to the owner of the chosen worker.
type Job struct {
	Worker     id.Worker
	Request    id.Request
	Program    id.Program
	Tenant     id.Tenant
	Model      id.Model
	Adapter    id.Adapter
	Messages   []chat.Message
	Prefix     chat.Prefix // of Messages
	MaxTokens  int
	Repeatable bool
	Profile    Profile
	Import     Import
	// Partial is what earlier attempts made of the answer; the stream begins after
	// it. MaxTokens is of the whole answer.
	Partial engine.Partial
	// Fence is the only one under which the job may reach the engine, so that it is
	// known when it no longer can. The zero value leaves it to the owner.
	Fence engine.Fence
}

// Import names a copy of a program's context that an engine exported and any
// engine of the same model can take in. The zero value means none.
type Import struct {
	Key    string
	Tokens int // from the start of the prefix
}

// Event is one step of a job's stream; exactly one field besides Sequence is set.
type Event struct {
	Chunk   *engine.Chunk
	Outcome *engine.Outcome // the last event of a finished job
}

// ResumeRequest joins a job's stream again, from a token offset.
type ResumeRequest struct {
	Worker  id.Worker
	Request id.Request
	Offset  int
	// Direct asks the engine itself through any node, while the owner cannot be
	// reached. Only a found request settles anything then: one that the engine
	// does not know may still wait at the owner.
	Direct bool
}

// LookupRequest asks what became of a job, without running anything.
type LookupRequest struct {
	Worker  id.Worker
	Request id.Request
	Direct  bool // as in ResumeRequest
}

// CancelRequest stops a job that is queued or running.
type CancelRequest struct {
	Worker  id.Worker
	Request id.Request
}

// ProbeRequest asks an owner what a call would meet at its worker.
type ProbeRequest struct {
	Worker    id.Worker
	Program   id.Program
	Model     id.Model
	Adapter   id.Adapter
	Prefix    chat.Prefix
	MaxTokens int
	Profile   Profile
}

// Estimate is an owner's answer to a probe.
type Estimate struct {
	Worker       id.Worker
	Zone         string
	Healthy      bool
	Leaving      bool
	ModelLoaded  bool
	AdapterReady bool
	Queued       int           // calls waiting for admission
	Running      int           // calls let in
	Wait         time.Duration // expected until admission
	CachedTokens int           // of the probe's prefix
	Prefill      time.Duration // expected for what is not cached
	Decode       time.Duration // expected for the output, at most MaxTokens, at the batch's size
	Step         time.Duration // expected of one token; zero until one was seen
	Compute      time.Duration // expected for the call's own prefill, without what is ahead of it
	FreeTokens   int           // KV memory not spoken for
	MemoryTokens int           // KV memory in all; zero: not yet known
	Load         time.Duration // expected for the model or adapter, if not ready
	RetryAfter   time.Duration // the call would be refused for load until then; zero: it would be taken
	Fence        engine.Fence  // of the owner and the engine's present start
	Exported     Import        // copy of the program's context, kept outside this engine
}

// PauseNotice tells the owner that a program waits on tools, so its cache may
// be kept, exported or dropped.
type PauseNotice struct {
	Worker   id.Worker
	Program  id.Program
	Prefix   chat.Prefix
	Expected time.Duration // until the next call; zero when unknown
	Priority int
}

// EndNotice tells the owner that a program is gone; everything held for it goes.
type EndNotice struct {
	Worker  id.Worker
	Program id.Program
}
