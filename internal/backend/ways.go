package backend

import (
	"sync"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/locality"
)

const (
	// Round trips that are assumed until they are measured, between zones of a region and between
	// regions. They are typical of networks within one country.
	priorSameRegion  = 2 * time.Millisecond
	priorOtherRegion = 20 * time.Millisecond
	// minSamples is the number of connections that must have been opened before the estimate is
	// used. Fewer may all have met busy workers.
	minSamples = 4
	// estimateWindow is the least time for which the shortest sample counts; the most is twice that.
	estimateWindow = 30 * time.Second
	// estimateTTL is the time without a new connection after which the default is assumed again.
	// Otherwise a zone that seemed far away would not be used and never be measured again.
	estimateTTL = 2 * time.Minute
	// minZoneRoundTrip is the least round trip to another zone, however fast its connections open.
	// Equal workers of the own zone are preferred this way, since traffic between zones is
	// charged. The own zone's round trip is 0: opening a connection has that overhead anywhere.
	minZoneRoundTrip = time.Millisecond
)

// RoundTripEstimator estimates the round trip to each zone from the time that opening connections
// to its workers takes. It is safe for concurrent use.
type RoundTripEstimator struct {
	vantage locality.Vantage
	now     func() time.Time

	mutex sync.RWMutex
	zones map[string]*zoneEstimate
}

// zoneEstimate holds the samples of one zone. The minimum counts, since longer samples include
// delays of busy machines.
type zoneEstimate struct {
	minimum         time.Duration // since windowStart
	previousMinimum time.Duration // of the window before; 0: none
	samples         int
	windowStart     time.Time
	lastSample      time.Time
	reported        time.Duration // result of the last call of Observe
}

// NewRoundTripEstimator returns an estimator without samples for a node at vantage. now is the clock.
func NewRoundTripEstimator(vantage locality.Vantage, now func() time.Time) *RoundTripEstimator {
	return &RoundTripEstimator{vantage: vantage, now: now, zones: map[string]*zoneEstimate{}}
}

// Observe adds a sample: how long opening a connection to a zone took. Failed attempts must not be
// passed in. It returns the new estimate and whether it has changed.
func (e *RoundTripEstimator) Observe(zone string, took time.Duration) (roundTrip time.Duration, changed bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := e.now()
	estimate, ok := e.zones[zone]
	if !ok || now.Sub(estimate.lastSample) > estimateTTL {
		estimate = &zoneEstimate{minimum: took, windowStart: now}
		e.zones[zone] = estimate
	}
	if now.Sub(estimate.windowStart) > estimateWindow {
		estimate.previousMinimum, estimate.minimum, estimate.windowStart = estimate.minimum, took, now
	}
	estimate.minimum = min(estimate.minimum, took)
	estimate.lastSample = now
	estimate.samples++
	previous := estimate.reported
	estimate.reported = e.roundTrip(zone)
	return estimate.reported, estimate.reported != previous
}

// RoundTrip returns the estimated round trip to a zone. Estimates are rounded to a few levels, so that
// differences within the measurement error do not count.
func (e *RoundTripEstimator) RoundTrip(zone string) time.Duration {
	e.mutex.RLock()
	defer e.mutex.RUnlock()
	return e.roundTrip(zone)
}

// roundTrip is RoundTrip. The caller holds the mutex.
func (e *RoundTripEstimator) roundTrip(zone string) time.Duration {
	if e.vantage.To(zone) == locality.SameZone {
		return 0
	}
	estimate, ok := e.zones[zone]
	if !ok || estimate.samples < minSamples || e.now().Sub(estimate.lastSample) > estimateTTL {
		return level(e.prior(zone))
	}
	if estimate.previousMinimum > 0 {
		return level(min(estimate.previousMinimum, estimate.minimum))
	}
	return level(estimate.minimum)
}

// prior is the round trip that is assumed without samples.
func (e *RoundTripEstimator) prior(zone string) time.Duration {
	if e.vantage.To(zone) == locality.SameRegion {
		return priorSameRegion
	}
	return priorOtherRegion
}

// level rounds a time to the middle of its power-of-two interval, in multiples of minZoneRoundTrip.
// Shorter times are in the lowest interval.
func level(took time.Duration) time.Duration {
	floor := minZoneRoundTrip
	for 2*floor <= took {
		floor *= 2
	}
	return floor + floor/2
}
