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
	// Pace is the mean time of a token over Paced tokens; 0: none was seen.
	Pace  time.Duration
	Paced int
}

// Verdict is what the merged experience says of a worker.
type Verdict struct {
	Worker string
	// Until is for how much longer it should get no requests but trials; 0: it may get all.
	Until time.Duration
	// Cost is what sending a request there is expected to cost beyond a sound worker.
	Cost time.Duration
}
