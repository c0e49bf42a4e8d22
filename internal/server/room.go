package server

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/admission"
	"github.com/cloverwheel/cloverwheel/internal/backend"
	"github.com/cloverwheel/cloverwheel/internal/directory"
	"github.com/cloverwheel/cloverwheel/internal/experience"
	"github.com/cloverwheel/cloverwheel/internal/forward"
	"github.com/cloverwheel/cloverwheel/internal/locality"
	"github.com/cloverwheel/cloverwheel/internal/peer"
	"github.com/cloverwheel/cloverwheel/internal/room"
	"github.com/cloverwheel/cloverwheel/internal/route"
)

// roomTracker tracks the free capacity of workers and asks other nodes for placement. It covers
// services whose configuration gives the capacity of a worker, and only while this node knows the
// complete worker list. It implements room.Workers.
type roomTracker struct {
	reporter        *room.Reporter
	keeper          *room.Keeper
	vantage         locality.Vantage
	service         func(name string) route.Service
	workers         *backend.Registry
	workersComplete func() bool // reports whether the complete worker list is known
}

var _ room.Workers = (*roomTracker)(nil)

// newRoomTracker returns the tracker of a node and registers its handler for calls of other
// nodes.
func newRoomTracker(options Options, peers *peers, verifier *verifier, dir *directory.Directory) *roomTracker {
	vantage := options.Settings.vantage()
	slots := &room.Slots{Layout: directory.NewLayout(vantage.Places), Places: vantage.Places, Owners: dir}
	r := &roomTracker{vantage: vantage, service: verifier.service}
	boards := experience.NewBoards(experience.Options[room.Group]{
		Members: r.memberKeys, Busy: func(group room.Group) float64 { return r.keeper.Busy(group) },
		OnChange: func(group room.Group, change experience.Change) {
			options.Metrics.Ejections.RecordDecision(options.Logger, group, change)
		},
	})
	r.keeper = room.NewKeeper(room.KeeperOptions{
		Process: options.Process, Slots: slots, Members: r.members, Experience: boards,
		Count: options.Metrics.Room.RecordAnswer, Logger: options.Logger,
	})
	r.reporter = room.NewReporter(room.ReporterOptions{
		Self: options.self(), Zone: vantage.Zone, Slots: slots, Peers: peers.client, Workers: r,
		Patience: peers.client.timeout, Keeper: r.keeper, Learner: r,
		Count: options.Metrics.Room.RecordPlacement, Told: options.Metrics.Room.RecordReport, Logger: options.Logger,
	})
	options.Metrics.Room.RegisterGauges(r.keeper.Kept)
	peer.Handle(peers.mux, methodRoom, func(ctx context.Context, request room.Request) (room.Answer, error) {
		return r.keeper.Answer(ctx, request), nil
	})
	return r
}

// TakeSamples implements room.Learner.
func (r *roomTracker) TakeSamples(service string) []experience.Sample {
	return r.workers.TakeSamples(service)
}

// NoteVerdicts implements room.Learner.
func (r *roomTracker) NoteVerdicts(verdicts []experience.Verdict) { r.workers.NoteVerdicts(verdicts) }

// memberKeys returns the sorted keys of the workers of a group that may get requests.
func (r *roomTracker) memberKeys(group room.Group) []string {
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
func (r *roomTracker) forwardRoom() forward.Room {
	if r == nil {
		return nil
	}
	return r.reporter
}

// Busy implements admission.Keepers. It returns nil if the load of the service is unknown.
func (r *roomTracker) Busy(service string) *admission.Keeper {
	busy, age, known := r.reporter.Busy(service, admission.KeeperAge)
	if !known {
		return nil
	}
	return &admission.Keeper{Busy: busy, Age: age}
}

// admissionKeepers returns the source of worker load for admission control; nil if the node runs
// without peers.
func (r *roomTracker) admissionKeepers() admission.Keepers {
	if r == nil {
		return nil
	}
	return r
}

// tracks reports whether the capacity of a service's workers is tracked.
func (r *roomTracker) tracks(service string) bool {
	return r.service(service).Places > 0 && r.workersComplete()
}

// GroupOf implements room.Workers. It returns the group of the worker with the given key.
func (r *roomTracker) GroupOf(service, key string) (room.Group, bool) {
	worker, ok := r.workers.WorkerOf(key)
	if !ok || worker.Service() != service || !r.tracks(service) {
		return room.Group{}, false
	}
	return r.groupIn(service, worker.Zone(), worker.ID())
}

// GroupIn implements room.Workers. It maps any key to a group of a zone.
func (r *roomTracker) GroupIn(service, zone, key string) (room.Group, bool) {
	if !r.tracks(service) {
		return room.Group{}, false
	}
	return r.groupIn(service, zone, key)
}

// groupIn returns the group of a zone that a name hashes to.
func (r *roomTracker) groupIn(service, zone, name string) (room.Group, bool) {
	workers := len(r.workers.OfZone(service, zone))
	if workers == 0 {
		return room.Group{}, false
	}
	return room.Group{Service: service, Zone: zone, Number: room.NumberOf(name, room.Groups(workers))}, true
}

// Others implements room.Workers. It returns the other zones of the region, nearest first.
func (r *roomTracker) Others(service, zone string) []room.Distant {
	var others []room.Distant
	for _, other := range r.workers.ZonesOf(service) {
		if other != zone && r.Near(other) {
			others = append(others, room.Distant{Zone: other, RoundTrip: r.workers.RoundTripTo(other)})
		}
	}
	slices.SortFunc(others, func(a, b room.Distant) int {
		return cmp.Or(cmp.Compare(a.RoundTrip, b.RoundTrip), cmp.Compare(a.Zone, b.Zone))
	})
	return others
}

// Near implements room.Workers. It reports whether a zone is in this node's region.
func (r *roomTracker) Near(zone string) bool { return r.vantage.To(zone) != locality.OtherRegion }

// Shunned implements room.Workers. It returns the workers that have just failed or declined a
// request of this node.
func (r *roomTracker) Shunned(group room.Group) (shunned []string) {
	now := time.Now()
	for _, worker := range r.groupWorkers(group) {
		if worker.Shunned(now) {
			shunned = append(shunned, worker.Key())
		}
	}
	return shunned
}

// groupWorkers returns the workers of a group.
func (r *roomTracker) groupWorkers(group room.Group) []*backend.Worker {
	workers := r.workers.OfZone(group.Service, group.Zone)
	groups := room.Groups(len(workers))
	return slices.DeleteFunc(workers, func(worker *backend.Worker) bool {
		return room.NumberOf(worker.ID(), groups) != group.Number
	})
}

// members returns the workers of a group that may get requests; ok is false if this node does not
// know all of them.
func (r *roomTracker) members(group room.Group) (members []room.Member, ok bool) {
	if !r.tracks(group.Service) {
		return nil, false
	}
	service := r.service(group.Service)
	for _, worker := range r.groupWorkers(group) {
		if !r.workers.Takes(worker) {
			continue
		}
		member := room.Member{Worker: worker.Key(), Places: service.Places, Memory: service.Memory}
		if slots := worker.Record().Slots; slots > 0 {
			member.Places = slots
		}
		members = append(members, member)
	}
	return members, true
}
