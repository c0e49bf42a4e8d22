package server

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/gather"
	"github.com/cloverwheel/cloverwheel/internal/history"
	"github.com/cloverwheel/cloverwheel/internal/locality"
	"github.com/cloverwheel/cloverwheel/internal/peer"
	"github.com/cloverwheel/cloverwheel/internal/store"
)

// TestBoundContentPassesThroughItsRegionsOnly: calls for what was said in a bound request go
// through nodes of its regions only, be they the ones that helped last; all others go anywhere.
func TestBoundContentPassesThroughItsRegionsOnly(t *testing.T) {
	places := locality.NewMap(map[string]string{"a1": "a", "b1": "b"})
	inside := budget.Holder{Process: locality.ProcessName("a1", "n1", "01"), Address: "inside"}
	outside := budget.Holder{Process: locality.ProcessName("b1", "n2", "02"), Address: "outside"}
	nameless := budget.Holder{Process: "n3/03", Address: "nameless"}
	var asked []string
	network := peer.NewMemoryNetwork()
	network.SetJudge(func(_, to peer.Address, _ string) peer.Verdict {
		asked = append(asked, string(to))
		return peer.Verdict{}
	})
	for _, holder := range []budget.Holder{inside, outside, nameless} {
		mux := peer.NewMux()
		peer.Handle(mux, methodChain, func(context.Context, chainRequest) (chainAnswer, error) {
			return chainAnswer{Turns: []*history.Turn{{ID: "t"}}}, nil
		})
		network.Attach(peer.Address(holder.Address), mux)
	}
	transport := network.Transport("self")
	neighbours := &asker{transport: countedNothing(transport, places)}
	ways := map[string]func(context.Context){
		"a chain": func(ctx context.Context) {
			for _, holder := range []budget.Holder{inside, outside, nameless} {
				_, err := neighbours.Chain(ctx, holder, "t")
				require.NoError(t, err)
			}
		},
		"rows of a turn": func(ctx context.Context) {
			for _, holder := range []budget.Holder{inside, outside, nameless} {
				_, err := neighbours.Gather(ctx, holder, gather.Request{})
				require.Error(t, err, "nobody handles it in this test")
			}
		},
		"a write": func(ctx context.Context) {
			_, err := contentRelays(transport, places, inside, outside, nameless).Commit(ctx, store.Transaction{})
			require.Error(t, err, "nobody handles it in this test")
		},
		"a read": func(ctx context.Context) {
			_, err := contentRelays(transport, places, outside, inside, nameless).Range(ctx, "t", "", "", "", 0)
			require.Error(t, err, "nobody handles it in this test")
		},
	}
	for name, way := range ways {
		t.Run(name, func(t *testing.T) {
			asked = nil
			way(locality.WithContent(t.Context(), locality.Regions{"a"}))
			require.Equal(t, []string{"inside"}, asked)
			asked = nil
			way(locality.WithContent(t.Context(), locality.Regions{}))
			require.Empty(t, asked, "no region in common")
			way(t.Context())
			require.Greater(t, len(asked), 1)
		})
	}
}

// relaysOf are relays, of which the one named second helped last.
// countedNothing is a transport whose messages nobody counts.
func countedNothing(transport peer.Transport, places *locality.Map) *measured {
	return &measured{Transport: transport, vantage: locality.Vantage{Places: places}, count: func(locality.Distance, int, int) {}}
}

func contentRelays(transport peer.Transport, places *locality.Map, known ...budget.Holder) *relays {
	return &relays{
		transport: countedNothing(transport, places),
		vantage:   locality.Vantage{Places: places},
		last:      known[1], count: func() {},
		known:    func() []budget.Holder { return append([]budget.Holder(nil), known...) },
		patience: func() time.Duration { return time.Second },
	}
}
