package inbound

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/memory"
)

// requestOn returns a request that arrives on a connection, with a body of the declared length; -1: unknown.
func requestOn(o opened, body io.Reader, declared int64) *http.Request {
	r := &http.Request{Body: io.NopCloser(body), ContentLength: declared}
	if o.Connection != nil {
		o.receive(100)
		o.owner.endHead(o.Connection)
		r = r.WithContext(WithConnection(r.Context(), o.Connection))
	}
	return r
}

// withBudget returns connections whose requests share some bytes of memory, half of them for long bodies.
func withBudget(bytes int64) (*Connections, *memory.Budget) {
	budget := memory.NewBudget(bytes)
	return New(Options{ReserveMemory: budget.Reserve, ReserveLong: budget.Part(bytes / 2).Reserve, Logger: discardLogger}), budget
}

// Guards against bodies that are cut or changed at the sizes at which buffers grow, and against memory that is not released.
func TestBodiesAreReadWhole(t *testing.T) {
	const limit = 1 << 20 // a size that a growing buffer has
	for _, size := range []int{0, 1, freeBodyBytes - 1, freeBodyBytes, freeBodyBytes + 1, longBodyBytes, longBodyBytes + 1, limit - 1, limit, limit + 1} {
		text := strings.Repeat("x", size)
		for _, declared := range []int64{int64(size), -1} {
			c, budget := withBudget(3 * limit) // the longest body fits, but not twice
			body, release, err := ReadBody(requestOn(open(t, c), iotest.HalfReader(strings.NewReader(text)), declared), limit)
			if size > limit {
				require.ErrorIs(t, err, ErrTooLong, "%d of %d bytes", size, declared)
			} else {
				require.NoError(t, err, "%d of %d bytes", size, declared)
				require.Equal(t, text, string(body))
			}
			release()
			require.Zero(t, budget.Used())
		}
	}
	without, release, err := ReadBody(requestOn(opened{}, strings.NewReader("in"), 2), limit)
	require.NoError(t, err, "a request without a connection of the package")
	require.Equal(t, "in", string(without))
	release()
}

// Guards against requests that are served with a part of their body.
func TestIncompleteBodiesAreErrors(t *testing.T) {
	for name, source := range map[string]io.Reader{"ended": strings.NewReader("in"), "failed": iotest.ErrReader(errors.New("reset"))} {
		t.Run(name, func(t *testing.T) {
			c, budget := withBudget(1 << 20)
			_, release, err := ReadBody(requestOn(open(t, c), source, 3), 100)
			require.ErrorIs(t, err, ErrClosed)
			release()
			require.Zero(t, budget.Used())
		})
	}
}

// Guards against bodies that are refused although they are too long, which clients would send again and again.
func TestDeclaredLengthIsCheckedFirst(t *testing.T) {
	c, _ := withBudget(0)
	_, release, err := ReadBody(requestOn(open(t, c), iotest.ErrReader(errors.New("not to be read")), 101), 100)
	require.ErrorIs(t, err, ErrTooLong)
	release()
}

// arriving is a body of which a part has arrived and the rest is awaited.
type arriving struct {
	reader *io.PipeReader
	writer *io.PipeWriter
	result chan error
}

// arrive reads a body of the declared length of which some bytes have arrived.
func arrive(o opened, declared, arrived int) arriving {
	reader, writer := io.Pipe()
	a := arriving{reader, writer, make(chan error, 1)}
	request := requestOn(o, reader, int64(declared))
	go func() {
		_, release, err := ReadBody(request, 4<<20)
		release()
		a.result <- err
	}()
	_, _ = writer.Write(make([]byte, arrived))
	synctest.Wait()
	return a
}

// Guards against memory that is held by what clients declare and do not send (FAULT).
func TestOnlyWhatHasArrivedIsReserved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, budget := withBudget(8 << 20)
		declared := arrive(open(t, c), 4<<20, 100)
		require.Zero(t, budget.Used())
		partly := arrive(open(t, c), 4<<20, 10<<10)
		require.LessOrEqual(t, budget.Used(), int64(bodyGrowth*10<<10))
		for _, each := range []arriving{declared, partly} {
			each.writer.Close()
			require.ErrorIs(t, <-each.result, ErrClosed)
		}
		require.Zero(t, budget.Used())
	})
}

// Guards against clients that begin long bodies and hold the memory that others need (FAULT), and against giving up one that is as fast.
func TestSlowestBodyGivesWayForMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, budget := withBudget(256 << 10)
		slow, slower := open(t, c), open(t, c)
		first := arrive(slower, 60<<10, 17<<10)
		time.Sleep(time.Second)
		second := arrive(slow, 60<<10, 17<<10)
		time.Sleep(time.Second)
		require.Equal(t, int64(2*60<<10), budget.Used())
		third := open(t, c)
		_, release, err := ReadBody(requestOn(third, strings.NewReader(strings.Repeat("x", 60<<10)), 60<<10), 1<<20)
		require.NoError(t, err, "there is room for four")
		_, releaseNext, err := ReadBody(requestOn(open(t, c), strings.NewReader(strings.Repeat("x", 60<<10)), 60<<10), 1<<20)
		require.NoError(t, err)
		require.False(t, slower.closed)
		_, releaseLast, err := ReadBody(requestOn(open(t, c), strings.NewReader(strings.Repeat("x", 60<<10)), 60<<10), 1<<20)
		require.NoError(t, err)
		require.True(t, slower.closed)
		require.False(t, slow.closed)
		_, _ = first.writer.Write(make([]byte, 43<<10))
		require.ErrorIs(t, <-first.result, ErrClosed, "a request that was given up is not served, even if it arrives")
		_, _ = second.writer.Write(make([]byte, 43<<10))
		require.NoError(t, <-second.result)

		release()
		releaseNext()
		releaseLast()
		require.Zero(t, budget.Used())
	})
}

// Guards against long bodies that leave no memory for short ones.
func TestLongBodiesLeaveRoomForShortOnes(t *testing.T) {
	c, _ := withBudget(2 << 20)
	long := func() error {
		_, _, err := ReadBody(requestOn(open(t, c), strings.NewReader(strings.Repeat("x", 400<<10)), 400<<10), 1<<20)
		return err
	}
	require.NoError(t, long())
	require.ErrorIs(t, long(), ErrNoMemory)
	_, _, err := ReadBody(requestOn(open(t, c), strings.NewReader(strings.Repeat("x", 60<<10)), 60<<10), 1<<20)
	require.NoError(t, err)
}
