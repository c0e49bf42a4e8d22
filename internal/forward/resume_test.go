package forward

import (
	"context"
	"fmt"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/backend"
	"github.com/cloverwheel/cloverwheel/internal/route"
)

// continuedLines returns the log lines of sends that go on with a stream.
func continuedLines(handler *memory.Handler) (lines []log.Fields) {
	for _, entry := range handler.Entries {
		if entry.Fields.Get("since") != nil {
			lines = append(lines, entry.Fields)
		}
	}
	return lines
}

// TestContinuedStreamIsLoggedWithVersions guards against streams that go on at another worker without a line that names
// both workers and their software versions.
func TestContinuedStreamIsLoggedWithVersions(t *testing.T) {
	f := newFixture(t, route.Route{Host: "h", PathPrefix: "/p/", Kind: route.Streaming, Resumable: true, MaxAttempts: 2, Targets: []route.Target{{Service: "s", Weight: 1}}})
	handler := memory.New()
	f.forwarder.options.Logger = &log.Logger{Handler: handler, Level: log.InfoLevel}
	f.worker("w1", streams(3, 1))
	f.worker("w2", streams(3, 1))
	f.serve(context.Background(), nil)
	lines := continuedLines(handler)
	require.NotEmpty(t, lines)
	require.Equal(t, sinceSameAnswer, lines[0].Get("since"))
	require.Contains(t, []string{"w1", "w2"}, lines[0].Get("relayed_by"))

	handler.Entries = nil
	f.serve(context.Background(), func(r *Request) { r.LastEventID, r.ResumedRequest = "1", "r0" })
	lines = continuedLines(handler)
	require.NotEmpty(t, lines)
	require.Equal(t, sinceEarlierTries, lines[0].Get("since"))
	require.Equal(t, "r0", lines[0].Get("resumes"))
}

// workerOf adds a worker with a software version.
func (f *fixture) workerOf(id, version string, does script) {
	f.scripts[id] = does
	f.workers.Put(backend.Record{ID: id, Service: "s", Address: id, Zone: "z", Slots: 4, SoftwareVersion: version})
}

// TestBrokenStreamGoesOnAtItsVersion guards against an answer with events of two software versions: after a worker broke, only
// workers of its version may go on.
func TestBrokenStreamGoesOnAtItsVersion(t *testing.T) {
	for request := range 20 {
		f := newFixture(t, route.Route{Host: "h", PathPrefix: "/p/", Kind: route.Streaming, Resumable: true, MaxAttempts: 4, Targets: []route.Target{{Service: "s", Weight: 1}}})
		f.workerOf("old-1", "v1", streams(3, 1))
		f.workerOf("old-2", "v1", streams(3, 0))
		f.workerOf("new-1", "v2", streams(3, 1))
		f.workerOf("new-2", "v2", streams(3, 0))
		got := f.serve(context.Background(), func(r *Request) { r.ID = fmt.Sprint("r", request) })
		require.True(t, got.ended)
		require.Equal(t, events(3), got.body.String())
		sent := f.sent()
		for _, later := range sent[1:] {
			require.Equal(t, sent[0].worker[:3], later.worker[:3], "request %d: %v", request, sent)
		}
	}
}
