package forward

import (
	"time"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/route"
)

// BeginClosing starts the last phase of a planned stop, which ends when the requests that began
// before it have ended, at the latest at cutOff. Until then short requests are still served, so that
// clients that have not noticed the stop are not turned away while the node waits.
func (f *Forwarder) BeginClosing(cutOff time.Time) { f.cutOff.Store(&cutOff) }

// RequestsBeforeClosing returns the number of requests in progress that began before BeginClosing.
func (f *Forwarder) RequestsBeforeClosing() int64 { return f.beforeClosing.Load() }

// countBeforeClosing counts a request that begins now for RequestsBeforeClosing, until done is called.
func (f *Forwarder) countBeforeClosing() (done func()) {
	if f.cutOff.Load() != nil {
		return func() {}
	}
	f.beforeClosing.Add(1)
	return func() { f.beforeClosing.Add(-1) }
}

// checkClosing refuses a request with the given time limit that a closing node does not begin.
func (x *exchange) checkClosing(limit time.Duration) *fault.Error {
	cutOff := x.cutOff.Load()
	if cutOff == nil || beginsWhileClosing(x.route.Kind, limit, time.Until(*cutOff)) {
		return nil
	}
	return fault.New(fault.Unavailable, "this node is about to stop", "send the request to another node").
		WithRetryAfter(jitteredRetryAfter())
}

// beginsWhileClosing reports whether a closing node begins a request: a plain one that ends before
// the rest is cut off. A turn may take as long as those that the node waits for.
func beginsWhileClosing(kind route.Kind, limit, left time.Duration) bool {
	return kind != route.Streaming && limit < left
}
