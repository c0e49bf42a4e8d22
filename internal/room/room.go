// Package room keeps account of how full workers are, over all nodes, and gives their places out.
//
// The workers of a service fall into groups. Each group has a keeper, the owner of a directory slot,
// whom nodes tell what they have running there and whom they ask where to send the next request
// while room is short. The account helps performance and promises nothing: it is in the keeper's
// memory only, a new keeper starts from what nodes tell it, and a node that hears nothing in time
// goes by its own knowledge.
package room

import (
	"time"

	"github.com/cloverwheel/cloverwheel/internal/experience"
	"github.com/cloverwheel/cloverwheel/internal/standing"
)

// Running is how many requests of one node a worker has now.
type Running struct {
	Worker   string // its key
	Requests int
	Tokens   int // that they hold, at most
}

// Report is what a node tells the keeper of a group. It replaces the node's report before.
type Report struct {
	From     string // process of the node
	Sequence uint64 // rises with each report of the process
	Group    Group
	Running  []Running // of the group's workers; those not named have none of this node
	// Lasts is for how long the report counts if no other follows.
	Lasts time.Duration
	// Pending are the sequences of the node's questions that it still waits for: what was given
	// out in answer to them is not among Running.
	Pending []uint64
	// Ended requests have held their places for Held in all since the report before.
	Ended int
	Held  time.Duration
	// Declined are the workers that have said since the report before that they are full.
	Declined []string
	Learnt   []experience.Sample
}

// Request asks the keeper for a place, besides telling what runs.
type Request struct {
	Process string // that is asked; another one at its address is not the keeper
	// Passed says that the asker has passed over a process that should keep the group, since
	// that did not answer.
	Passed bool
	Report Report
	// Ask is nil if only the report is told.
	Ask *Ask
}

// Ask describes the request that needs a place.
type Ask struct {
	Program standing.Program
	Home    string   // key of the worker that knows its context; empty: none does
	Fresh   int      // tokens that any other worker has to read
	Tokens  int      // that it may hold in all
	Exclude []string // keys of workers that may not get it
	// Patience is how long the keeper may hold the question until there is room.
	Patience time.Duration
}

// Outcome is a keeper's decision.
type Outcome int

// The decisions.
const (
	Unknown Outcome = iota // the keeper cannot tell: the node decides by itself
	Go                     // to the worker named
	Wait                   // there is no room now; ask again after Answer.After
	Refuse                 // there will be none in time; come back after Answer.After
)

// String names an outcome in metrics and log lines.
func (o Outcome) String() string {
	return [...]string{"unknown", "go", "wait", "refuse"}[o]
}

// Answer is the keeper's word.
type Answer struct {
	Keeper  bool // the process asked keeps the group
	Outcome Outcome
	Worker  string        // key of the worker to send to, with Go
	After   time.Duration // with Wait and Refuse
	Reason  Reason        // for the log: why so
	// Busy is the share of the group's places that are taken, above 1 if requests wait at workers.
	// It counts only if Settled: the keeper has heard of all nodes.
	Busy    float64
	Settled bool
	// Waiting is how many questions the keeper holds.
	Waiting int
	// HeldFor is how long the keeper has held this one.
	HeldFor time.Duration
	// Avoid are the workers that the fleet's experience speaks against now.
	Avoid []experience.Verdict
}

// Reason is why a keeper decided so.
type Reason string

// The reasons.
const (
	ReasonHome     Reason = "home"     // the worker that knows the context has room
	ReasonSooner   Reason = "sooner"   // it will have room before another has read the context
	ReasonRoomiest Reason = "roomiest" // the worker with most room
	ReasonOverbook Reason = "overbook" // all are full, and one ends before the request arrives
	ReasonFull     Reason = "full"     // all are
	ReasonNew      Reason = "new"      // the keeper has not heard of all nodes yet
	ReasonNone     Reason = "none"     // the group has no worker that may get requests
)
