package memory

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

// Guards against bodies that are cut or changed at the sizes at which memory is reserved.
func TestBodiesAreReadWhole(t *testing.T) {
	reader := NewBodyReader(MaxBody * bodyMemoryFactor * bodyMemoryDivisor)
	for _, size := range []int{0, 1, shortBody - 1, shortBody, shortBody + 1, shortBody + bodyStep, shortBody + bodyStep + 1, MaxBody - bodyStep} {
		body := strings.Repeat("x", size)
		data, release, err := reader.Read(t.Context(), strings.NewReader(body))
		require.NoError(t, err)
		require.Equal(t, size, len(data))
		release()
	}
	_, release, err := reader.Read(t.Context(), strings.NewReader(strings.Repeat("x", 2*MaxBody)))
	require.ErrorIs(t, err, ErrLongBody)
	release()
	_, release, err = reader.Read(t.Context(), io.MultiReader(strings.NewReader(strings.Repeat("x", 2*shortBody)), iotest.ErrReader(io.ErrUnexpectedEOF)))
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	release()
	require.True(t, reader.free.TryAcquire(MaxBody*bodyMemoryFactor), "all memory is released")
}

// Guards against long bodies that exceed the memory together, that starve short ones, or that wait for each other forever (FAULT).
func TestLongBodiesAreReadOneAfterTheOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader := NewBodyReader(1) // room for one step
		long := func() io.Reader { return strings.NewReader(strings.Repeat("x", 2*shortBody)) }
		_, release, err := reader.Read(t.Context(), long())
		require.NoError(t, err)

		_, releaseShort, err := reader.Read(t.Context(), strings.NewReader("short"))
		require.NoError(t, err)
		releaseShort()

		ended, cancel := context.WithCancel(t.Context())
		cancel()
		_, releaseEnded, err := reader.Read(ended, long())
		require.ErrorIs(t, err, context.Canceled)
		releaseEnded()

		read := make(chan error)
		go func() {
			_, release, err := reader.Read(t.Context(), long())
			defer release()
			read <- err
		}()
		synctest.Wait()
		release()
		require.NoError(t, <-read)

		_, release, err = reader.Read(t.Context(), strings.NewReader(strings.Repeat("x", MaxBody/2)))
		require.ErrorIs(t, err, ErrNoMemory)
		release()
	})
}
