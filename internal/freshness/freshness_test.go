package freshness

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const bound = 5 * time.Second

func TestNothingProvenLetsNobodyIn(t *testing.T) {
	keeper := New(bound)
	keeper.InForce(7)
	_, fresh := keeper.Age()
	require.False(t, fresh)
	require.Zero(t, keeper.Proof().Revision)
	_, fresh = New(0).Age()
	require.True(t, fresh, "without a bound no proof is needed")
}

func TestProofHoldsFromItsQuestionOnAndEndsBeforeTheBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		keeper := New(bound)
		keeper.InForce(7)
		sent := time.Now()
		time.Sleep(3 * time.Second) // the answer is slow, or the process was paused
		keeper.Prove(7, sent)
		age, fresh := keeper.Age()
		require.Equal(t, 3*time.Second, age)
		require.True(t, fresh)
		time.Sleep(bound - 3*time.Second - sendMargin)
		_, fresh = keeper.Age()
		require.False(t, fresh, "a request needs time to reach its worker")
	})
}

func TestOlderProofChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		keeper := New(bound)
		keeper.InForce(7)
		early := time.Now()
		time.Sleep(time.Second)
		keeper.Prove(7, time.Now())
		keeper.Prove(7, early)
		age, _ := keeper.Age()
		require.Zero(t, age)
	})
}

func TestProofOfANewerRevisionCountsOnceThatIsInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		keeper := New(bound)
		keeper.InForce(7)
		keeper.Prove(7, time.Now())
		time.Sleep(2 * time.Second)
		keeper.Prove(9, time.Now())
		age, _ := keeper.Age()
		require.Equal(t, 2*time.Second, age, "what revision 9 changed is not in force here")
		keeper.InForce(8)
		age, _ = keeper.Age()
		require.Equal(t, 2*time.Second, age)
		keeper.InForce(9)
		age, _ = keeper.Age()
		require.Zero(t, age)
	})
}

func TestProofOfAnOlderRevisionProvesTheNewerOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		keeper := New(bound)
		keeper.InForce(9)
		keeper.Prove(7, time.Now())
		require.EqualValues(t, 9, keeper.Proof().Revision, "nothing acknowledged before that moment is missing here")
	})
}

// TestPassedOnProofsOnlyGrowOlder: however often a proof is passed on, no node's is younger
// than the table's answer was.
func TestPassedOnProofsOnlyGrowOlder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		first := New(bound)
		first.InForce(7)
		first.Prove(7, begun)
		before := first
		for range 5 {
			time.Sleep(100 * time.Millisecond)
			next := New(bound)
			next.InForce(7)
			asked := time.Now()
			time.Sleep(50 * time.Millisecond) // the way there
			proof := before.Proof()
			time.Sleep(50 * time.Millisecond) // and back
			next.Prove(proof.Revision, asked.Add(-proof.Age))
			age, _ := next.Age()
			require.GreaterOrEqual(t, age, time.Since(begun))
			before = next
		}
	})
}
