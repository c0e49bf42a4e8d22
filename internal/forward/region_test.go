package forward

import (
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/backend"
	"github.com/cloverwheel/cloverwheel/internal/locality"
	"github.com/cloverwheel/cloverwheel/internal/route"
)

// Guards against refusing a request when only its own region is full, and against a log line
// without the reason for leaving the region.
func TestRequestLeavesAFullRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, plainRoute(route.Safe, 2))
		places := locality.NewMap(map[string]string{"z": "a", "b1": "b"})
		f.workers = backend.NewRegistry(backend.Options{Zone: "z", Zones: places, Dial: f.dial})
		lines := memory.New()
		f.forwarder.options.Workers, f.forwarder.options.Logger = f.workers, &log.Logger{Handler: lines, Level: log.InfoLevel}
		f.worker("near", declines)
		f.scripts["far"] = answers(http.StatusOK, "out")
		f.workers.Put(backend.Record{ID: "far", Service: "s", Address: "far", Zone: "b1", Slots: 4})
		got := f.serve(t.Context(), nil)
		require.Equal(t, http.StatusOK, got.status)
		require.Equal(t, []string{"near", "far"}, []string{f.sent()[0].worker, f.sent()[1].worker})
		require.Equal(t, string(backend.ReasonFull), lines.Entries[0].Fields.Get("crossed"))

		f.scripts["near"] = answers(http.StatusOK, "out")
		lines.Entries = nil
		f.workers.Remove("far")
		f.serve(t.Context(), nil)
		require.Nil(t, lines.Entries[0].Fields.Get("crossed"))
	})
}
