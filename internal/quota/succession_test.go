package quota

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/directory"
	"github.com/cloverwheel/cloverwheel/internal/tenant"
)

// Guards against exceeding a limit when an owner leaves and its booked permits are used under
// its successor.
func TestLimitHoldsWithPermitsBookedByPredecessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limit := tenant.Limit{PerSecond: 20, Burst: 20}
		leases := &fakeLeases{allows: true}
		leaving := newTestAllocator(leases, limit)
		leases.lease.FullLimitTenants = []string{"t"}
		var used []time.Time
		for range issueAll(leaving) {
			used = append(used, time.Now())
		}
		time.Sleep(testTolerance.Window - 500*time.Millisecond)
		for answer := leaving.Answer(holdable); answer.Lent; answer = leaving.Answer(holdable) {
			used = append(used, time.Now().Add(answer.Wait))
		}
		require.NotEmpty(t, used, "no request was booked")

		next := &fakeLeases{allows: true}
		successor := newTestAllocator(next, limit)
		next.lease.Since = time.Now()
		next.lease.FullLimitTenants = []string{"t"}
		next.lease.Prior = directory.PriorPermits{FullLimitTenants: []string{"t"}}
		for end := time.Now().Add(2 * testTolerance.Window); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			for range issueAll(successor) {
				used = append(used, time.Now())
			}
		}
		allowed := allowancesOf(limit, testTolerance)
		require.LessOrEqual(t, float64(maxInWindow(used, testTolerance.Window)), allowed.full+allowed.reserve)
	})
}

// Guards against bookings by a new owner while permits booked by its predecessor may still be
// used: the reserve covers those of one owner.
func TestSuccessorCannotBookForOneWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leases := &fakeLeases{}
		successor := newTestAllocator(leases, tenant.Limit{PerSecond: 20, Burst: 20})
		leases.lease.Since = time.Now()
		issueAll(successor)
		time.Sleep(testTolerance.Window - 500*time.Millisecond)
		require.False(t, successor.Answer(holdable).Lent)
		leases.lease.Since = time.Now().Add(-testTolerance.Window)
		require.True(t, successor.Answer(holdable).Lent, "a window later it may book")
	})
}
