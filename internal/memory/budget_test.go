package memory

import (
	"math"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against reservations that exceed the limit in sum, or that stay after their release.
func TestReservationsStayWithinTheLimit(t *testing.T) {
	b := NewBudget(100)
	first, ok := b.Reserve(60)
	require.True(t, ok)
	_, ok = b.Reserve(41)
	require.False(t, ok)
	second, ok := b.Reserve(40)
	require.True(t, ok)
	first()
	second()
	require.Zero(t, b.Used())
}

// Guards against a sum that overflows: lengths come from peers.
func TestHugeReservationsAreRefused(t *testing.T) {
	b := NewBudget(100)
	var running sync.WaitGroup
	for range 64 {
		running.Go(func() {
			_, ok := b.Reserve(math.MaxInt64)
			require.False(t, ok)
			_, ok = b.Reserve(101)
			require.False(t, ok)
		})
	}
	running.Wait()
	require.Zero(t, b.Used())
}

// Guards against a grant that takes a step for each byte, or that keeps some of it.
func TestGrantGrowsBySteps(t *testing.T) {
	b := NewBudget(100)
	g := NewGrant(b.Reserve)
	require.True(t, g.Grow(1, 30))
	require.EqualValues(t, 30, b.Used())
	require.True(t, g.Grow(30, 30))
	require.EqualValues(t, 30, b.Used())
	require.True(t, g.Grow(61, 30))
	require.EqualValues(t, 90, b.Used())
	require.False(t, g.Grow(91, 30))
	require.EqualValues(t, 90, b.Used())
	g.Release()
	require.Zero(t, b.Used())
	require.True(t, NewGrant(nil).Grow(1<<40, 1))
}

// Guards against a part of a budget that takes more than its share, or that is not counted in the whole.
func TestPartIsTakenFromTheWhole(t *testing.T) {
	whole := NewBudget(100)
	part := whole.Part(60)
	_, ok := part.Reserve(61)
	require.False(t, ok)
	release, ok := part.Reserve(60)
	require.True(t, ok)
	require.EqualValues(t, 60, whole.Used())
	_, ok = whole.Reserve(41)
	require.False(t, ok)
	release()
	require.Zero(t, whole.Used())
	_, ok = whole.Reserve(50)
	require.True(t, ok)
	_, ok = part.Reserve(60)
	require.False(t, ok, "the rest of the whole is used")
	require.Zero(t, part.Used())
}
