// Package capacity tracks the load of workers across all nodes and assigns requests to workers that
// have free capacity.
//
// The workers of a service in a zone are divided into groups. Each group has a coordinator: the
// owner of a directory slot, chosen by rendezvous hashing. Nodes report their running requests to
// the coordinator. While capacity is short, they also query it for a worker; the coordinator
// answers, or holds the query until capacity is free.
//
// Load reports only improve placement; correctness does not depend on them. A coordinator holds
// them in memory, a new coordinator rebuilds them from the next reports, and a node that gets no
// answer in time chooses a worker from its local state.
package capacity

import (
	"time"

	"github.com/cloverwheel/cloverwheel/internal/outlier"
	"github.com/cloverwheel/cloverwheel/internal/scheduling"
)

// Running is the load that one node's requests put on a worker.
type Running struct {
	Worker   string // worker key
	Requests int
	Tokens   int // maximum number of tokens that the requests hold
}

// Report is a node's load in a group. It replaces the node's previous report to the coordinator.
type Report struct {
	From     string // process name of the node
	Sequence uint64 // increases with each report of the process
	Group    Group
	Running  []Running // this node's requests in the group; workers without any are left out
	// Lasts is how long the report counts if no other follows. The coordinator caps it.
	Lasts time.Duration
	// Pending are the sequences of the queries that the node still waits for. Requests granted
	// in answer to them are not included in Running.
	Pending []uint64
	// Ended is the number of requests that ended since the previous report, and Held the total time
	// that they occupied their workers.
	Ended int
	Held  time.Duration
	// Declined are the keys of workers that declined a request since the previous report.
	Declined []string
	// Learnt holds the node's samples of worker behavior that it has not sent before.
	Learnt []outlier.Sample
}

// Request is a message to a coordinator: a report and, optionally, a query for a worker.
type Request struct {
	Process string // process name of the receiver; another process at its address rejects the request
	// Passed reports that the sender has skipped a process that ranks before this one as
	// coordinator, because it does not answer.
	Passed bool
	Report Report
	// Ask is nil for a report without a query.
	Ask *Ask
}

// Ask describes a request that needs a worker.
type Ask struct {
	Program scheduling.Program
	Home    string   // key of the worker that holds its context; empty: none
	Fresh   int      // tokens that any other worker has to read
	Tokens  int      // maximum number of tokens in memory
	Exclude []string // keys of workers that may not get it
	// Patience is how long the coordinator may hold the query until there is capacity.
	Patience time.Duration
}

// Outcome is a coordinator's decision on a query.
type Outcome int

// Values of Outcome.
const (
	OutcomeUnknown  Outcome = iota // the coordinator cannot decide; the node chooses a worker itself
	OutcomeAssigned                // send the request to Answer.Worker
	OutcomeWait                    // no capacity now; query again after Answer.After
	OutcomeRefuse                  // no capacity in time; retry after Answer.After
)

// String returns the name of the outcome in metrics and log lines.
func (o Outcome) String() string {
	return [...]string{"unknown", "go", "wait", "refuse"}[o]
}

// Answer is a coordinator's reply to a Request. The zero value means that the receiver is not the
// coordinator or cannot act as one.
type Answer struct {
	Keeper  bool // the receiver is the group's coordinator
	Outcome Outcome
	Worker  string        // worker key, with OutcomeAssigned
	After   time.Duration // with OutcomeWait and OutcomeRefuse
	Reason  Reason        // explains the decision, for logs and metrics
	// Busy is the utilization of the group: running requests as a share of the workers' concurrency
	// limits, above 1 if requests queue at workers. It is valid only if Settled is set: all nodes have
	// had time to report.
	Busy    float64
	Settled bool
	// Waiting is the number of held queries: those ahead of this one, or all of them in the answer
	// to a report without a query.
	Waiting int
	// HeldFor is how long the coordinator held this query; 0 if it was answered at once.
	HeldFor time.Duration
	// Avoid are the current verdicts on the group's workers, merged from the samples of all nodes.
	Avoid []outlier.Verdict
}

// Reason explains a coordinator's decision. It is a metric label.
type Reason string

// Values of Reason.
const (
	ReasonHome       Reason = "home"     // the worker that holds the context has capacity
	ReasonHomeSooner Reason = "sooner"   // the home worker will have capacity before another one has read the context
	ReasonMostFree   Reason = "roomiest" // the worker with most free capacity
	ReasonOvercommit Reason = "overbook" // all workers are at their limits; one request is expected to end in time
	ReasonFull       Reason = "full"     // no worker has capacity
	ReasonUnsettled  Reason = "new"      // not all nodes have had time to report
	ReasonNoWorkers  Reason = "none"     // the group has no worker that may receive requests
)
