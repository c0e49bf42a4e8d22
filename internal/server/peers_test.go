package server

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/directory"
	"github.com/cloverwheel/cloverwheel/internal/locality"
	"github.com/cloverwheel/cloverwheel/internal/peer"
	"github.com/cloverwheel/cloverwheel/internal/timing"
)

// slowTransport answers after a delay, or never.
type slowTransport struct {
	peer.Transport
	delay        atomic.Int64 // ns
	unresponsive atomic.Bool
	inProgress   atomic.Int64
}

// Call implements peer.Transport.
func (s *slowTransport) Call(ctx context.Context, _ peer.Address, _ string, _ []byte) ([]byte, error) {
	s.inProgress.Add(1)
	defer s.inProgress.Add(-1)
	if s.unresponsive.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if err := timing.Sleep(ctx, time.Duration(s.delay.Load())); err != nil {
		return nil, err
	}
	return peer.Encode(directory.Answer{Owner: true})
}

// Guards against timeouts that are permanently too short for a zone, or too long after a slow or
// unresponsive period.
func TestPeerTimeoutFollowsZoneLatency(t *testing.T) {
	const least, most = 30 * time.Millisecond, 200 * time.Millisecond
	process := locality.ProcessName("far", "node", "1")
	for _, latency := range []time.Duration{time.Millisecond, 30 * time.Millisecond, 100 * time.Millisecond} {
		t.Run(fmt.Sprint(latency), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				transport := &slowTransport{}
				transport.delay.Store(int64(latency))
				client := &peerClient{transport: newUncountedTransport(transport, nil)}
				call := func() error {
					ctx, cancel := context.WithTimeout(t.Context(), client.timeout(process, least, most))
					defer cancel()
					_, err := client.Locate(ctx, "address", directory.Request{Process: process})
					return err
				}
				callFor := func(duration time.Duration) {
					for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
						_ = call()
					}
				}
				for name, disturb := range map[string]func(){
					"calm":         func() {},
					"slow":         func() { transport.delay.Store(int64(100 * latency)) },
					"unresponsive": func() { transport.unresponsive.Store(true) },
				} {
					disturb()
					callFor(4500 * time.Millisecond)
					transport.delay.Store(int64(latency))
					transport.unresponsive.Store(false)
					callFor(2 * time.Second)
					for range 20 {
						require.NoError(t, call(), name)
					}
					require.LessOrEqual(t, client.timeout(process, least, most), max(least, 2*latency), name)
				}
				require.Equal(t, least, client.timeout("near", least, most))
				time.Sleep(lateResponseTimeout)
			})
		})
	}
}

// Guards against detecting a dead connection only after the timeout of the calls that wait on it.
func TestUnresponsiveTimeoutIsWithinCallTimeouts(t *testing.T) {
	p := newPeers(Options{Metrics: NewMetrics()})
	require.Positive(t, p.options.UnresponsiveAfter)
	require.LessOrEqual(t, p.options.UnresponsiveAfter, minProofTimeout)
	require.Less(t, p.options.UnresponsiveAfter, p.options.DialTimeout)
}

// Guards against an unresponsive node accumulating calls whose callers have given up.
func TestAbandonedCallsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		transport := &slowTransport{}
		transport.unresponsive.Store(true)
		client := &peerClient{transport: newUncountedTransport(transport, nil)}
		for range 1000 {
			go func() {
				ctx, cancel := context.WithTimeout(t.Context(), 40*time.Millisecond)
				defer cancel()
				_, _ = client.Locate(ctx, "address", directory.Request{})
			}()
			time.Sleep(time.Millisecond)
		}
		time.Sleep(50 * time.Millisecond)
		synctest.Wait()
		require.EqualValues(t, maxAbandonedCalls, transport.inProgress.Load())
		time.Sleep(lateResponseTimeout)
		synctest.Wait()
		require.Zero(t, transport.inProgress.Load())
		require.Zero(t, client.abandoned.Load())
	})
}
