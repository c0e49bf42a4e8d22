package backend

import (
	"sync"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/locality"
)

const (
	// defaultSameRegion and defaultOtherRegion are the round trips that are assumed until they are
	// measured. They are typical of networks within one country.
	defaultSameRegion  = 2 * time.Millisecond
	defaultOtherRegion = 20 * time.Millisecond
	// minSamples is the number of connections that must have been opened before the estimate is
	// used. Fewer may all have met busy workers.
	minSamples = 4
	// estimateWindow is the length of a window. The estimate is the shortest sample of the current
	// window and the one before.
	estimateWindow = 30 * time.Second
	// estimateTTL is the time without a new connection after which the default is assumed again.
	// Otherwise a zone that seemed far away would not be used and never be measured again.
	estimateTTL = 2 * time.Minute
	// minZoneRoundTrip is the least round trip to another zone, however fast its connections open.
	// It makes the node prefer workers of its own zone, whose round trip is 0, over equal ones
	// elsewhere, since traffic between zones is charged.
	minZoneRoundTrip = time.Millisecond
)

// RoundTripEstimator estimates the round trip to each zone from the time that opening connections
// to its workers takes. It is safe for concurrent use.
type RoundTripEstimator struct {
	location locality.Location
	now      func() time.Time

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

// NewRoundTripEstimator returns an estimator without samples for a node at location. now is the clock.
func NewRoundTripEstimator(location locality.Location, now func() time.Time) *RoundTripEstimator {
	return &RoundTripEstimator{location: location, now: now, zones: map[string]*zoneEstimate{}}
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
	if e.location.DistanceTo(zone) == locality.SameZone {
		return 0
	}
	estimate, ok := e.zones[zone]
	if !ok || estimate.samples < minSamples || e.now().Sub(estimate.lastSample) > estimateTTL {
		return level(e.defaultRoundTrip(zone))
	}
	if estimate.previousMinimum > 0 {
		return level(min(estimate.previousMinimum, estimate.minimum))
	}
	return level(estimate.minimum)
}

// defaultRoundTrip is the round trip that is assumed without samples.
func (e *RoundTripEstimator) defaultRoundTrip(zone string) time.Duration {
	if e.location.DistanceTo(zone) == locality.SameRegion {
		return defaultSameRegion
	}
	return defaultOtherRegion
}

// level rounds a time to the middle of its interval. The intervals begin at minZoneRoundTrip, and each
// is twice as long as the one before. Shorter times belong to the first.
func level(took time.Duration) time.Duration {
	floor := minZoneRoundTrip
	for 2*floor <= took {
		floor *= 2
	}
	return floor + floor/2
}
