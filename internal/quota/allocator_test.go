package quota

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/directory"
	"github.com/cloverwheel/cloverwheel/internal/staleness"
	"github.com/cloverwheel/cloverwheel/internal/tenant"
)

// fakeLeases owns all slots under one lease, which a test may edit.
type fakeLeases struct {
	lease       directory.Lease
	allows      bool // AllowFullLimit succeeds
	revocations int  // calls of RevokeFullLimit, which never take effect
}

func (f *fakeLeases) Lease(int) (directory.Lease, bool) { return f.lease, true }

func (f *fakeLeases) AllowFullLimit(_ context.Context, _ int, name string) bool {
	if f.allows && !slices.Contains(f.lease.FullLimitTenants, name) {
		f.lease.FullLimitTenants = append(f.lease.FullLimitTenants, name)
	}
	return f.allows
}

func (f *fakeLeases) RevokeFullLimit(context.Context, int, string) {
	f.revocations++
	time.Sleep(storeLatency)
}

// storeLatency is the duration of a write.
const storeLatency = 300 * time.Millisecond

// newTestAllocator returns an allocator with fake leases that are older than the window.
func newTestAllocator(leases *fakeLeases, limit tenant.Limit) *Allocator {
	now := time.Now()
	leases.lease = directory.Lease{Number: 1, Since: now.Add(-time.Minute), Until: now.Add(time.Hour)}
	return NewAllocator(AllocatorOptions{
		Leases: leases, Tolerance: testTolerance,
		LimitOf: func(string) (tenant.Limit, bool) { return limit, true },
		Proof:   func() staleness.Proof { return staleness.Proof{Revision: 3, Age: time.Second} },
	})
}

// issueAll asks until no permit is issued and returns how many were.
func issueAll(allocator *Allocator) (count int) {
	for allocator.Answer(Request{Tenant: "t"}).Lent {
		count++
		synctest.Wait() // background writes finish
	}
	return count
}

// triggerFullLimit sends a request after which the allocator may allow the full limit again.
func triggerFullLimit(allocator *Allocator) {
	time.Sleep(writeInterval)
	allocator.Answer(Request{Tenant: "t"})
	synctest.Wait()
}

// Guards against issuing more than the base allowance without a confirmed write to the store,
// or after the full limit was revoked.
func TestBaseAllowanceUntilFullLimitIsAllowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// The share of 100 per second, a burst of 100 and the issued part of the slack.
		const whole, base = 200 + 4, 120
		leases := &fakeLeases{}
		allocator := newTestAllocator(leases, tenant.Limit{PerSecond: 100, Burst: 100})
		require.Equal(t, base, issueAll(allocator), "the full limit is not allowed")
		leases.allows = true
		triggerFullLimit(allocator)
		require.Equal(t, whole-base, issueAll(allocator), "the full limit is allowed")
		time.Sleep(2 * testTolerance.Window)
		require.True(t, allocator.Answer(Request{Tenant: "t"}).Lent)
		synctest.Wait()
		require.Equal(t, 1, leases.revocations, "the full limit is revoked after little use")
		require.Contains(t, leases.lease.FullLimitTenants, "t", "the row may still allow the full limit")
		leases.allows = false
		require.Equal(t, base-1, issueAll(allocator))
		leases.allows = true
		triggerFullLimit(allocator)
		require.Equal(t, whole-base, issueAll(allocator), "the full limit is allowed again")
	})
}

// Guards against answers without the proof of freshness, or for a share that does not exist.
func TestAnswerIncludesProof(t *testing.T) {
	allocator := newTestAllocator(&fakeLeases{}, tenant.Limit{PerSecond: 1})
	require.Equal(t, staleness.Proof{Revision: 3, Age: time.Second}, allocator.Answer(Request{Tenant: "t"}).Proof)
	require.False(t, allocator.Answer(Request{Tenant: "t", Share: shares}).Owner, "a share that does not exist has no owner")
}

// Guards against giving all refused callers the same retry time.
func TestRetryDelaysIncrease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		allocator := newTestAllocator(&fakeLeases{}, tenant.Limit{PerSecond: 20, Burst: 20})
		for range 8 { // spread over several steps
			for range 3 {
				allocator.Answer(Request{Tenant: "t"})
			}
			time.Sleep(200 * time.Millisecond)
		}
		issueAll(allocator)
		var waits []time.Duration
		for range 9 {
			answer := allocator.Answer(Request{Tenant: "t"})
			require.False(t, answer.Lent)
			waits = append(waits, answer.Wait)
		}
		require.True(t, slices.IsSorted(waits), waits)
		require.Greater(t, waits[8], waits[0])
		time.Sleep(waits[0])
		require.True(t, allocator.Answer(Request{Tenant: "t"}).Lent, "a permit is free after the first retry delay")
	})
}
