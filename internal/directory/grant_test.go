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
	apart := p.cluster.cut[address] || p.cluster.cut[p.from]
	p.cluster.mutex.Unlock()
	if !ok || apart {
		return GrantAnswer{}, errDown
	}
	return d.AnswerGrant(request), nil
}

// asked is a request for a part of 100 tokens of a slot's program.
func asked(d *Directory, slot int, number uint64) GrantRequest {
	return GrantRequest{Process: d.options.Self.Process, Program: programIn(slot), Tokens: 100, From: budget.Holder{Process: "asker", Address: "a"}, Number: number}
}

// owned is a node that owns a slot, whichever that is.
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

// slotOwner is what a running process knows of who owns a slot. Its Run changes that at any time.
func (d *Directory) slotOwner(slot int) owner {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.owners[slot]
}

// killAll ends all processes and starts others at their addresses.
func (c *cluster) killAll() {
	for index := range 3 {
		c.kill(address(index))
		c.start(address(index))
	}
	time.Sleep(8 * time.Second)
}

func TestGrantIsMadeOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, d, slot := ownerOfSlot(t)
		defer c.stop()
		require.Equal(t, 100, d.AnswerGrant(asked(d, slot, 1)).Grant.Tokens)
		require.Equal(t, 100, d.AnswerGrant(asked(d, slot, 1)).Grant.Tokens, "the answer may have been lost")
		again := d.AnswerGrant(asked(d, slot, 2)).Grant
		require.Equal(t, budget.Grant{Taker: budget.Holder{Process: "asker", Address: "a"}}, again)
		other := asked(d, slot, 1)
		other.From.Process = "other"
		require.Zero(t, d.AnswerGrant(other).Grant.Tokens)
		other.Process = "one that ended"
		require.False(t, d.AnswerGrant(other).Owner)
	})
}

// TestOwnersGrantInAnOutage: they need no word of the table, however long it is away.
func TestOwnersGrantInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, d, slot := ownerOfSlot(t)
		defer c.stop()
		c.table.SetFault(func(string, bool) storetest.Fault { return storetest.Silent })
		time.Sleep(10 * time.Minute)
		grant, ok := c.node(1).Grant(t.Context(), programIn(slot), 100, 1)
		require.True(t, ok)
		require.Equal(t, 100, grant.Tokens)
		time.Sleep(grantTerm)
		require.Zero(t, d.AnswerGrant(asked(d, slot, 7)).Grant.Tokens)
		program := asked(d, slot, 8)
		program.Program = anotherIn(slot)
		require.Zero(t, d.AnswerGrant(program).Grant.Tokens, "nobody may count it any more")
	})
}

// anotherIn is a second program of a slot.
func anotherIn(slot int) string {
	for index := range 100_000 {
		if name := programOf(index); SlotOf(xxhash.Sum64String(name)) == slot && name != programIn(slot) {
			return name
		}
	}
	return ""
}

// TestSuccessorsGrantOfPartsOfTheirOwn: after the loss of all nodes the table may be away at once, and
// programs are granted; after the loss of so many owners as there are parts they are not, until a
// day has passed.
func TestSuccessorsGrantOfPartsOfTheirOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _, slot := ownerOfSlot(t)
		defer c.stop()
		total := 0
		for number := range uint64(4) {
			d := c.owned(slot)
			total += d.AnswerGrant(asked(d, slot, number)).Grant.Tokens
			c.killAll()
		}
		require.Equal(t, 100*budget.OwnedParts, total)
		d := c.owned(slot)
		may, owned := d.GrantRights()
		require.Positive(t, owned)
		require.Zero(t, may)
		time.Sleep(forgetOwners + 2*time.Hour)
		d = c.owned(slot)
		require.Equal(t, 100, d.AnswerGrant(asked(d, slot, 9)).Grant.Tokens)
	})
}

