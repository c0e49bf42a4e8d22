package config

import (
	"encoding/json"
	"math"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/peer"
	"github.com/cloverwheel/cloverwheel/internal/template"
)

// HeadShard is the shard that holds the configuration head.
const HeadShard id.Shard = 0

// Peer methods. The leader of shard 0 serves the first four, every node the rest.
const (
	MethodApply   = "config.apply"   // ApplyRequest → ApplyResult
	MethodHistory = "config.history" // HistoryRequest → History
	MethodDiff    = "config.diff"    // DiffRequest → Diff
	MethodRestore = "config.restore" // RollbackRequest → ApplyResult
	MethodHead    = "config.head"    // HeadRequest → Head
	MethodPull    = "config.pull"    // PullRequest → stream of PullItem
	MethodPush    = "config.push"    // PushRequest → PushResponse
	MethodStatus  = "config.status"  // StatusRequest → NodeStatus
)

// AnyBase as a change's base skips the check for races.
const AnyBase uint64 = math.MaxUint64

// ApplyRequest asks for a change. Repeating it with the same ChangeID returns
// the first one's result.
type ApplyRequest struct {
	ChangeID string // empty: chosen by Service.Apply
	// Base is the version that the operator saw. The change is refused with
	// fault.Conflict if one of its objects has changed since. Zero: none of the
	// objects may exist.
	Base    uint64
	Change  template.Change
	Author  string
	Message string
	DryRun  bool // validate and show the difference only
	// Initial accepts the change as the very first one only.
	Initial bool
}

// ApplyResult says what an accepted change, or a dry run, makes of the head.
type ApplyResult struct {
	Version    uint64      `json:"version"`
	ChangeID   string      `json:"change_id"`
	Differs    []FieldDiff `json:"differs"`
	DryRun     bool        `json:"dry_run,omitempty"`
	Repetition bool        `json:"repetition,omitempty"` // of a change accepted earlier
}

// RollbackRequest makes a new version that looks like an old one.
type RollbackRequest struct {
	ChangeID string
	To       uint64 // version to go back to
	Base     uint64 // as in ApplyRequest
	// Objects limits the rollback, as "template NAME" or "tenant NAME"; empty: all.
	Objects []string
	Author  string
	Message string
	DryRun  bool
}

// HistoryRequest reads accepted versions, latest first.
type HistoryRequest struct {
	Object string // as in RollbackRequest; empty: every object
	Limit  int    // zero: all that are kept
}

// History answers a HistoryRequest.
type History struct{ Items []HistoryItem }

// HistoryItem describes one accepted version.
type HistoryItem struct {
	Version  uint64      `json:"version"`
	ChangeID string      `json:"change_id"`
	Author   string      `json:"author"`
	Message  string      `json:"message"`
	Made     time.Time   `json:"made"`
	Differs  []FieldDiff `json:"differs"`
}

// DiffRequest compares two accepted versions. To zero means the head.
type DiffRequest struct{ From, To uint64 }

// Diff answers a DiffRequest.
type Diff struct {
	From    uint64      `json:"from"`
	To      uint64      `json:"to"`
	Differs []FieldDiff `json:"differs"`
}

// FieldDiff is one field that differs, with values as JSON; an empty value
// means that the field is not there.
type FieldDiff struct {
	Object string `json:"object"` // "template NAME" or "tenant NAME"
	Field  string `json:"field"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// ConflictHint is the machine-readable part of a fault.Conflict.
type ConflictHint struct {
	Present uint64      `json:"present"` // version
	Differs []FieldDiff `json:"differs"` // from the present version to the refused change
}

// ConflictOf reads the hint of a fault.Conflict that Apply returned.
func ConflictOf(err error) (ConflictHint, bool) {
	var hint ConflictHint
	if !fault.Is(err, fault.Conflict) {
		return hint, false
	}
	return hint, json.Unmarshal([]byte(fault.From(err).Hint), &hint) == nil
}

// HeadRequest asks a node for the latest head that it knows to be confirmed.
type HeadRequest struct{}

// Head says that Version was the head no longer than Age before the answer.
type Head struct {
	Version   uint64
	Age       time.Duration
	Confirmed bool // false: the node has never heard of a head
}

// PullRequest asks for what leads from version Since to the node's own.
type PullRequest struct{ Since uint64 }

// PullItem is a part of the answer: either accepted changes in order, or a part
// of a whole configuration at Version.
type PullItem struct {
	Entries []Entry
	Whole   bool
	Version uint64
	Part    template.Change
	Last    bool // part of the whole
}

// PushRequest hands accepted versions down the tree.
type PushRequest struct {
	From    peer.Address // has Version in force
	Version uint64
	Entries []Entry // contiguous up to Version; who lacks others pulls them
	Forward []peer.Address
}

// PushResponse lists the nodes of the subtree that did not acknowledge.
type PushResponse struct{ Missing []peer.Address }

// StatusRequest asks a node for its version in force.
type StatusRequest struct{}

// NodeStatus is what one node says of its configuration.
type NodeStatus struct {
	Node         id.Node       `json:"node"`
	Zone         string        `json:"zone"`
	Version      uint64        `json:"version"`
	InForce      time.Duration `json:"in_force"`      // since the version was taken in
	ConfirmedAge time.Duration `json:"confirmed_age"` // since the head was last confirmed
	Fresh        bool          `json:"fresh"`
	Error        string        `json:"error,omitempty"` // the node did not answer
}
