package dispatch

import (
	"time"

	"github.com/cloverwheel/cloverwheel/internal/chat"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
)

// Peer methods that the leader of a program's shard serves.
const (
	MethodCreate = "program.create" // CreateRequest → Program
	MethodCall   = "program.call"   // CallRequest → stream of CallEvent
	MethodFetch  = "program.fetch"  // FetchRequest → stream of CallEvent
	MethodShow   = "program.show"   // ShowRequest → Program
	MethodEnd    = "program.end"    // EndRequest → Program
	MethodFate   = "program.fate"   // FateRequest → ledger.Fate
	MethodList   = "program.list"   // ListRequest → ProgramList: those this node leads
)

// CreateRequest creates a program. The gateway chooses its identifier, so that
// a repeated request finds the first one's program.
type CreateRequest struct {
	Program    id.Program
	Tenant     id.Tenant
	Template   id.Template
	Parameters map[string]string // typed and checked against the template
	Parent     id.Program        // empty for a root
	Deadline   time.Time         // zero: the template's default
	MaxTurns   int               // zero: the template's default
	Idle       time.Duration     // zero: the template's default
}

// CallRequest is one call of a program.
type CallRequest struct {
	Program    id.Program
	Tenant     id.Tenant
	Key        string // idempotency key; required
	Number     uint64 // place in the program's order, from 1; zero: in order of arrival
	Messages   []chat.Message
	Model      id.Model // empty: the template's default
	Adapter    id.Adapter
	MaxTokens  int // zero: the template's default
	Repeatable bool
	Tool       *ToolCall // set: a node-side tool call instead of a model call
	Offset     int       // tokens of the answer that the caller already has
	// Attempt is CallEvent.Attempt of the tokens before Offset; zero when unknown.
	Attempt int
	// Received is the text of all the tokens before Offset, so that a leader which
	// has lost it can go on after it; empty where the gateway has not got it all.
	Received string
	// Arrived is when the caller's request reached its gateway. The gateway keeps
	// it when it sends the same request again, so that a late copy of a request
	// that was refused as not run is told from a new request with the same key.
	Arrived time.Time
	// ExpectedPause is the caller's hint of how long it will be away after this call.
	ExpectedPause time.Duration
}

// ToolCall asks the node to call a tool that the template registers.
type ToolCall struct {
	Name      string
	Arguments string
	CallID    string
}

// CallEvent is one step of an answer's stream. The last one has Answer; a
// stream that ends otherwise returns its fault. When the leader changes on the
// way, the fault is NotLeader with RanUnknown: the caller's gateway sends the
// request again with the same key, the Offset it has reached and its Attempt.
//
// Text joins on to the event before without a gap or a repeat. Only the first
// event may begin before the Offset that was asked for, where the engine's text
// cannot be cut there; the receiver drops what it has.
type CallEvent struct {
	Call    uint64 // number of the call, from 1
	Attempt int    // that made the text
	Offset  int    // of Text, in tokens
	Tokens  int
	Text    string
	Answer  *Answer
}

// Answer is the whole answer to one call.
type Answer struct {
	Call         uint64
	Message      chat.Message
	FinishReason string
	Usage        chat.Usage
}

// FetchRequest reads the answer of a past or running call by its key or number.
type FetchRequest struct {
	Program id.Program
	Tenant  id.Tenant
	Key     string
	Call    uint64
	Offset  int
	Attempt int // as in CallRequest
	// Received is as in CallRequest.
	Received string
}

// ShowRequest reads a program's state. Operator reads leave Tenant empty.
type ShowRequest struct {
	Program id.Program
	Tenant  id.Tenant
}

// EndRequest ends a program and its sub-agents.
type EndRequest struct {
	Program id.Program
	Tenant  id.Tenant
	Reason  string
}

// FateRequest asks, for a ledger, what became of a reserved attempt.
type FateRequest struct {
	Tenant  id.Tenant
	Request id.Request
}

// ListRequest lists the programs that a node leads. Empty Tenant means all.
type ListRequest struct {
	Tenant id.Tenant
	Limit  int
}

// ProgramList answers a ListRequest.
type ProgramList struct{ Programs []Program }

// Program is what callers and operators see of a program.
type Program struct {
	Program  id.Program
	Tenant   id.Tenant
	Template id.Template
	Parent   id.Program
	Created  time.Time
	Deadline time.Time
	Turns    int
	Tokens   int // of history
	Ended    bool
	Reason   string
	Fault    *fault.Error // why it was ended, if it was not asked for
}
