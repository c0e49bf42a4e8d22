// Package experience merges what many nodes have seen of a worker: how often it failed and how fast
// it was. One node sends a worker a request in some seconds; all nodes together see within a moment
// that it fails a part of them, or has turned slow. It knows no clock and no network.
package experience

import "time"

// Sample is what one node has seen of one incarnation of a worker since it told last.
type Sample struct {
	Worker string // its key, which names the incarnation
	// Requests ended, Failures of them by the worker's fault: failed, cut off, garbled.
	Requests int
	Failures int
	// Silences are requests that got no first event within what is usual.
	Silences int
	// Pace is the mean time of a token over Paced measurements; 0: none was seen.
	Pace  time.Duration
	Paced int
}

// Verdict is what the merged experience says of a worker. One that has Worker alone takes back what
// was said before: the worker may get all requests again.
type Verdict struct {
	Worker string
	// Until is for how much longer it should get no requests but trials; 0: it may get all.
	Until time.Duration
	// Trial says that the node that gets this verdict is to send one request there nevertheless, for
	// all nodes.
	Trial bool
	// Slow is how many times as long as at its fellows a token takes there; 0: it is like them.
	Slow float64
	// Cost is what sending a request there is expected to cost beyond a sound worker, its pace apart.
	Cost time.Duration
}

// Clear reports whether the verdict speaks for the worker.
func (v Verdict) Clear() bool { return v.Until <= 0 && v.Slow == 0 && v.Cost == 0 }
