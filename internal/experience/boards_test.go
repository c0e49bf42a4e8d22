package experience

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestGroupsAreJudgedApart(t *testing.T) {
	busy := 0.0
	var told []int
	boards := NewBoards(Options[int]{
		Members:  func(group int) []string { return names[10*group : 10*group+10] },
		Busy:     func(int) float64 { return busy },
		OnChange: func(group int, _ Change) { told = append(told, group) },
	})
	now := begun
	say := func() {
		now = now.Add(judgeEvery)
		for _, node := range []string{"n0", "n1", "n2"} {
			for worker := range 20 {
				boards.Learn(worker/10, node, []Sample{ended(worker, 10, only(1, 6)(worker))}, now)
			}
		}
	}
	busy = 1
	say()
	require.Zero(t, boards.Verdicts(0, now)[0].Until, "none can be spared")
	busy = 0.5
	say()
	require.Equal(t, key(0), boards.Verdicts(0, now)[0].Worker)
	require.Positive(t, boards.Verdicts(0, now)[0].Until)
	require.Empty(t, boards.Verdicts(1, now))
	require.Equal(t, []int{0}, told)
}

func TestBoardsAreBounded(t *testing.T) {
	boards := NewBoards(Options[int]{Members: func(int) []string { return nil }})
	for group := range 2 * mostBoards {
		boards.Learn(group, "n0", []Sample{ended(0, 1, 0)}, begun)
	}
	require.Len(t, boards.boards, mostBoards)
	boards.Verdicts(-1, begun.Add(2*forgetAfter))
	require.Len(t, boards.boards, 1)
}
