package store

import (
	"context"
	"errors"
	"time"
)

const (
	// probeInterval is the minimum interval between probes, probeIntervalPending while an
	// earlier one is in flight. Probes overlap since a table may never respond to
	// requests that it received before it recovered.
	probeInterval        = 100 * time.Millisecond
	probeIntervalPending = 200 * time.Millisecond
	// maxProbes bounds the probes in flight.
	maxProbes = 8
	// probePollInterval is how often callers that wait at a closed gate check whether a probe
	// is due.
	probePollInterval = 50 * time.Millisecond
	// A probe's timeout is a multiple of the usual latency, within bounds. The upper bound
	// covers a table with a latency of 12 ms that becomes a hundred times slower, and stays
	// below the 2 s within which a table that recovered must be in use.
	probeTimeoutFactor = 100
	minProbeTimeout    = 500 * time.Millisecond
	maxProbeTimeout    = 1500 * time.Millisecond
)

// probes counts the gate's probes. The gate's mutex guards it.
type probes struct {
	next     time.Time // earliest time of the next probe
	inFlight int
	sent     int // since the gate closed
}

// probe starts a read, if one is due, that opens the gate if the table responds, be it with
// ErrThrottled. probe does not wait for the result. The read has its own timeout, since callers may
// have less time left than a response takes.
func (g *Gate) probe(key Key) {
	if !g.beginProbe() {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), g.probeTimeout())
		defer cancel()
		begun := time.Now()
		_, err := g.Store.Range(ctx, key.Table, key.Part, key.Name, "", 1)
		if err == nil {
			g.latency.Observe(time.Since(begun))
		}
		g.mutex.Lock()
		defer g.mutex.Unlock()
		g.probes.inFlight--
		if err == nil || errors.Is(err, ErrThrottled) {
			g.open("probe")
		}
	}()
}

// probeTimeout returns the timeout of a probe.
func (g *Gate) probeTimeout() time.Duration {
	return max(minProbeTimeout, probeTimeoutFactor*g.latency.Timeout(0, maxProbeTimeout/probeTimeoutFactor))
}

// beginProbe reports whether a probe is due, and if so counts it as sent.
func (g *Gate) beginProbe() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := time.Now()
	if g.probes.inFlight >= maxProbes || now.Before(g.probes.next) {
		return false
	}
	g.probes.next = now.Add(probeInterval)
	if g.probes.inFlight > 0 {
		g.probes.next = now.Add(probeIntervalPending)
	}
	g.probes.inFlight++
	g.probes.sent++
	g.logProbe(now)
	return true
}

// logProbe logs the first, second, fourth, eighth ... probe of a closed gate, to bound the log
// volume of a long outage.
func (g *Gate) logProbe(now time.Time) {
	if g.opened == nil || g.probes.sent&(g.probes.sent-1) != 0 {
		return
	}
	g.logger.WithField("closed_ms", now.Sub(g.closedAt).Milliseconds()).WithField("probes", g.probes.sent).
		WithField("unanswered", g.probes.inFlight-1).WithField("patience_ms", g.HedgeDelay().Milliseconds()).
		Info("table does not respond; probing it")
}
