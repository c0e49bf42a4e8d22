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
	Sequence uint64 // rises with each report of the process to the keeper
	Service  string
	Group    int
	Running  []Running // of the group's workers; those not named have none of this node
	Learnt   []experience.Sample
}

// Request asks the keeper for a place, besides telling what runs.
type Request struct {
	Process string // that is asked; another one at its address is not the keeper
	Report  Report
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
	Near    string   // zone of the asker: workers there come first where all else is alike
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

// Answer is the keeper's word.
type Answer struct {
	Keeper  bool // the process asked keeps the group
	Outcome Outcome
	Worker  string        // key of the worker to send to, with Go
	After   time.Duration // with Wait and Refuse
	Reason  string        // for the log: why so
	// Busy is the share of the group's places that are taken, above 1 if requests wait at workers.
	Busy float64
	// Avoid are the workers that the fleet's experience speaks against now.
	Avoid []experience.Verdict
}
