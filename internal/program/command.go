package program

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/cloverwheel/cloverwheel/internal/chat"
	"github.com/cloverwheel/cloverwheel/internal/engine"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/peer"
	"github.com/cloverwheel/cloverwheel/internal/shard"
)

// Command is one entry of the shard's log for this machine. Exactly one field
// is set. Applying a command a second time changes nothing more.
type Command struct {
	Create  *Create
	Accept  *Accept
	Begin   *Begin
	Start   *Start
	Finish  *Finish
	Fail    *Fail
	End     *End
	Expire  *Expire
	Settled *Settled
}

// Limits bound one program; they come from the configuration in force at the
// proposer. A zero field means no limit.
type Limits struct {
	Turns     int
	Tokens    int // of history
	Idle      time.Duration
	SubAgents int           // alive at once in one tree
	Retention time.Duration // of an ended program's answers
}

// Create adds a program. Its identifier was chosen by the caller's gateway.
type Create struct {
	Time         time.Time
	Program      id.Program
	Tenant       id.Tenant
	Template     id.Template
	Parameters   map[string]string
	Parent       id.Program // empty for a root
	Deadline     time.Time  // zero: none
	MaxTurns     int        // asked for by the caller; narrows Limits.Turns
	Idle         time.Duration
	SystemPrompt string // first message of the history; empty: none
	Limits       Limits
}

// Accept gives a call its place in the program's order.
type Accept struct {
	Time       time.Time
	Program    id.Program
	Tenant     id.Tenant
	Key        string
	Body       uint64 // hash of the caller's request, from BodyHash
	Number     uint64 // zero: after all accepted calls
	Messages   []chat.Message
	Model      id.Model
	Adapter    id.Adapter
	MaxTokens  int
	Repeatable bool
	Tool       *ToolCall
	Arrived    time.Time // of the request at its gateway
	Limits     Limits    // in force now; they replace the program's
}

// ToolCall asks for a node-side tool in place of a model.
type ToolCall struct {
	Name      string
	Arguments string
	CallID    string
}

// Begin accepts a call and starts it, if it is new, gets the number Start.Call
// and its turn has come; otherwise it only accepts it.
type Begin struct {
	Accept Accept
	Start  Start
}

// Start permits one attempt of a call to leave for an engine or tool.
type Start struct {
	Time        time.Time
	Program     id.Program
	Call        uint64
	Attempt     int       // from 1; never lower than Record.Attempt
	Worker      id.Worker // empty for a tool
	Reservation int64     // tokens set aside at the ledger for this attempt
	Position    shard.Position
	// Fence is the only one under which the attempt may reach its engine.
	Fence engine.Fence
	// PreviousRefused says that the attempt before provably did not run.
	PreviousRefused bool
	// PreviousSpent is charged for the attempt before.
	PreviousSpent int64
}

// Finish records the answer of a started attempt.
type Finish struct {
	Time         time.Time
	Program      id.Program
	Call         uint64
	Attempt      int
	Message      chat.Message
	FinishReason string
	Usage        chat.Usage
	Spent        int64
	Position     shard.Position
}

// Fail records that a call ended without an answer. A fault with RanNo opens
// the call's place in the order again, for it and for all calls after it.
type Fail struct {
	Time    time.Time
	Program id.Program
	Call    uint64
	Attempt int // of the started attempt; zero: none was started
	Fault   *fault.Error
	// Refused says that the started attempt provably did not run.
	Refused  bool
	Spent    int64
	Position shard.Position
	// Arrived is the latest arrival among the requests that are answered by this
	// fault; a copy of one of them that comes late is not accepted again.
	Arrived time.Time
}

// End ends a program and its sub-agents.
type End struct {
	Time    time.Time
	Program id.Program
	Tenant  id.Tenant // empty: an operator
	Reason  string
}

// Expire ends and forgets what is due at Time.
type Expire struct{ Time time.Time }

// Settled says that the ledger has acknowledged the settlement of requests.
type Settled struct{ Requests []id.Request }

// kind is the last byte of an encoded command.
type kind byte

const (
	kindCreate kind = iota + 1
	kindAccept
	kindBegin
	kindStart
	kindFinish
	kindFail
	kindEnd
	kindExpire
	kindSettled
)

// Encode returns the command's bytes: the one set field in gob, then its kind.
// The kind keeps the type descriptions of the other commands out of each entry.
func (c Command) Encode() []byte {
	tag, payload := c.payload()
	encoded, err := peer.Encode(payload)
	if err != nil {
		// The payloads hold nothing that gob refuses.
		panic(eris.Wrap(err, "encode program command"))
	}
	return append(encoded, byte(tag))
}

func (c Command) payload() (kind, any) {
	switch {
	case c.Create != nil:
		return kindCreate, c.Create
	case c.Accept != nil:
		return kindAccept, c.Accept
	case c.Begin != nil:
		return kindBegin, c.Begin
	case c.Start != nil:
		return kindStart, c.Start
	case c.Finish != nil:
		return kindFinish, c.Finish
	case c.Fail != nil:
		return kindFail, c.Fail
	case c.End != nil:
		return kindEnd, c.End
	case c.Expire != nil:
		return kindExpire, c.Expire
	case c.Settled != nil:
		return kindSettled, c.Settled
	}
	panic("program: command without a field")
}

// Decode reads what Encode wrote.
func Decode(encoded []byte) (Command, error) {
	var c Command
	if len(encoded) == 0 {
		return c, fault.New(fault.Invalid, "empty program command", "run the same version on all nodes")
	}
	last := len(encoded) - 1
	target := c.allocate(kind(encoded[last]))
	if target == nil {
		return c, fault.Newf(fault.Invalid, "run the same version on all nodes", "unknown program command %d", encoded[last])
	}
	if err := peer.Decode(encoded[:last], target); err != nil {
		return Command{}, err
	}
	return c, nil
}

// allocate sets the field of tag and returns it, or nil for an unknown tag.
func (c *Command) allocate(tag kind) any {
	switch tag {
	case kindCreate:
		c.Create = &Create{}
		return c.Create
	case kindAccept:
		c.Accept = &Accept{}
		return c.Accept
	case kindBegin:
		c.Begin = &Begin{}
		return c.Begin
	case kindStart:
		c.Start = &Start{}
		return c.Start
	case kindFinish:
		c.Finish = &Finish{}
		return c.Finish
	case kindFail:
		c.Fail = &Fail{}
		return c.Fail
	case kindEnd:
		c.End = &End{}
		return c.End
	case kindExpire:
		c.Expire = &Expire{}
		return c.Expire
	case kindSettled:
		c.Settled = &Settled{}
		return c.Settled
	}
	return nil
}
