package directory

import (
	"bytes"
	"context"
	"encoding/gob"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/locality"
	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/store/storetest"
)

// Grant implements GrantPeers.
func (p clusterPeers) Grant(_ context.Context, address string, request GrantRequest) (GrantAnswer, error) {
	p.cluster.mutex.Lock()
	d, ok := p.cluster.nodes[address]
	partitioned := p.cluster.isolated[address] || p.cluster.isolated[p.from]
	p.cluster.mutex.Unlock()
	if !ok || partitioned {
		return GrantAnswer{}, errDown
	}
	return d.HandleGrantRequest(request), nil
}

// grantRequestFor returns a grant request for 100 tokens of a program in the slot.
func grantRequestFor(d *Directory, slot int, number uint64) GrantRequest {
	return GrantRequest{Process: d.options.Self.Process, Program: programIn(slot), Tokens: 100, From: budget.Holder{Process: "asker", Address: "a"}, Number: number}
}

// owned returns a node that owns the slot.
func (c *cluster) owned(slot int) *Directory {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, d := range c.nodes {
		if _, ok := d.Lease(slot); ok {
			return d
		}
	}
	return nil
}

// slotOwner returns a running directory's view of a slot's owner.
func (d *Directory) slotOwner(slot int) owner {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.owners[slot]
}

// restartAll replaces the processes of all nodes.
func (c *cluster) restartAll() {
	for index := range 3 {
		c.kill(address(index))
		c.start(address(index))
	}
	time.Sleep(8 * time.Second)
}

// A part must not be granted twice; a retry gets the same tokens.
func TestGrantIsMadeOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, d, slot := startWithOwner(t)
		defer c.stop()
		require.Equal(t, 100, d.HandleGrantRequest(grantRequestFor(d, slot, 1)).Grant.Tokens)
		require.Equal(t, 100, d.HandleGrantRequest(grantRequestFor(d, slot, 1)).Grant.Tokens, "a retry gets the same tokens")
		again := d.HandleGrantRequest(grantRequestFor(d, slot, 2)).Grant
		require.Equal(t, budget.Grant{Taker: budget.Holder{Process: "asker", Address: "a"}}, again)
		other := grantRequestFor(d, slot, 1)
		other.From.Process = "other"
		require.Zero(t, d.HandleGrantRequest(other).Grant.Tokens)
		other.Process = "one that ended"
		require.False(t, d.HandleGrantRequest(other).Owner)
	})
}

// Owners must be able to grant during a store outage, until maxGrantStaleness has passed.
func TestOwnersGrantDuringAStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, d, slot := startWithOwner(t)
		defer c.stop()
		c.table.SetFault(func(string, bool) storetest.Fault { return storetest.RequestLost })
		time.Sleep(10 * time.Minute)
		grant, ok := c.node(1).Grant(t.Context(), programIn(slot), 100, 1)
		require.True(t, ok)
		require.Equal(t, 100, grant.Tokens)
		time.Sleep(maxGrantStaleness)
		require.Zero(t, d.HandleGrantRequest(grantRequestFor(d, slot, 7)).Grant.Tokens)
		program := grantRequestFor(d, slot, 8)
		program.Program = otherProgramIn(slot)
		require.Zero(t, d.HandleGrantRequest(program).Grant.Tokens, "later owners may not count this one any more")
	})
}

// otherProgramIn returns a second program of the slot.
func otherProgramIn(slot int) string {
	for index := range 100_000 {
		if name := programOf(index); SlotOf(xxhash.Sum64String(name)) == slot && name != programIn(slot) {
			return name
		}
	}
	return ""
}

// Each successive owner must grant from a part of its own. Once there were as many owners as
// parts, nothing may be granted until earlierOwnersTTL has passed.
func TestSuccessorsGrantFromTheirOwnParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _, slot := startWithOwner(t)
		defer c.stop()
		total := 0
		for number := range uint64(4) {
			d := c.owned(slot)
			total += d.HandleGrantRequest(grantRequestFor(d, slot, number)).Grant.Tokens
			c.restartAll()
		}
		require.Equal(t, 100*budget.OwnedParts, total)
		d := c.owned(slot)
		may, owned := d.CountGrantableSlots()
		require.Positive(t, owned)
		require.Zero(t, may)
		time.Sleep(earlierOwnersTTL + 2*time.Hour)
		d = c.owned(slot)
		require.Equal(t, 100, d.HandleGrantRequest(grantRequestFor(d, slot, 9)).Grant.Tokens)
	})
}

