package timing

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// Sleep must return nil after the full time and the context's error as soon as that ends.
func TestSleepsUntilDoneOrCanceled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		assert.NoError(t, Sleep(t.Context(), time.Minute))
		assert.Equal(t, time.Minute, time.Since(start))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.ErrorIs(t, Sleep(ctx, time.Minute), context.DeadlineExceeded)
		assert.Equal(t, time.Minute+time.Second, time.Since(start))
	})
}

// Intervals must not exceed the longest one, apart from jitter.
func TestBackoffIsBounded(t *testing.T) {
	intervals := NewBackoff(10*time.Millisecond, 40*time.Millisecond)
	for range 20 {
		assert.LessOrEqual(t, intervals.NextBackOff(), 60*time.Millisecond) // with jitter
	}
	assert.Equal(t, 40*time.Millisecond, intervals.MaxInterval)
}
