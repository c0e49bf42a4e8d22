// Package outlier detects unhealthy and slow workers from the request outcomes that all nodes
// report. It merges the reports per worker, ejects workers that fail clearly more requests than
// the others of their group, and estimates the cost of sending requests to the rest.
//
// A single node sends a worker one request every few seconds, too few to detect partial failure or
// a slowdown quickly; the merged reports of all nodes suffice within a second or two. The package
// reads no clock and does no I/O: callers pass the current time.
package outlier

import "time"

// Sample is what one node observed of one incarnation of a worker since its previous report. Nodes
// send it to each other, so its field names are part of the protocol.
type Sample struct {
	Worker string // key of the worker's incarnation
	// Requests is the number of requests that ended.
	Requests int
	// Failures is how many of Requests failed because of the worker: failed, truncated or garbled.
	Failures int
	// Silences is the number of requests whose first event did not arrive within the usual time.
	// Such a request need not have ended.
	Silences int
	// Pace is the mean time per token over Paced measurements; 0 if there were none.
	Pace  time.Duration
	Paced int
}

// Verdict is how nodes should treat a worker. One that sets only Worker withdraws earlier verdicts:
// the worker may receive all requests again. Nodes send it to each other, so its field names are
// part of the protocol.
type Verdict struct {
	Worker string // key of the worker's incarnation
	// Until is how much longer the worker is ejected and receives trial requests only; 0 if it is
	// not ejected.
	Until time.Duration
	// Trial allows the receiving node to send the worker one request regardless of Until and Slow.
	// The outcome counts for all nodes.
	Trial bool
	// Slow is the worker's time per token divided by the median of its group; 0 if the worker is
	// not slow.
	Slow float64
	// Cost is the expected extra latency of a request to this worker compared with a healthy one,
	// because of failures and late first events. It doesn't include Slow.
	Cost time.Duration
}

// Clear reports whether the verdict contains no ejection, no slowdown and no cost.
func (v Verdict) Clear() bool { return v.Until <= 0 && v.Slow == 0 && v.Cost == 0 }
