package server

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/admission"
	"github.com/cloverwheel/cloverwheel/internal/backend"
	"github.com/cloverwheel/cloverwheel/internal/capacity"
	"github.com/cloverwheel/cloverwheel/internal/directory"
	"github.com/cloverwheel/cloverwheel/internal/forward"
	"github.com/cloverwheel/cloverwheel/internal/locality"
	"github.com/cloverwheel/cloverwheel/internal/outlier"
	"github.com/cloverwheel/cloverwheel/internal/peer"
	"github.com/cloverwheel/cloverwheel/internal/route"
)

// capacityTracker tracks the free capacity of workers and requests placements from other nodes. It
// covers services whose configuration gives the capacity of a worker, and only while this node has
// the complete worker list. It implements capacity.GroupResolver.
type capacityTracker struct {
	client          *capacity.Client
	coordinator     *capacity.Coordinator
	location        locality.Location
	service         func(name string) route.Service
	workers         *backend.Registry
	workersComplete func() bool // reports whether this node has the complete worker list
}

var _ capacity.GroupResolver = (*capacityTracker)(nil)

// newCapacityTracker returns the tracker of a node and registers its handler for calls of other
// nodes.
func newCapacityTracker(options Options, peers *peers, verifier *verifier, dir *directory.Directory) *capacityTracker {
	location := options.Settings.location()
	slots := &capacity.CoordinatorResolver{Layout: directory.NewLayout(location.Zones), Localities: location.Zones, Owners: dir}
	t := &capacityTracker{location: location, service: verifier.service}
	detectors := outlier.NewDetectors(outlier.Options[capacity.Group]{
		Members: t.memberKeys, Utilization: func(group capacity.Group) float64 { return t.coordinator.Utilization(group) },
		OnChange: func(group capacity.Group, change outlier.Change) {
			options.Metrics.Ejections.RecordDecision(options.Logger, group, change)
		},
	})
	t.coordinator = capacity.NewCoordinator(capacity.CoordinatorOptions{
		Process: options.Process, Resolver: slots, Members: t.members, OutlierDetector: detectors,
		OnAnswer: options.Metrics.Capacity.RecordAnswer, Logger: options.Logger,
	})
	t.client = capacity.NewClient(capacity.ClientOptions{
		Self: options.self(), Zone: location.Zone, Resolver: slots, Peers: peers.client, Workers: t,
		ResponseTimes: peers.client.timeout, Coordinator: t.coordinator, SampleExchange: t,
		OnFind: options.Metrics.Capacity.RecordPlacement, OnReport: options.Metrics.Capacity.RecordReport, Logger: options.Logger,
	})
	options.Metrics.Capacity.RegisterGauges(t.coordinator.Stats)
	peer.Handle(peers.mux, methodCapacity, func(ctx context.Context, request capacity.Request) (capacity.Answer, error) {
		return t.coordinator.Answer(ctx, request), nil
	})
	return t
}

// TakeSamples implements capacity.SampleExchange.
func (t *capacityTracker) TakeSamples(service string) []outlier.Sample {
	return t.workers.TakeSamples(service)
}

// NoteVerdicts implements capacity.SampleExchange.
func (t *capacityTracker) NoteVerdicts(verdicts []outlier.Verdict) { t.workers.ApplyVerdicts(verdicts) }

// memberKeys returns the sorted keys of the workers of a group that may get requests.
func (t *capacityTracker) memberKeys(group capacity.Group) []string {
	members, _ := t.members(group)
	keys := make([]string, 0, len(members))
	for _, member := range members {
		keys = append(keys, member.Worker)
	}
	slices.Sort(keys)
	return keys
}

// attach sets the source of the workers, which is created after the tracker.
func (t *capacityTracker) attach(s *Server) {
	if t != nil {
		t.workers, t.workersComplete = s.workers, s.workerFollower.Whole
	}
}

// forwarderCapacity returns the placement interface for the forwarder; nil if the node runs without
// peers.
func (t *capacityTracker) forwarderCapacity() forward.Capacity {
	if t == nil {
		return nil
	}
	return t.client
}

