// Package engine is the client side of model engines: a narrow interface and
// one HTTP client that holds every wire detail.
package engine

import (
	"context"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/chat"
	"github.com/cloverwheel/cloverwheel/internal/id"
)

// Fence orders the commands of successive owners of an engine. The engine
// refuses a command whose fence is lower than the highest it has seen.
type Fence struct {
	Epoch uint64 `json:"epoch"` // of the owner, from the worker's ownership record
	// Instance is the engine's start that the command is meant for; the engine
	// refuses it after another start. Empty: whichever runs.
	Instance string `json:"instance,omitempty"`
}

// Partial is the beginning of an answer that earlier attempts made and that
// callers have seen. The zero value means none.
type Partial struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
}

// GenerateRequest asks for one completion.
type GenerateRequest struct {
	Request   id.Request // unique per attempt; the engine answers a repeat with the first run
	Program   id.Program
	Model     id.Model
	Adapter   id.Adapter
	Messages  []chat.Message
	MaxTokens int
	Priority  int // higher runs earlier within the engine's batch
	Fence     Fence
	Deadline  time.Time
	// Partial is taken in after Messages, and the answer goes on after it: the
	// first chunk is at offset Partial.Tokens. MaxTokens, the outcome's message
	// and its usage are of the whole answer, Partial included.
	Partial Partial
}

// Chunk is a piece of a stream.
type Chunk struct {
	Offset int // in tokens from the start of the answer
	Tokens int
	Text   string
}

// Outcome is the end of a generation.
type Outcome struct {
	Message      chat.Message
	FinishReason string // stop, length, tool_calls or cancelled
	Usage        chat.Usage
}

// EventKind tells cache events apart.
type EventKind string

// The kinds of cache events.
const (
	EventStored  EventKind = "stored"
	EventRemoved EventKind = "removed"
	EventCleared EventKind = "cleared" // the whole cache is empty
)

// CacheEvent reports a change of an engine's prefix cache, late.
type CacheEvent struct {
	Sequence uint64 // rises by one; a jump is a gap
	Kind     EventKind
	Segment  chat.Segment
	Parent   uint64 // hash of the segment before, 0 for a root
}

// LoadReport is an engine's own, lagging view of its load.
type LoadReport struct {
	Taken         time.Time // when the figures were true
	Running       int
	Queued        int
	MemoryTokens  int // capacity of the KV memory
	UsedTokens    int // held by running requests
	CachedTokens  int // held by the prefix cache
	HeldTokens    int // pinned by holds
	Requests      []id.Request
	Models        []id.Model
	Adapters      []id.Adapter
	HighestEpoch  uint64
	Instance      string        // of this start of the engine; empty: it does not tell
	StepTime      time.Duration // of a recent decode step
	PrefillTokens int           // per second
}

// Hold pins the cache of a prefix until a time; repeating it renews it.
type Hold struct {
	Program id.Program
	Segment uint64 // hash of the last segment to keep
	Until   time.Time
	Fence   Fence
}

// OrderKind tells fenced orders apart.
type OrderKind string

// The kinds of orders.
const (
	LoadModel     OrderKind = "load_model"
	LoadAdapter   OrderKind = "load_adapter"
	UnloadAdapter OrderKind = "unload_adapter"
	SetRole       OrderKind = "set_role"
)

// Order changes what an engine serves.
type Order struct {
	Kind    OrderKind
	Model   id.Model
	Adapter id.Adapter
	Version string
	Role    string
	Fence   Fence
}

// Client speaks to one engine.
type Client interface {
	// Generate runs a request and passes chunks to receive as they come. An
	// error with RanNo means that the engine refused it; RanUnknown means that
	// the stream broke and the request may still run.
	Generate(ctx context.Context, request GenerateRequest, receive func(Chunk) error) (Outcome, error)
	// Resume joins the stream of a known request from offset, in tokens from the
	// start of the whole answer: a partial answer it was given is part of it.
	Resume(ctx context.Context, request id.Request, offset int, receive func(Chunk) error) (Outcome, error)
	// Lookup asks for a request's state without running anything.
	Lookup(ctx context.Context, request id.Request) (RequestStatus, error)
	Cancel(ctx context.Context, request id.Request, fence Fence) error
	Hold(ctx context.Context, hold Hold) error
	Release(ctx context.Context, program id.Program, fence Fence) error
	// Export copies the cached prefix out and returns the key under which any
	// engine of the same model can import it.
	Export(ctx context.Context, program id.Program, segment uint64, fence Fence) (key string, err error)
	Import(ctx context.Context, key string, fence Fence) error
	// Drop lets the cached context of a prefix's last segment go.
	Drop(ctx context.Context, segment uint64, fence Fence) error
	Order(ctx context.Context, order Order) error
	// Events returns cache events after a sequence number, in order.
	Events(ctx context.Context, after uint64) ([]CacheEvent, error)
	Load(ctx context.Context) (LoadReport, error)
}
