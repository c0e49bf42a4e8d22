package memory

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against reservations for short data, and against long data that is not reserved or not released.
func TestExcessIsReserved(t *testing.T) {
	budget := NewBudget(100)
	excess := NewExcess(budget.Reserve, 10, 20)
	require.True(t, excess.Add(6))
	require.True(t, excess.Add(4))
	require.Zero(t, budget.Used())
	require.True(t, excess.Add(1))
	require.EqualValues(t, 20, budget.Used())
	require.True(t, excess.Add(79))
	require.EqualValues(t, 80, budget.Used())
	require.False(t, excess.Add(100))
	excess.Release()
	require.Zero(t, budget.Used())
}
