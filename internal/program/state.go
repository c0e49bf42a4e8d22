package program

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/chat"
	"github.com/cloverwheel/cloverwheel/internal/engine"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/shard"
)

// CallState is how far a call has come.
type CallState uint8

// The states of a call. A call that was refused as not run is removed, so it
// has no state.
const (
	Accepted CallState = iota + 1
	Started
	Finished
	Failed
)

// Call is one call of a program. Its slices are shared with the machine and
// must not be changed.
type Call struct {
	Number      uint64
	Key         string
	BodyHash    uint64 // of what must be equal when the key is repeated
	State       CallState
	Messages    []chat.Message // new ones; nil once the call has an outcome
	Tokens      int            // estimate of Messages
	Model       id.Model
	Adapter     id.Adapter
	MaxTokens   int
	Repeatable  bool
	Tool        *ToolCall
	Arrived     time.Time
	Attempt     int // the last one started; zero: none
	Worker      id.Worker
	Reservation int64
	Position    shard.Position // of the leadership that started the attempt
	Fence       engine.Fence   // of the attempt, as in Start
	// MayHaveRun says that an attempt before the last one may have run.
	MayHaveRun   bool
	AnswerIndex  int // of the answer in the program's history
	FinishReason string
	Usage        chat.Usage
	Fault        *fault.Error // of a failed call
	// Vacated says that the failed call left its number to the next one.
	Vacated bool
}

// Done reports whether the call has its outcome.
func (c *Call) Done() bool { return c.State == Finished || c.State == Failed }

// refusal remembers a call that was answered as not run.
type refusal struct {
	Fault   *fault.Error
	Arrived time.Time // copies of requests up to here are refused again
	Time    time.Time
}

// refusalMemory is how long refusals are remembered; it exceeds the time that
// any message between nodes can be under way.
const refusalMemory = 2 * time.Minute

// Settlement is what the ledger must still be told about a request.
type Settlement struct {
	Tenant id.Tenant
	Spent  int64
}

// record is the whole state of one program.
type record struct {
	Program    id.Program
	Tenant     id.Tenant
	Template   id.Template
	Parameters map[string]string
	Parent     id.Program
	Created    time.Time
	Deadline   time.Time
	MaxTurns   int
	Idle       time.Duration
	Limits     Limits

	History []chat.Message // append-only, so readers may share it
	Prefix  chat.Prefix    // of History; append-only as well
	Tokens  int            // of Prefix

	Calls map[uint64]*Call
	open  map[uint64]*Call // those without an outcome
	Keys  map[string]uint64
	// Failures holds, by key, the failed calls that left their number to the next.
	Failures map[string]*Call
	Refusals map[string]refusal
	Turn     uint64 // lowest call number without an outcome
	Attempt  int    // lowest attempt of call Turn that was never started or refused
	Workers  []id.Worker
	Active   time.Time    // of the last command that was the program's own doing
	Closing  *fault.Error // set: a limit was reached, the program ends with its last outcome

	Ended   bool
	EndedAt time.Time
	Reason  string
	Fault   *fault.Error
	Bytes   int
}

// View is a program as seen from outside the machine.
type View struct {
	Program    id.Program
	Tenant     id.Tenant
	Template   id.Template
	Parameters map[string]string
	Parent     id.Program
	Created    time.Time
	Deadline   time.Time
	Limits     Limits
	Turns      int // calls with an outcome
	Tokens     int // of history
	Turn       uint64
	Attempt    int // the next one of call Turn
	Workers    []id.Worker
	Active     time.Time // of the last command that was the program's own doing
	Ended      bool
	Reason     string
	Fault      *fault.Error
}

func (r *record) view() View {
	return View{
		Program: r.Program, Tenant: r.Tenant, Template: r.Template, Parameters: r.Parameters,
		Parent: r.Parent, Created: r.Created, Deadline: r.Deadline, Limits: r.Limits,
		Turns: int(r.Turn - 1), Tokens: r.Tokens, Turn: r.Turn, Attempt: r.Attempt,
		Workers: r.Workers, Active: r.Active, Ended: r.Ended, Reason: r.Reason, Fault: r.Fault,
	}
}

// maxTurns is the tighter of the template's limit and the caller's; zero: none.
func (r *record) maxTurns() int { return tighter(r.Limits.Turns, r.MaxTurns) }

func (r *record) idleLimit() time.Duration { return tighter(r.Limits.Idle, r.Idle) }

// tighter returns the smaller of two limits, where zero means none.
func tighter[N int | time.Duration](a, b N) N {
	if a <= 0 {
		return b
	}
	if b <= 0 {
		return a
	}
	return min(a, b)
}

// pending returns the numbers of the calls without an outcome, in order.
func (r *record) pending() []uint64 {
	return slices.Sorted(maps.Keys(r.open))
}

// last returns the highest number that a call holds.
func (r *record) last() uint64 {
	highest := r.Turn - 1
	for number := range r.open {
		highest = max(highest, number)
	}
	return highest
}

// waitingTokens sums the new messages of all calls without an outcome.
func (r *record) waitingTokens() int {
	total := 0
	for _, call := range r.open {
		total += call.Tokens
	}
	return total
}

// byKey returns the call that holds an idempotency key, or nil.
func (r *record) byKey(key string) *Call {
	if failed := r.Failures[key]; failed != nil {
		return failed
	}
	return r.Calls[r.Keys[key]]
}

// running returns the call under way at an engine or tool, or nil.
func (r *record) running() *Call {
	call := r.Calls[r.Turn]
	if call == nil || call.State != Started {
		return nil
	}
	return call
}

// within reports whether p is ancestor or lies below it.
func within(p, ancestor id.Program) bool {
	return p == ancestor || strings.HasPrefix(string(p), string(ancestor)+".")
}

// Sizes of what a record holds besides its strings, in bytes.
const (
	recordOverhead  = 1440
	callOverhead    = 384
	messageOverhead = 112
	refusalOverhead = 256
)

func messagesSize(messages []chat.Message) int {
	size := 0
	for _, m := range messages {
		size += messageOverhead + len(m.Content) + len(m.ToolCallID)
		for _, call := range m.ToolCalls {
			size += len(call.ID) + len(call.Name) + len(call.Arguments)
		}
	}
	return size
}

func (c *Call) size() int {
	size := callOverhead + 2*len(c.Key) + messagesSize(c.Messages)
	if c.Tool != nil {
		size += len(c.Tool.Arguments)
	}
	return size
}

// baseSize is the size of a record without history, calls and refusals.
func (r *record) baseSize() int {
	size := recordOverhead
	for name, value := range r.Parameters {
		size += len(name) + len(value)
	}
	return size
}

// measure computes the size that Bytes tracks.
func (r *record) measure() int {
	size := r.baseSize() + messagesSize(r.History) + refusalOverhead*len(r.Refusals)
	for _, call := range r.Calls {
		size += call.size()
	}
	for _, call := range r.Failures {
		size += call.size()
	}
	return size
}

// earlier returns the earlier of two deadlines, where zero means none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
