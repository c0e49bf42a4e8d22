package forward

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/route"
)

// Guards against requests that a closing node begins although they may be cut off or hold it up.
func TestClosingNodeBeginsOnlyShortPlainRequests(t *testing.T) {
	for name, test := range map[string]struct {
		kind        route.Kind
		limit, left time.Duration
		want        bool
	}{
		"plain, ends in time":      {route.Safe, time.Second, 2 * time.Second, true},
		"unsafe, ends in time":     {route.Unsafe, time.Second, 2 * time.Second, true},
		"plain, may be cut off":    {route.Safe, 2 * time.Second, 2 * time.Second, false},
		"plain, no limit":          {route.Safe, time.Hour, 5 * time.Second, false},
		"turn that ends in time":   {route.Streaming, time.Second, 2 * time.Second, false},
		"plain, time is over":      {route.Safe, time.Second, 0, false},
		"plain, time is long over": {route.Safe, time.Second, -time.Second, false},
	} {
		require.Equal(t, test.want, beginsWhileClosing(test.kind, test.limit, test.left), name)
	}
}

// Guards against a stop that does not wait for a request in progress, or waits for one that began later.
func TestClosingNodeWaitsForEarlierRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, plainRoute(route.Safe, 1))
		f.worker("a", hangs)
		f.reachable = true
		serve := func() {
			_ = f.serve(t.Context(), func(r *Request) { r.Timeout = time.Second })
		}
		go serve()
		synctest.Wait()
		require.EqualValues(t, 1, f.forwarder.RequestsBeforeClosing())
		f.forwarder.BeginClosing(time.Now().Add(10 * time.Second))
		time.Sleep(500 * time.Millisecond)
		go serve()
		synctest.Wait()
		require.EqualValues(t, 1, f.forwarder.RequestsBeforeClosing())
		time.Sleep(700 * time.Millisecond)
		require.Zero(t, f.forwarder.RequestsBeforeClosing())
		time.Sleep(time.Second)
	})
}

// Guards against a closing node that begins a turn, or refuses it in a way that keeps the client from
// sending it to another node.
func TestClosingNodeRefusesTurnsAsNotRun(t *testing.T) {
	f := newFixture(t, plainRoute(route.Streaming, 1))
	f.worker("a", func(context.Context, Call) (*Answer, error) {
		t.Error("a turn was begun")
		return answer(http.StatusOK, false, nil), nil
	})
	f.forwarder.BeginClosing(time.Now().Add(time.Hour))
	got := f.serve(t.Context(), nil)
	require.Equal(t, fault.Unavailable, got.refusal.Code)
	require.Equal(t, fault.RanNo, got.refusal.Ran)
	require.Positive(t, got.refusal.RetryAfter)
}
