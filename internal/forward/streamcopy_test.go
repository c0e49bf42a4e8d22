package forward

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/route"
	"github.com/cloverwheel/cloverwheel/internal/streamcopy"
)

// storedRoute is a route whose turns are stored and may be resumed.
func storedRoute() route.Route {
	return route.Route{Host: "h", PathPrefix: "/p/", Kind: route.Streaming, Resumable: true, StoreTurns: true, Retention: time.Minute, MaxAttempts: 4, Targets: []route.Target{{Service: "s", Weight: 1}}}
}

// storedFixture is a node that knows no other, on a route whose turns are stored and may be resumed.
func storedFixture(t *testing.T) *fixture {
	f := newFixture(t, storedRoute())
	f.forwarder.options.Copies = streamcopy.New(streamcopy.Options{Nodes: func() []budget.Holder { return nil }, MaxBytes: 1 << 20})
	return f
}

// leaveAfter serves a request whose client leaves after some events.
func (f *fixture) leaveAfter(events int, change func(*Request)) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	request := &Request{ID: "r1", Method: http.MethodPost, Target: "/p/x", Host: "h", Path: "/p/x", Header: http.Header{}, Body: []byte("in"), Timeout: 3 * time.Second}
	change(request)
	got := &client{begun: time.Now()}
	got.onEvent = func() {
		if events--; events == 0 {
			got.failWrites = true // the event was written and did not arrive, or did
			cancel()
		}
	}
	f.forwarder.Serve(ctx, request, got)
}

// resumes makes a request one that resumes the stream of r1.
func resumes(id, lastEvent, stream string) func(*Request) {
	return func(r *Request) { r.ID, r.LastEventID, r.ResumedRequest, r.Program = id, lastEvent, stream, "p" }
}

// continues makes a request the turn that follows an earlier one.
func continues(id, previous string) func(*Request) {
	return func(r *Request) { r.ID, r.PreviousTurn, r.Program, r.Body = id, previous, "p", []byte("next") }
}

// Guards against a turn that is stored without the events that its client got by an earlier request (UNASKED).
func TestResumedTurnIsStoredWithItsFirstEvents(t *testing.T) {
	for name, test := range map[string]struct {
		lastEvent, stream string
	}{
		"in the middle":                     {"3", "r1"},
		"the client lost events":            {"1", "r1"},
		"only the end is missing":           {"5", "r1"},
		"the client does not name a stream": {"3", ""},
	} {
		t.Run(name, func(t *testing.T) {
			f := storedFixture(t)
			f.worker("w1", streams(5, 0))
			f.leaveAfter(5, func(r *Request) { r.Program = "p" })
			got := f.serve(t.Context(), resumes("r2", test.lastEvent, test.stream))
			require.True(t, got.ended, "%v", got.refusal)
			f.serve(t.Context(), continues("r3", "r2"))
			sent := f.sent()
			require.Equal(t, "int1\nt2\nt3\nt4\nt5\nnext", sent[len(sent)-1].body)
		})
	}
}

// Guards against a turn that is stored in part, and against work for it, where nobody knows what its client got: it must be refused as not run.
func TestTurnWithoutItsFirstEventsIsRefused(t *testing.T) {
	for name, test := range map[string]struct {
		route   func() route.Route
		copies  bool
		request func(*Request)
	}{
		"the node knows no copies":             {storedRoute, false, resumes("r2", "3", "r1")},
		"another stream":                       {storedRoute, true, resumes("r2", "3", "r9")},
		"an event that no copy has":            {storedRoute, true, resumes("r2", "7", "r1")},
		"another input":                        {storedRoute, true, func(r *Request) { resumes("r2", "3", "r1")(r); r.Body = []byte("else") }},
		"another program":                      {storedRoute, true, func(r *Request) { resumes("r2", "3", "r1")(r); r.Program = "q" }},
		"neither a stream nor a program named": {storedRoute, true, func(r *Request) { resumes("r2", "3", "")(r); r.Program = "" }},
		"a route that is not resumable": {func() route.Route {
			fixed := storedRoute()
			fixed.Resumable = false
			return fixed
		}, true, resumes("r2", "3", "r1")},
	} {
		t.Run(name, func(t *testing.T) {
			f := storedFixture(t)
			f.forwarder.SetConfiguration(route.New(2, []route.Route{test.route()}, []route.Service{{Name: "s", TokensPerEvent: 10}}, route.Limits{}))
			if !test.copies {
				f.forwarder.options.Copies = nil
			}
			f.worker("w1", streams(5, 0))
			f.leaveAfter(5, func(r *Request) { r.Program = "p" })
			before := len(f.sent())
			got := f.serve(t.Context(), test.request)
			require.NotNil(t, got.refusal)
			require.Equal(t, fault.Unavailable, got.refusal.Code)
			require.NotEqual(t, fault.RanYes, got.refusal.Ran)
			require.Positive(t, got.refusal.RetryAfter)
			require.Len(t, f.sent(), before, "nothing is sent to a worker")
		})
	}
}

// Guards against a turn that its node continues at another worker after a break, and stores without the events of the first one (UNASKED).
func TestTurnContinuedByItsNodeIsStoredWhole(t *testing.T) {
	f := storedFixture(t)
	f.worker("w1", streams(5, 2))
	f.worker("w2", streams(5, 4))
	f.worker("w3", streams(5, 0))
	got := f.serve(t.Context(), func(r *Request) { r.Program = "p" })
	require.True(t, got.ended)
	require.Equal(t, events(5), got.body.String())
	f.scripts["w1"], f.scripts["w2"] = streams(5, 0), streams(5, 0)
	f.serve(t.Context(), continues("r3", "r1"))
	sent := f.sent()
	require.Equal(t, "int1\nt2\nt3\nt4\nt5\nnext", sent[len(sent)-1].body)
}
