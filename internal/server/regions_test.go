package server

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/evacuation"
	"github.com/cloverwheel/cloverwheel/internal/locality"
	"github.com/cloverwheel/cloverwheel/internal/peer"
	"github.com/cloverwheel/cloverwheel/internal/store"
)

var (
	testLocation = locality.Location{Zones: locality.NewMap(map[string]string{"a1": "a", "a2": "a", "b1": "b"}), Zone: "a1"}
	remoteOne    = holderIn("b1", "far-one")
	remoteTwo    = holderIn("b1", "far-other")
	nearbyOne    = holderIn("a2", "near-one")
	nearbyTwo    = holderIn("a1", "near-other")
)

// holderIn returns a process on a node of the given zone.
func holderIn(zone, node string) budget.Holder {
	return budget.Holder{Process: locality.ProcessName(zone, node, "0"), Address: node}
}

// Guards against proof requests to other regions while the node's own region answers.
func TestProofsAreRequestedWithinTheRegionFirst(t *testing.T) {
	v := newVerifier(Options{Settings: Settings{Regions: testLocation.Zones, Zone: testLocation.Zone}}, evacuation.New(nil))
	owners := []budget.Holder{remoteOne, nearbyOne, remoteTwo}
	for range 50 {
		require.Equal(t, nearbyOne, v.choosePeer(owners))
	}
	require.Contains(t, owners[2:], v.choosePeer(owners[2:]), "no owner in the region")
	v.lastPeerFailed = true
	seen := map[budget.Holder]bool{}
	for range 200 {
		seen[v.choosePeer(owners)] = true
	}
	require.Len(t, seen, len(owners), "the owner in the region failed")
}

// relayClientFor returns a client with the given candidates.
func relayClientFor(candidates ...budget.Holder) *relayClient {
	return &relayClient{location: testLocation, candidates: func() []budget.Holder { return append([]budget.Holder(nil), candidates...) }}
}

// chosenRelays returns the nodes chosen for a call that is not bound to regions.
func chosenRelays(t *testing.T, r *relayClient) []budget.Holder {
	t.Helper()
	chosen, failure := r.choose(t.Context())
	require.ErrorIs(t, failure, store.ErrNotApplied)
	return chosen
}

// Guards against relaying through other regions while the own one answers, and against staying
// with a region whose nodes fail.
func TestRelaysInTheRegionAreTriedFirst(t *testing.T) {
	r := relayClientFor(remoteOne, nearbyOne, remoteTwo, nearbyTwo)
	for range 50 {
		require.ElementsMatch(t, []budget.Holder{nearbyOne, nearbyTwo}, chosenRelays(t, r))
	}
	r.recordSuccess(nearbyOne)
	require.Equal(t, []budget.Holder{nearbyOne, nearbyTwo}, chosenRelays(t, r), "the relay that answered last is tried first")
	r.recordFailure(nearbyOne)
	r.recordFailure(nearbyTwo)
	seen := map[budget.Holder]bool{}
	for range 200 {
		for _, holder := range chosenRelays(t, r) {
			seen[holder] = true
		}
	}
	require.Len(t, seen, 4, "the relays of the region failed")
	r.recordSuccess(remoteOne)
	require.Equal(t, remoteOne, chosenRelays(t, r)[0])
	require.NotEqual(t, remoteTwo, chosenRelays(t, r)[1], "the own region is tried again")
}

// Guards against having no relay when the whole region has lost the store.
func TestOwnersInOtherRegionsAreRelayCandidates(t *testing.T) {
	candidates := withRemoteOwners(testLocation, []budget.Holder{nearbyOne, remoteOne}, []budget.Holder{remoteOne, remoteTwo, nearbyTwo})
	require.Equal(t, []budget.Holder{nearbyOne, remoteOne, remoteTwo}, candidates)
	require.Empty(t, withRemoteOwners(locality.Location{}, nil, []budget.Holder{remoteOne}), "no regions configured")
}

// fixedTransport answers every call with the same bytes.
type fixedTransport struct{ peer.Transport }

// Call implements peer.Transport.
func (fixedTransport) Call(context.Context, peer.Address, string, []byte) ([]byte, error) {
	return []byte("12345"), nil
}

// Guards against counting a message under the wrong distance, also for an unknown address.
func TestMessagesAreCountedByDistance(t *testing.T) {
	counted := map[locality.Distance][3]int{}
	m := &meteredTransport{
		Transport: fixedTransport{}, location: testLocation,
		owners: func() []budget.Holder { return []budget.Holder{remoteOne} },
		count: func(distance locality.Distance, sent, received int) {
			before := counted[distance]
			counted[distance] = [3]int{before[0] + 1, before[1] + sent, before[2] + received}
		},
	}
	m.recordZone(nearbyOne.Process, peer.Address(nearbyOne.Address))
	m.recordZone(nearbyTwo.Process, peer.Address(nearbyTwo.Address))
	for _, address := range []string{nearbyOne.Address, nearbyOne.Address, nearbyTwo.Address, remoteOne.Address, "unknown"} {
		_, err := m.Call(t.Context(), peer.Address(address), "method", []byte("123"))
		require.NoError(t, err)
	}
	require.Equal(t, map[locality.Distance][3]int{
		locality.SameZone: {1, 3, 5}, locality.SameRegion: {2, 6, 10}, locality.OtherRegion: {2, 6, 10},
	}, counted)
}