// A partitioned owner that has not learned of its successor must not grant from the same part.
func TestTwoOwnersGrantDifferentParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, old, slot := startWithOwner(t)
		defer c.stop()
		c.mutex.Lock()
		c.isolated[address(0)] = true
		c.mutex.Unlock()
		for range 20 {
			for index := 1; index < 3; index++ {
				c.node(index).Locate(t.Context(), programIn(slot))
				for other := range slotsPerRegion {
					c.node(index).Locate(t.Context(), programIn(other))
				}
			}
			time.Sleep(500 * time.Millisecond)
		}
		var successor *Directory
		for index := 1; index < 3; index++ {
			if _, ok := c.node(index).Lease(slot); ok {
				successor = c.node(index)
			}
		}
		require.NotNil(t, successor)
		require.Equal(t, 1, successor.slotOwner(slot).grants.Earlier)
		require.True(t, old.slotOwner(slot).grants.mayGrant())
	})
}

// A planned shutdown must not use up a part unless something was granted.
func TestPlannedShutdownUsesNoPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, d, slot := startWithOwner(t)
		defer c.stop()
		other := 0
		for candidate := range slotsPerRegion {
			if d.owns(candidate) && candidate != slot {
				other = candidate
			}
		}
		require.Equal(t, 100, d.HandleGrantRequest(grantRequestFor(d, slot, 1)).Grant.Tokens)
		d.Leave(t.Context())
		require.Zero(t, d.HandleGrantRequest(grantRequestFor(d, other, 2)).Grant.Tokens, "the released row says that nothing was granted")
		c.kill(address(0))
		time.Sleep(time.Minute)
		require.Equal(t, grants{Known: true, Earlier: 1}, c.owned(slot).slotOwner(slot).grants)
		require.Equal(t, grants{Known: true}, c.owned(other).slotOwner(other).grants)
	})
}

// A node that is shutting down must not grant, even if it cannot release its slots in the store.
func TestLeavingNodeGrantsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, d, slot := startWithOwner(t)
		defer c.stop()
		c.table.SetFault(func(string, bool) storetest.Fault { return storetest.RequestLost })
		d.Leave(t.Context())
		require.Zero(t, d.HandleGrantRequest(grantRequestFor(d, slot, 1)).Grant.Tokens)
	})
}

// Rewriting a row for another reason must keep the count of earlier owners.
func TestRewriteKeepsEarlierOwnersCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _, slot := startWithOwner(t)
		defer c.stop()
		c.restartAll()
		d := c.owned(slot)
		require.True(t, d.AllowFullLimit(t.Context(), slot, "tenant"))
		require.Equal(t, grants{Known: true, Earlier: 1}, d.slotOwner(slot).grants)
	})
}

// After an owner of a version without grants, all parts must count as used.
func TestOldVersionOwnerUsesUpAllParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(0)
		defer c.stop()
		var encoded bytes.Buffer
		require.NoError(t, gob.NewEncoder(&encoded).Encode(struct{ Process, Address string }{"old", address(0)}))
		require.NoError(t, c.table.CommitWithoutFaults(store.Transaction{Put: []store.Row{{Key: keyOf(5), Value: encoded.Bytes()}}}))
		d := c.start(address(0))
		time.Sleep(8 * time.Second)
		require.Equal(t, grants{Known: true, Earlier: budget.OwnedParts}, d.slotOwner(5).grants)
		require.Zero(t, d.HandleGrantRequest(grantRequestFor(d, 5, 1)).Grant.Tokens)
	})
}

// A program must have a single granting slot, whichever region it enters through.
func TestGrantSlotIsTheSameInAllRegions(t *testing.T) {
	zoneMap := locality.NewMap(map[string]string{"a1": "a", "b1": "b", "c1": "c"})
	used := map[string]bool{}
	for index := range 100 {
		program := programOf(index)
		var slot int
		for _, zone := range []string{"a1", "b1", "c1"} {
			d := New(Options{Location: locality.Location{Zones: zoneMap, Zone: zone}})
			if zone != "a1" {
				require.Equal(t, slot, d.grantSlotOf(program))
			}
			slot = d.grantSlotOf(program)
		}
		used[NewLayout(zoneMap).RegionOf(slot)] = true
	}
	require.Len(t, used, 3, "grants are spread over all regions")
}
