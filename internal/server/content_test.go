package server

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/groupcommit"
	"github.com/cloverwheel/cloverwheel/internal/history"
	"github.com/cloverwheel/cloverwheel/internal/locality"
	"github.com/cloverwheel/cloverwheel/internal/peer"
	"github.com/cloverwheel/cloverwheel/internal/store"
)

// Guards against region-bound content passing through nodes of other regions, including the relay
// that answered last. Unbound calls may use any node.
func TestRegionBoundCallsPassThroughAllowedRegionsOnly(t *testing.T) {
	zones := locality.NewMap(map[string]string{"a1": "a", "b1": "b"})
	inside := budget.Holder{Process: locality.ProcessName("a1", "n1", "01"), Address: "inside"}
	outside := budget.Holder{Process: locality.ProcessName("b1", "n2", "02"), Address: "outside"}
	unknown := budget.Holder{Process: "n3/03", Address: "nameless"}
	var called []string
	network := peer.NewMemoryNetwork()
	network.SetFaultInjector(func(_, to peer.Address, _ string) peer.InjectedFault {
		called = append(called, string(to))
		return peer.InjectedFault{}
	})
	for _, holder := range []budget.Holder{inside, outside, unknown} {
		mux := peer.NewMux()
		peer.Handle(mux, methodChain, func(context.Context, chainRequest) (chainAnswer, error) {
			return chainAnswer{Turns: []*history.Turn{{ID: "t"}}}, nil
		})
		network.Attach(peer.Address(holder.Address), mux)
	}
	transport := network.Transport("self")
	client := &peerClient{transport: newUncountedTransport(transport, zones)}
	calls := map[string]func(context.Context){
		"a chain": func(ctx context.Context) {
			for _, holder := range []budget.Holder{inside, outside, unknown} {
				_, err := client.History(ctx, holder, "t")
				require.NoError(t, err)
			}
		},
		"rows of a turn": func(ctx context.Context) {
			for _, holder := range []budget.Holder{inside, outside, unknown} {
				_, err := client.ForwardRows(ctx, holder, groupcommit.Request{})
				require.Error(t, err, "no handler is registered")
			}
		},
		"a write": func(ctx context.Context) {
			_, err := newRelayClient(transport, zones, inside, outside, unknown).Commit(ctx, store.Transaction{})
			require.Error(t, err, "no handler is registered")
		},
		"a read": func(ctx context.Context) {
			_, err := newRelayClient(transport, zones, outside, inside, unknown).Range(ctx, "t", "", "", "", 0)
			require.Error(t, err, "no handler is registered")
		},
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			called = nil
			call(locality.WithContentRegions(t.Context(), locality.Regions{"a"}))
			require.Equal(t, []string{"inside"}, called)
			called = nil
			call(locality.WithContentRegions(t.Context(), locality.Regions{}))
			require.Empty(t, called, "no region is allowed")
			call(t.Context())
			require.Greater(t, len(called), 1)
		})
	}
}

// newUncountedTransport returns a transport that counts no messages.
func newUncountedTransport(transport peer.Transport, zones *locality.ZoneMap) *meteredTransport {
	return &meteredTransport{Transport: transport, location: locality.Location{Zones: zones}, count: func(locality.Distance, int, int) {}}
}

// newRelayClient returns a client whose second candidate answered last.
func newRelayClient(transport peer.Transport, zones *locality.ZoneMap, candidates ...budget.Holder) *relayClient {
	return &relayClient{
		transport: newUncountedTransport(transport, zones),
		location:  locality.Location{Zones: zones},
		lastRelay: candidates[1], countCall: func() {},
		candidates: func() []budget.Holder { return append([]budget.Holder(nil), candidates...) },
		timeout:    func() time.Duration { return time.Second },
	}
}