// TestTwoOwnersGrantDifferentParts: one that is cut off and does not know of its successor.
func TestTwoOwnersGrantDifferentParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, old, slot := ownerOfSlot(t)
		defer c.stop()
		c.mutex.Lock()
		c.cut[address(0)] = true
		c.mutex.Unlock()
		for range 20 {
			for index := 1; index < 3; index++ {
				c.node(index).Locate(t.Context(), programIn(slot))
				for other := range slots {
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
		require.True(t, old.slotOwner(slot).grants.right())
	})
}

// TestPlannedStopsUseNoPart: unless something was granted.
func TestPlannedStopsUseNoPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, d, slot := ownerOfSlot(t)
		defer c.stop()
		other := 0
		for candidate := range slots {
			if d.owns(candidate) && candidate != slot {
				other = candidate
			}
		}
		require.Equal(t, 100, d.AnswerGrant(asked(d, slot, 1)).Grant.Tokens)
		d.Leave(t.Context())
		require.Zero(t, d.AnswerGrant(asked(d, other, 2)).Grant.Tokens, "it has said that it granted nothing there")
		c.kill(address(0))
		time.Sleep(time.Minute)
		require.Equal(t, grants{Known: true, Earlier: 1}, c.owned(slot).slotOwner(slot).grants)
		require.Equal(t, grants{Known: true}, c.owned(other).slotOwner(other).grants)
	})
}

// TestNodeThatLeavesGrantsNothing: also while the table does not hear that it leaves.
func TestNodeThatLeavesGrantsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, d, slot := ownerOfSlot(t)
		defer c.stop()
		c.table.SetFault(func(string, bool) storetest.Fault { return storetest.Silent })
		d.Leave(t.Context())
		require.Zero(t, d.AnswerGrant(asked(d, slot, 1)).Grant.Tokens)
	})
}

// TestRewrittenRowKeepsItsCount: what is written of limits says nothing else of grants.
func TestRewrittenRowKeepsItsCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _, slot := ownerOfSlot(t)
		defer c.stop()
		c.killAll()
		d := c.owned(slot)
		require.True(t, d.Raise(t.Context(), slot, "tenant"))
		require.Equal(t, grants{Known: true, Earlier: 1}, d.slotOwner(slot).grants)
	})
}

// TestOwnerOfAnOlderVersionLeavesNoPart: its nodes draw rows to the whole budget.
func TestOwnerOfAnOlderVersionLeavesNoPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(0)
		defer c.stop()
		var encoded bytes.Buffer
		require.NoError(t, gob.NewEncoder(&encoded).Encode(struct{ Process, Address string }{"old", address(0)}))
		require.NoError(t, c.table.Operate(store.Transaction{Put: []store.Row{{Key: keyOf(5), Value: encoded.Bytes()}}}))
		d := c.start(address(0))
		time.Sleep(8 * time.Second)
		require.Equal(t, grants{Known: true, Earlier: budget.OwnedParts}, d.slotOwner(5).grants)
		require.Zero(t, d.AnswerGrant(asked(d, 5, 1)).Grant.Tokens)
	})
}

// TestProgramIsGrantedToInOneSlotWhereverItEnters: two slots would double the parts of its budget.
func TestProgramIsGrantedToInOneSlotWhereverItEnters(t *testing.T) {
	places := locality.NewMap(map[string]string{"a1": "a", "b1": "b", "c1": "c"})
	used := map[string]bool{}
	for index := range 100 {
		program := programOf(index)
		var slot int
		for _, zone := range []string{"a1", "b1", "c1"} {
			d := New(Options{Vantage: locality.Vantage{Places: places, Zone: zone}})
			if zone != "a1" {
				require.Equal(t, slot, d.grantSlotOf(program))
			}
			slot = d.grantSlotOf(program)
		}
		used[NewLayout(places).RegionOf(slot)] = true
	}
	require.Len(t, used, 3, "the owners of all regions grant")
}
