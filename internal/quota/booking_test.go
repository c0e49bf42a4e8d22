package quota

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/tenant"
)

// exhaustedAllocator is an allocator without a free permit, whose first one was issued longAgo.
func exhaustedAllocator(leases *fakeLeases, longAgo time.Duration) *Allocator {
	allocator := newTestAllocator(leases, tenant.Limit{PerSecond: 20, Burst: 20})
	allocator.Answer(Request{Tenant: "t", Program: "p"})
	time.Sleep(longAgo)
	issueAll(allocator)
	return allocator
}

// holdable is a request of a running program that may be held.
var holdable = Request{Tenant: "t", Program: "p", UnderWay: true, Patience: time.Second}

// Guards against refusing a running program whose request could be held for a short time.
func TestRunningProgramCanBookPermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		allocator := exhaustedAllocator(&fakeLeases{}, testTolerance.Window-500*time.Millisecond)
		answer := allocator.Answer(Request{Tenant: "t", Program: "p", UnderWay: true})
		require.False(t, answer.Lent, "a request without a hold time must not be held")
		require.Positive(t, answer.Soon)
		booked := allocator.Answer(Request{Tenant: "t", Program: "p", UnderWay: true, Patience: answer.Soon})
		require.True(t, booked.Lent)
		require.Equal(t, answer.Soon, booked.Wait)
		require.False(t, allocator.Answer(holdable).Lent, "the only free permit is booked")
		time.Sleep(booked.Wait)
		require.False(t, allocator.Answer(Request{Tenant: "t"}).Lent, "the booked permit must not go to another request")
	})
}

// Guards against new programs booking permits that running ones need.
func TestNewProgramCannotBookPermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		allocator := exhaustedAllocator(&fakeLeases{}, testTolerance.Window-500*time.Millisecond)
		answer := allocator.Answer(Request{Tenant: "t", Program: "another", Patience: time.Second})
		require.False(t, answer.Lent)
		require.Zero(t, answer.Soon)
	})
}

// Guards against bookings beyond the lease, after which a successor may issue.
func TestBookingEndsWithLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leases := &fakeLeases{}
		allocator := exhaustedAllocator(leases, testTolerance.Window-500*time.Millisecond)
		leases.lease.Until = time.Now().Add(100 * time.Millisecond)
		require.False(t, allocator.Answer(holdable).Lent)
		leases.lease.Until = time.Now().Add(time.Second)
		require.True(t, allocator.Answer(holdable).Lent)
	})
}

// Guards against revoking a full limit while booked permits are outstanding, or are used and still
// count.
func TestBookedPermitsPreventRevocation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leases := &fakeLeases{allows: true} // full share 44, base 24, reserve 6
		allocator := newTestAllocator(leases, tenant.Limit{PerSecond: 20, Burst: 20})
		for range 32 {
			require.True(t, allocator.Answer(Request{Tenant: "t"}).Lent)
			synctest.Wait() // the full limit is allowed
		}
		time.Sleep(testTolerance.Window / 2)
		require.Equal(t, 12, issueAll(allocator), "the rest of the full share is issued")
		time.Sleep(testTolerance.Window/2 - 700*time.Millisecond)
		booked := 0
		for allocator.Answer(holdable).Lent {
			booked++
		}
		require.Equal(t, 6, booked)
		for range 40 { // the first permits leave the window while the booked ones enter it
			time.Sleep(20 * time.Millisecond)
			allocator.Answer(Request{Tenant: "t"})
			synctest.Wait()
		}
		require.Zero(t, leases.revocations, "12 and 6 permits count, which is above revokeThreshold of the base allowance")
	})
}

// Guards against refusing a running program that exceeds its tenant's limit slightly: its
// requests are held instead.
func TestRunningProgramIsHeldInsteadOfRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSettledCluster(4, tenant.Limit{PerSecond: 10, Burst: 10})
		begun, longest := time.Now(), time.Duration(0)
		for time.Since(begun) < 20*time.Second {
			asked := time.Now()
			_ = c.send(addressOf(0), "hot", "p")
			longest = max(longest, time.Since(asked))
			time.Sleep(60 * time.Millisecond) // up to 16 requests per second; the limit allows 14.4
		}
		require.Empty(t, c.refused)
		require.Greater(t, longest, 100*time.Millisecond, "no request was held")
		c.stop()
	})
}

// Guards against a small share whose full limit is never allowed because its base allowance is not
// a whole number of permits.
func TestFullLimitOfSmallShareIsAllowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leases := &fakeLeases{allows: true} // full share 9 and 4 of the slack, base 5.4
		allocator := newTestAllocator(leases, tenant.Limit{PerSecond: 4.5, Burst: 4.5})
		issued := issueAll(allocator)
		triggerFullLimit(allocator)
		require.Equal(t, 13, issued+issueAll(allocator)+1) // triggerFullLimit took one
	})
}