// Utilization implements admission.UtilizationSource. It returns nil if the load of the service is
// unknown.
func (t *capacityTracker) Utilization(service string) *admission.UtilizationReport {
	utilization, age, known := t.client.Utilization(service, admission.MaxUtilizationAge)
	if !known {
		return nil
	}
	return &admission.UtilizationReport{Share: utilization, Age: age}
}

// utilizationSource returns the source of worker load for admission control; nil if the node runs
// without peers.
func (t *capacityTracker) utilizationSource() admission.UtilizationSource {
	if t == nil {
		return nil
	}
	return t
}

// tracks reports whether the capacity of a service's workers is tracked.
func (t *capacityTracker) tracks(service string) bool {
	return t.service(service).MaxConcurrency > 0 && t.workersComplete()
}

// GroupOf implements capacity.GroupResolver. It returns the group of the worker with the given key.
func (t *capacityTracker) GroupOf(service, key string) (capacity.Group, bool) {
	worker, ok := t.workers.WorkerByKey(key)
	if !ok || worker.Service() != service || !t.tracks(service) {
		return capacity.Group{}, false
	}
	return t.groupIn(service, worker.Zone(), worker.ID())
}

// GroupIn implements capacity.GroupResolver. It maps any key to a group of a zone.
func (t *capacityTracker) GroupIn(service, zone, key string) (capacity.Group, bool) {
	if !t.tracks(service) {
		return capacity.Group{}, false
	}
	return t.groupIn(service, zone, key)
}

// groupIn returns the group of a zone that a name hashes to.
func (t *capacityTracker) groupIn(service, zone, name string) (capacity.Group, bool) {
	workers := len(t.workers.WorkersInZone(service, zone))
	if workers == 0 {
		return capacity.Group{}, false
	}
	return capacity.Group{Service: service, Zone: zone, Number: capacity.GroupNumber(name, capacity.GroupCount(workers))}, true
}

// OtherZones implements capacity.GroupResolver. It returns the other zones of the region, nearest
// first.
func (t *capacityTracker) OtherZones(service, zone string) []capacity.RemoteZone {
	var others []capacity.RemoteZone
	for _, other := range t.workers.Zones(service) {
		if other != zone && t.InRegion(other) {
			others = append(others, capacity.RemoteZone{Zone: other, RoundTrip: t.workers.RoundTripTo(other)})
		}
	}
	slices.SortFunc(others, func(a, b capacity.RemoteZone) int {
		return cmp.Or(cmp.Compare(a.RoundTrip, b.RoundTrip), cmp.Compare(a.Zone, b.Zone))
	})
	return others
}

// InRegion implements capacity.GroupResolver. It reports whether a zone is in this node's region.
func (t *capacityTracker) InRegion(zone string) bool {
	return t.location.DistanceTo(zone) != locality.OtherRegion
}

// Excluded implements capacity.GroupResolver. It returns the workers that have just failed or
// declined a request of this node.
func (t *capacityTracker) Excluded(group capacity.Group) (excluded []string) {
	now := time.Now()
	for _, worker := range t.groupWorkers(group) {
		if worker.Avoided(now) {
			excluded = append(excluded, worker.Key())
		}
	}
	return excluded
}

// groupWorkers returns the workers of a group.
func (t *capacityTracker) groupWorkers(group capacity.Group) []*backend.Worker {
	workers := t.workers.WorkersInZone(group.Service, group.Zone)
	groups := capacity.GroupCount(len(workers))
	return slices.DeleteFunc(workers, func(worker *backend.Worker) bool {
		return capacity.GroupNumber(worker.ID(), groups) != group.Number
	})
}

// members returns the workers of a group that may get requests; ok is false if this node does not
// have all of their records.
func (t *capacityTracker) members(group capacity.Group) (members []capacity.Member, ok bool) {
	if !t.tracks(group.Service) {
		return nil, false
	}
	service := t.service(group.Service)
	for _, worker := range t.groupWorkers(group) {
		if !t.workers.Available(worker) {
			continue
		}
		member := capacity.Member{Worker: worker.Key(), Concurrency: service.MaxConcurrency, Memory: service.MemoryTokens}
		if slots := worker.Record().Slots; slots > 0 {
			member.Concurrency = slots
		}
		members = append(members, member)
	}
	return members, true
}
