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
	lease  directory.Lease
	raises bool // Raise succeeds
	lowers int  // calls of Lower, which never take effect
}

func (f *fakeLeases) Lease(int) (directory.Lease, bool) { return f.lease, true }

func (f *fakeLeases) AllowFullLimit(_ context.Context, _ int, name string) bool {
	if f.raises && !slices.Contains(f.lease.FullLimitTenants, name) {
		f.lease.FullLimitTenants = append(f.lease.FullLimitTenants, name)
	}
	return f.raises
}

func (f *fakeLeases) RevokeFullLimit(context.Context, int, string) {
	f.lowers++
	time.Sleep(storeLatency)
}

// storeLatency is the duration of a write.
const storeLatency = 300 * time.Millisecond

// newTestLender returns a lender with fake leases that are older than the window.
func newTestLender(leases *fakeLeases, limit tenant.Limit) *Allocator {
	now := time.Now()
	leases.lease = directory.Lease{Number: 1, Since: now.Add(-time.Minute), Until: now.Add(time.Hour)}
	return NewAllocator(AllocatorOptions{
		Leases: leases, Tolerance: testTolerance,
		LimitOf: func(string) (tenant.Limit, bool) { return limit, true },
		Proof:   func() staleness.Proof { return staleness.Proof{Revision: 3, Age: time.Second} },
	})
}

// lendAll asks until no permit is issued and returns how many were.
func lendAll(l *Allocator) (count int) {
	for l.Answer(Request{Tenant: "t"}).Lent {
		count++
		synctest.Wait() // background writes finish
	}
	return count
}

// triggerRaise sends a request after which the lender may raise the tenant again.
func triggerRaise(l *Allocator) {
	time.Sleep(writeInterval)
	l.Answer(Request{Tenant: "t"})
	synctest.Wait()
}

// Guards against lending more than the base allowance without a confirmed write to the store,
// or after the tenant was lowered.
func TestBaseAllowanceUntilRaised(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// The share of 100 per second, a burst of 100 and the lent part of the slack.
		const whole, base = 200 + 4, 120
		leases := &fakeLeases{}
		l := newTestLender(leases, tenant.Limit{PerSecond: 100, Burst: 100})
		require.Equal(t, base, lendAll(l), "the tenant is not raised")
		leases.raises = true
		triggerRaise(l)
		require.Equal(t, whole-base, lendAll(l), "the tenant is raised")
		time.Sleep(2 * testTolerance.Window)
		require.True(t, l.Answer(Request{Tenant: "t"}).Lent)
		synctest.Wait()
		require.Equal(t, 1, leases.lowers, "the tenant is lowered after little use")
		require.Contains(t, leases.lease.FullLimitTenants, "t", "the row may still be raised")
		leases.raises = false
		require.Equal(t, base-1, lendAll(l))
		leases.raises = true
		triggerRaise(l)
		require.Equal(t, whole-base, lendAll(l), "the tenant is raised again")
	})
}

func TestAnswerIncludesProof(t *testing.T) {
	l := newTestLender(&fakeLeases{}, tenant.Limit{PerSecond: 1})
	require.Equal(t, staleness.Proof{Revision: 3, Age: time.Second}, l.Answer(Request{Tenant: "t"}).Proof)
	require.False(t, l.Answer(Request{Tenant: "t", Share: shares}).Owner, "a share that does not exist has no owner")
}

// Guards against telling all refused callers to retry at the same time.
func TestRetryDelaysIncrease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newTestLender(&fakeLeases{}, tenant.Limit{PerSecond: 20, Burst: 20})
		for range 8 { // spread over several steps
			for range 3 {
				l.Answer(Request{Tenant: "t"})
			}
			time.Sleep(200 * time.Millisecond)
		}
		lendAll(l)
		var waits []time.Duration
		for range 9 {
			answer := l.Answer(Request{Tenant: "t"})
			require.False(t, answer.Lent)
			waits = append(waits, answer.Wait)
		}
		require.True(t, slices.IsSorted(waits), waits)
		require.Greater(t, waits[8], waits[0])
		time.Sleep(waits[0])
		require.True(t, l.Answer(Request{Tenant: "t"}).Lent, "a permit is free after the first retry delay")
	})
}
