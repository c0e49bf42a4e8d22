package staleness

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const revokeWithin = 5 * time.Second

// TestNotFreshWithoutProof guards against accepting keys before the first proof.
func TestNotFreshWithoutProof(t *testing.T) {
	tracker := New(revokeWithin)
	tracker.SetActive(7)
	_, fresh := tracker.Age()
	require.False(t, fresh)
	require.Zero(t, tracker.Proof().Revision)
	_, fresh = New(0).Age()
	require.True(t, fresh, "without a bound no proof is needed")
}

// TestProofAgesFromRequestAndExpiresBeforeBound guards against counting a proof's age from its reply,
// and against using up the bound before the request reaches its worker.
func TestProofAgesFromRequestAndExpiresBeforeBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := New(revokeWithin)
		tracker.SetActive(7)
		sent := time.Now()
		time.Sleep(3 * time.Second) // a slow reply or a paused process
		tracker.AddProof(7, sent)
		age, fresh := tracker.Age()
		require.Equal(t, 3*time.Second, age)
		require.True(t, fresh)
		time.Sleep(revokeWithin - 3*time.Second - dispatchMargin)
		_, fresh = tracker.Age()
		require.False(t, fresh, "the margin is for the request to reach its worker")
	})
}

// TestOlderProofIsIgnored guards against replies out of order that make the proof older.
func TestOlderProofIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := New(revokeWithin)
		tracker.SetActive(7)
		early := time.Now()
		time.Sleep(time.Second)
		tracker.AddProof(7, time.Now())
		tracker.AddProof(7, early)
		age, _ := tracker.Age()
		require.Zero(t, age)
	})
}

// TestProofOfNewerRevisionIsDeferred guards against a proof of a revision that is not active here yet.
func TestProofOfNewerRevisionIsDeferred(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := New(revokeWithin)
		tracker.SetActive(7)
		tracker.AddProof(7, time.Now())
		time.Sleep(2 * time.Second)
		tracker.AddProof(9, time.Now())
		age, _ := tracker.Age()
		require.Equal(t, 2*time.Second, age, "revision 9 is not active here yet")
		tracker.SetActive(8)
		age, _ = tracker.Age()
		require.Equal(t, 2*time.Second, age)
		tracker.SetActive(9)
		age, _ = tracker.Age()
		require.Zero(t, age)
	})
}

// TestProofOfOlderRevisionAppliesToCurrent guards against dropping a late proof of a revision that
// was replaced meanwhile.
func TestProofOfOlderRevisionAppliesToCurrent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := New(revokeWithin)
		tracker.SetActive(9)
		tracker.AddProof(7, time.Now())
		require.EqualValues(t, 9, tracker.Proof().Revision, "all changes acknowledged before the proof are active here")
	})
}

// TestForwardedProofNeverGetsYounger guards against proofs that appear younger than the table's
// reply after nodes have forwarded them.
func TestForwardedProofNeverGetsYounger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		first := New(revokeWithin)
		first.SetActive(7)
		first.AddProof(7, start)
		before := first
		for range 5 {
			time.Sleep(100 * time.Millisecond)
			next := New(revokeWithin)
			next.SetActive(7)
			sent := time.Now()
			time.Sleep(50 * time.Millisecond) // request in transit
			proof := before.Proof()
			time.Sleep(50 * time.Millisecond) // reply in transit
			next.AddProof(proof.Revision, sent.Add(-proof.Age))
			age, _ := next.Age()
			require.GreaterOrEqual(t, age, time.Since(start))
			before = next
		}
	})
}
