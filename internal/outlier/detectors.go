package outlier

import (
	"sync"
	"time"
)

// maxDetectors bounds the number of groups.
const maxDetectors = 256

// Options configure Detectors.
type Options[Group comparable] struct {
	// Members returns the keys of a group's workers, in a stable order.
	Members func(Group) []string
	// Utilization returns the utilization of a group's capacity; nil means 0.
	Utilization func(Group) float64
	// OnChange is called for each decision; nil: not called. Detectors is locked meanwhile, so
	// OnChange must not call its methods.
	OnChange func(Group, Change)
}

// Detectors holds a Detector per group. It is safe for concurrent use.
type Detectors[Group comparable] struct {
	options   Options[Group]
	mutex     sync.Mutex
	detectors map[Group]*groupDetector
}

type groupDetector struct {
	*Detector
	lastUsed time.Time
}

// NewDetectors returns a Detectors without groups.
func NewDetectors[Group comparable](options Options[Group]) *Detectors[Group] {
	return &Detectors[Group]{options: options, detectors: map[Group]*groupDetector{}}
}

// Add merges the report of the node from about a group's workers. It ignores the report if there
// are too many groups.
func (d *Detectors[Group]) Add(group Group, from string, samples []Sample, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if detector := d.detectorOf(group, now); detector != nil {
		detector.Add(from, samples, now)
	}
}

// Verdicts returns the verdicts on a group's workers for one node; see Detector.Verdicts. It returns
// nil if there are too many groups.
func (d *Detectors[Group]) Verdicts(group Group, now time.Time) []Verdict {
	members := d.options.Members(group)
	utilization := 0.0
	if d.options.Utilization != nil {
		utilization = d.options.Utilization(group)
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	detector := d.detectorOf(group, now)
	if detector == nil {
		return nil
	}
	detector.SetUtilization(utilization)
	return detector.Verdicts(members, now)
}

// detectorOf returns the detector of a group, created if necessary, or nil if there are too many. The
// caller holds the mutex.
func (d *Detectors[Group]) detectorOf(group Group, now time.Time) *groupDetector {
	existing, ok := d.detectors[group]
	if !ok {
		d.dropIdle(now)
		if len(d.detectors) >= maxDetectors {
			return nil
		}
		existing = &groupDetector{Detector: New(d.changeHandler(group))}
		d.detectors[group] = existing
	}
	existing.lastUsed = now
	return existing
}

func (d *Detectors[Group]) changeHandler(group Group) func(Change) {
	if d.options.OnChange == nil {
		return nil
	}
	return func(change Change) { d.options.OnChange(group, change) }
}

// dropIdle removes detectors that have not been used for stateTTL. The caller holds the mutex.
func (d *Detectors[Group]) dropIdle(now time.Time) {
	for group, detector := range d.detectors {
		if now.Sub(detector.lastUsed) > stateTTL {
			delete(d.detectors, group)
		}
	}
}
