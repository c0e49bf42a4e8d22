package directory

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/budget"
)

// Lookups must return the node that ran a turn, and nothing for an unknown turn or one of the requester.
func TestOwnerRecordsWhichNodeRanATurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(4)
		defer c.stop()
		time.Sleep(10 * time.Second)
		c.node(0).RecordRun("p", "t1")
		c.node(2).RecordRun("p", "t2")
		time.Sleep(300 * time.Millisecond)
		for index, turn := range map[int]string{0: "t1", 2: "t2"} {
			holder, ok := c.node(1).Lookup(t.Context(), "p", turn)
			require.True(t, ok)
			require.Equal(t, c.node(index).options.Self, holder)
		}
		_, ok := c.node(1).Lookup(t.Context(), "p", "t3")
		require.False(t, ok)
		_, ok = c.node(1).Lookup(t.Context(), "other", "t1")
		require.False(t, ok)
		_, ok = c.node(0).Lookup(t.Context(), "p", "t1")
		require.False(t, ok, "the requester itself is left out")
		require.Contains(t, c.node(3).Locate(t.Context(), "p").Holders, c.node(2).options.Self, "a process that ran a turn may hold tokens")
	})
}

// The recorded turns of a program must not grow without bound; the newest are kept.
func TestRecordedTurnsAreBounded(t *testing.T) {
	var e entry
	for index := range maxTurns + 5 {
		e.recordTurn(fmt.Sprint(index), budget.Holder{Process: fmt.Sprint("n", index%2)})
	}
	require.Len(t, e.turns, maxTurns)
	require.Empty(t, e.ranBy("4"))
	require.Equal(t, "n1", e.ranBy("5").Process)
	require.Equal(t, "n0", e.ranBy(fmt.Sprint(maxTurns+4)).Process)
}
