package directory

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/store/storetest"
)

// confirmClaims checks a node's claims in the store and reports the result to its directory, as a
// server does.
func (c *cluster) confirmClaims(d *Directory) {
	claims, sent := d.Claims(), time.Now()
	_, err := c.table.Commit(context.Background(), store.Transaction{Conditions: claims})
	var conflict *store.Conflict
	switch {
	case err == nil:
		d.ConfirmClaims(claims, sent)
	case errors.As(err, &conflict):
		d.HandleConflict(claims, conflict, sent)
	}
}

// ownedSlot returns a slot that a node owns.
func ownedSlot(t *testing.T, d *Directory) int {
	for slot := range d.layout.SlotCount() {
		if d.owns(slot) {
			return slot
		}
	}
	t.Fatal("the node owns no slot")
	return 0
}

// startWithOwner starts a cluster of three nodes, and returns its first node and a slot of that node.
func startWithOwner(t *testing.T) (c *cluster, d *Directory, slot int) {
	c = newCluster(3)
	time.Sleep(8 * time.Second)
	d = c.node(0)
	return c, d, ownedSlot(t, d)
}

func leaseValid(d *Directory, slot int) bool {
	lease, ok := d.Lease(slot)
	return ok && lease.Valid(time.Now())
}

// A lease must not outlast the last confirmation of its claim.
func TestLeaseExpiresUnlessRenewed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, d, slot := startWithOwner(t)
		defer c.stop()
		c.confirmClaims(d)
		require.True(t, leaseValid(d, slot))
		time.Sleep(leaseDuration - time.Millisecond)
		require.True(t, leaseValid(d, slot))
		time.Sleep(time.Millisecond)
		require.False(t, leaseValid(d, slot), "an owner that resumes after a pause has no lease")
		c.confirmClaims(d)
		require.True(t, leaseValid(d, slot))
	})
}

// A late answer must not extend the lease: it counts from the time of the request.
func TestLeaseCountsFromRequestTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, d, slot := startWithOwner(t)
		defer c.stop()
		claims, sent := d.Claims(), time.Now()
		time.Sleep(leaseDuration)
		d.ConfirmClaims(claims, sent)
		require.False(t, leaseValid(d, slot))
	})
}

// A partitioned owner may still issue permits. Its successor must not issue any before the old lease has
// expired.
func TestTwoOwnersNeverHoldALeaseAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(4)
		defer c.stop()
		time.Sleep(8 * time.Second)
		old := c.node(0)
		slot := ownedSlot(t, old)
		program := programIn(slot)
		c.confirmClaims(old)
		c.mutex.Lock()
		c.isolated[address(0)] = true
		c.mutex.Unlock()
		taken := time.Duration(-1)
		begun := time.Now()
		for time.Since(begun) < 20*time.Second {
			var holders int
			for index := range 4 {
				d := c.node(index)
				if index > 0 {
					d.Locate(t.Context(), program) // they notice that the owner does not answer
					d.Locate(t.Context(), programOf(int(time.Since(begun)/time.Millisecond)))
					c.confirmClaims(d)
				}
				if leaseValid(d, slot) {
					holders++
					if index > 0 && taken < 0 {
						taken = time.Since(begun)
					}
				}
			}
			require.LessOrEqual(t, holders, 1)
			time.Sleep(50 * time.Millisecond)
		}
		require.Greater(t, taken, leaseDuration)
		require.Less(t, taken, 2*leaseDuration)
	})
}

// programIn returns the name of a program in the slot.
func programIn(slot int) string {
	for index := 0; ; index++ {
		if SlotOf(xxhash.Sum64String(programOf(index))) == slot {
			return programOf(index)
		}
	}
}

// A restarted node must get leases on its old slots at once: its previous process has ended.
func TestRestartedNodeLendsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(3)
		defer c.stop()
		time.Sleep(8 * time.Second)
		slot := ownedSlot(t, c.node(0))
		c.kill(address(0))
		d := c.start(address(0))
		time.Sleep(1500 * time.Millisecond)
		require.True(t, d.owns(slot))
		lease, ok := d.Lease(slot)
		require.True(t, ok)
		require.True(t, lease.Valid(time.Now()))
		require.True(t, lease.Prior.All, "the previous process had not settled")
	})
}

// A claim that the store applied but whose response was lost must be noticed.
func TestClaimWithLostResponseIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(0)
		first := true
		c.table.SetFault(func(_ string, write bool) storetest.Fault {
			if write && first {
				first = false
				return storetest.AppliedThenReset
			}
			return storetest.None
		})
		d := c.start(address(0))
		defer c.stop()
		time.Sleep(30 * time.Second)
		require.Len(t, d.Claims(), slotsPerRegion)
		c.confirmClaims(d)
		for slot := range slotsPerRegion {
			require.True(t, leaseValid(d, slot), slot)
		}
	})
}

// A node that is shutting down must not issue permits, even if it cannot release its slots in the store.
func TestLeavingNodeLendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, d, slot := startWithOwner(t)
		defer c.stop()
		c.confirmClaims(d)
		require.True(t, leaseValid(d, slot))
		c.table.SetFault(func(string, bool) storetest.Fault { return storetest.Refused })
		d.Leave(t.Context())
		require.False(t, leaseValid(d, slot))
	})
}

// A successor must take into account what its predecessors may have issued.
func TestSuccessorSeesFullLimitTenantsAndUnsettledRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, d, slot := startWithOwner(t)
		defer c.stop()
		require.True(t, d.AllowFullLimit(t.Context(), slot, "stalls"))
		require.True(t, d.AllowFullLimit(t.Context(), slot, "cellars"))
		d.RevokeFullLimit(t.Context(), slot, "stalls")
		lease, _ := d.Lease(slot)
		require.Equal(t, []string{"cellars"}, lease.FullLimitTenants)
		for d.MarkSettled(t.Context()) {
			time.Sleep(time.Millisecond)
		}
		c.kill(address(0))
		next := c.start(address(0))
		time.Sleep(1500 * time.Millisecond)
		lease, ok := next.Lease(slot)
		require.True(t, ok)
		require.False(t, lease.Prior.All)
		require.True(t, lease.Prior.MayHaveIssued("cellars"))
		require.False(t, lease.Prior.MayHaveIssued("stalls"))
		c.kill(address(0))
		last := c.start(address(0))
		time.Sleep(1500 * time.Millisecond)
		lease, _ = last.Lease(slot)
		require.True(t, lease.Prior.All, "its predecessor did not own the slot for long enough to settle")
	})
}

// A full limit must not appear as allowed before the store has recorded it for the successor.
func TestRaiseIsNotVisibleBeforeTheStoreHasIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, d, slot := startWithOwner(t)
		defer c.stop()
		c.table.SetFault(func(string, bool) storetest.Fault { return storetest.ConnectionReset })
		require.False(t, d.AllowFullLimit(t.Context(), slot, "stalls"))
		lease, _ := d.Lease(slot)
		require.False(t, slices.Contains(lease.FullLimitTenants, "stalls"))
	})
}
