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

// roomTracker tracks the free capacity of workers and asks other nodes for placement. It covers
// services whose configuration gives the capacity of a worker, and only while this node knows the
// complete worker list. It implements capacity.GroupResolver.
type roomTracker struct {
	reporter        *capacity.Client
	keeper          *capacity.Coordinator
	vantage         locality.Location
	service         func(name string) route.Service
	workers         *backend.Registry
	workersComplete func() bool // reports whether the complete worker list is known
}

var _ capacity.GroupResolver = (*roomTracker)(nil)

// newRoomTracker returns the tracker of a node and registers its handler for calls of other
// nodes.
func newRoomTracker(options Options, peers *peers, verifier *verifier, dir *directory.Directory) *roomTracker {
	vantage := options.Settings.vantage()
	slots := &capacity.KeeperResolver{Layout: directory.NewLayout(vantage.Zones), Localities: vantage.Zones, Owners: dir}
	r := &roomTracker{vantage: vantage, service: verifier.service}
	boards := outlier.NewDetectors(outlier.Options[capacity.Group]{
		Members: r.memberKeys, Utilization: func(group capacity.Group) float64 { return r.keeper.Utilization(group) },
		OnChange: func(group capacity.Group, change outlier.Change) {
			options.Metrics.Ejections.RecordDecision(options.Logger, group, change)
		},
	})
	r.keeper = capacity.NewCoordinator(capacity.CoordinatorOptions{
		Process: options.Process, Slots: slots, Members: r.members, Experience: boards,
		OnAnswer: options.Metrics.Room.RecordAnswer, Logger: options.Logger,
	})
	r.reporter = capacity.NewClient(capacity.ClientOptions{
		Self: options.self(), Zone: vantage.Zone, Slots: slots, Peers: peers.client, Workers: r,
		Patience: peers.client.timeout, Keeper: r.keeper, Learner: r,
		OnFind: options.Metrics.Room.RecordPlacement, OnReport: options.Metrics.Room.RecordReport, Logger: options.Logger,
	})
	options.Metrics.Room.RegisterGauges(r.keeper.Stats)
	peer.Handle(peers.mux, methodRoom, func(ctx context.Context, request capacity.Request) (capacity.Answer, error) {
		return r.keeper.Answer(ctx, request), nil
	})
	return r
}

// TakeSamples implements capacity.Learner.
func (r *roomTracker) TakeSamples(service string) []outlier.Sample {
	return r.workers.TakeSamples(service)
}

// NoteVerdicts implements capacity.Learner.
func (r *roomTracker) NoteVerdicts(verdicts []outlier.Verdict) { r.workers.ApplyVerdicts(verdicts) }

// memberKeys returns the sorted keys of the workers of a group that may get requests.
func (r *roomTracker) memberKeys(group capacity.Group) []string {
	members, _ := r.members(group)
	keys := make([]string, 0, len(members))
	for _, member := range members {
		keys = append(keys, member.Worker)
	}
	slices.Sort(keys)
	return keys
}

// attach sets the source of the workers, which is created after the tracker.
func (r *roomTracker) attach(s *Server) {
	if r != nil {
		r.workers, r.workersComplete = s.workers, s.workerFollower.Whole
	}
}

// forwardRoom returns the placement interface for the forwarder; nil if the node runs without
// peers.
func (r *roomTracker) forwardRoom() forward.Capacity {
	if r == nil {
		return nil
	}
	return r.reporter
}

// Utilization implements admission.UtilizationSource. It returns nil if the load of the service is unknown.
func (r *roomTracker) Utilization(service string) *admission.UtilizationReport {
	busy, age, known := r.reporter.Utilization(service, admission.MaxUtilizationAge)
	if !known {
		return nil
	}
	return &admission.UtilizationReport{Share: busy, Age: age}
}

// admissionKeepers returns the source of worker load for admission control; nil if the node runs
// without peers.
func (r *roomTracker) admissionKeepers() admission.UtilizationSource {
	if r == nil {
		return nil
	}
	return r
}

// tracks reports whether the capacity of a service's workers is tracked.
func (r *roomTracker) tracks(service string) bool {
	return r.service(service).MaxConcurrency > 0 && r.workersComplete()
}

// GroupOf implements capacity.GroupResolver. It returns the group of the worker with the given key.
func (r *roomTracker) GroupOf(service, key string) (capacity.Group, bool) {
	worker, ok := r.workers.WorkerByKey(key)
	if !ok || worker.Service() != service || !r.tracks(service) {
		return capacity.Group{}, false
	}
	return r.groupIn(service, worker.Zone(), worker.ID())
}

// GroupIn implements capacity.GroupResolver. It maps any key to a group of a zone.
func (r *roomTracker) GroupIn(service, zone, key string) (capacity.Group, bool) {
	if !r.tracks(service) {
		return capacity.Group{}, false
	}
	return r.groupIn(service, zone, key)
}

// groupIn returns the group of a zone that a name hashes to.
func (r *roomTracker) groupIn(service, zone, name string) (capacity.Group, bool) {
	workers := len(r.workers.WorkersInZone(service, zone))
	if workers == 0 {
		return capacity.Group{}, false
	}
	return capacity.Group{Service: service, Zone: zone, Number: capacity.GroupNumber(name, capacity.GroupCount(workers))}, true
}

// OtherZones implements capacity.GroupResolver. It returns the other zones of the region, nearest first.
func (r *roomTracker) OtherZones(service, zone string) []capacity.RemoteZone {
	var others []capacity.RemoteZone
	for _, other := range r.workers.Zones(service) {
		if other != zone && r.InRegion(other) {
			others = append(others, capacity.RemoteZone{Zone: other, RoundTrip: r.workers.RoundTripTo(other)})
		}
	}
	slices.SortFunc(others, func(a, b capacity.RemoteZone) int {
		return cmp.Or(cmp.Compare(a.RoundTrip, b.RoundTrip), cmp.Compare(a.Zone, b.Zone))
	})
	return others
}

// InRegion implements capacity.GroupResolver. It reports whether a zone is in this node's region.
func (r *roomTracker) InRegion(zone string) bool {
	return r.vantage.DistanceTo(zone) != locality.OtherRegion
}

// Excluded implements capacity.GroupResolver. It returns the workers that have just failed or declined a
// request of this node.
func (r *roomTracker) Excluded(group capacity.Group) (shunned []string) {
	now := time.Now()
	for _, worker := range r.groupWorkers(group) {
		if worker.Avoided(now) {
			shunned = append(shunned, worker.Key())
		}
	}
	return shunned
}

// groupWorkers returns the workers of a group.
func (r *roomTracker) groupWorkers(group capacity.Group) []*backend.Worker {
	workers := r.workers.WorkersInZone(group.Service, group.Zone)
	groups := capacity.GroupCount(len(workers))
	return slices.DeleteFunc(workers, func(worker *backend.Worker) bool {
		return capacity.GroupNumber(worker.ID(), groups) != group.Number
	})
}

// members returns the workers of a group that may get requests; ok is false if this node does not
// know all of them.
func (r *roomTracker) members(group capacity.Group) (members []capacity.Member, ok bool) {
	if !r.tracks(group.Service) {
		return nil, false
	}
	service := r.service(group.Service)
	for _, worker := range r.groupWorkers(group) {
		if !r.workers.Available(worker) {
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
