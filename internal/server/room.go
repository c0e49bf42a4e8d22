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

// rooms is how a node keeps account of workers' places, and asks other nodes for them. Only
// services are looked at of whose workers it is said how many places they have, and only where
// this node knows all of them. It implements room.Workers.
type rooms struct {
	reporter *room.Reporter
	keeper   *room.Keeper
	vantage  locality.Vantage
	service  func(name string) route.Service
	workers  *backend.Registry
	whole    func() bool // the whole list of workers is known
}

var _ room.Workers = (*rooms)(nil)

// newRooms returns the rooms of a node, and sets what other nodes are answered.
func newRooms(options Options, peers *peers, knowledge *knowledge, programs *directory.Directory) *rooms {
	vantage := options.Settings.vantage()
	slots := &room.Slots{Layout: directory.NewLayout(vantage.Places), Places: vantage.Places, Owners: programs}
	r := &rooms{vantage: vantage, service: knowledge.service}
	seen := experience.NewBoards(experience.Options[room.Group]{
		Members: r.keys, Busy: func(group room.Group) float64 { return r.keeper.Busy(group) },
		OnChange: func(group room.Group, change experience.Change) {
			options.Metrics.Experience.Noted(options.Logger, group, change)
		},
	})
	r.keeper = room.NewKeeper(room.KeeperOptions{
		Process: options.Process, Slots: slots, Members: r.members, Experience: seen,
		Count: options.Metrics.Room.Answered, Logger: options.Logger,
	})
	r.reporter = room.NewReporter(room.ReporterOptions{
		Self: options.self(), Zone: vantage.Zone, Slots: slots, Peers: peers.asker, Workers: r,
		Patience: peers.asker.patience, Keeper: r.keeper, Learner: r,
		Count: options.Metrics.Room.Found, Told: options.Metrics.Room.Told, Logger: options.Logger,
	})
	options.Metrics.Room.Watch(r.keeper.Kept)
	peer.Handle(peers.mux, methodRoom, func(ctx context.Context, request room.Request) (room.Answer, error) {
		return r.keeper.Answer(ctx, request), nil
	})
	return r
}

// TakeSamples implements room.Learner.
func (r *rooms) TakeSamples(service string) []experience.Sample {
	return r.workers.TakeSamples(service)
}

// NoteVerdicts implements room.Learner.
func (r *rooms) NoteVerdicts(verdicts []experience.Verdict) { r.workers.NoteVerdicts(verdicts) }

// keys lists the workers of a group that may get requests, in order.
func (r *rooms) keys(group room.Group) []string {
	members, _ := r.members(group)
	keys := make([]string, 0, len(members))
	for _, member := range members {
		keys = append(keys, member.Worker)
	}
	slices.Sort(keys)
	return keys
}

// attach sets where the workers are known from.
func (r *rooms) attach(s *Server) {
	if r != nil {
		r.workers, r.whole = s.workers, s.list.Whole
	}
}

// forRequests is what requests find their workers by; nil if there is none.
func (r *rooms) forRequests() forward.Room {
	if r == nil {
		return nil
	}
	return r.reporter
}

// Busy implements admission.Keepers.
func (r *rooms) Busy(service string) *admission.Keeper {
	busy, age, known := r.reporter.Busy(service, admission.KeeperAge)
	if !known {
		return nil
	}
	return &admission.Keeper{Busy: busy, Age: age}
}

// forAdmission is who tells how full a service's workers are; nil if nobody does.
func (r *rooms) forAdmission() admission.Keepers {
	if r == nil {
		return nil
	}
	return r
}

// kept reports whether room is kept for a service.
func (r *rooms) kept(service string) bool { return r.service(service).Places > 0 && r.whole() }

// GroupOf implements room.Workers.
func (r *rooms) GroupOf(service, key string) (room.Group, bool) {
	worker, ok := r.workers.WorkerOf(key)
	if !ok || worker.Service() != service || !r.kept(service) {
		return room.Group{}, false
	}
	return r.groupIn(service, worker.Zone(), worker.ID())
}

// GroupIn implements room.Workers.
func (r *rooms) GroupIn(service, zone, key string) (room.Group, bool) {
	if !r.kept(service) {
		return room.Group{}, false
	}
	return r.groupIn(service, zone, key)
}

// groupIn is the group of a zone that a name belongs to.
func (r *rooms) groupIn(service, zone, name string) (room.Group, bool) {
	workers := len(r.workers.OfZone(service, zone))
	if workers == 0 {
		return room.Group{}, false
	}
	return room.Group{Service: service, Zone: zone, Number: room.NumberOf(name, room.Groups(workers))}, true
}

// Others implements room.Workers.
func (r *rooms) Others(service, zone string) []room.Distant {
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

// Near implements room.Workers.
func (r *rooms) Near(zone string) bool { return r.vantage.To(zone) != locality.OtherRegion }

// Shunned implements room.Workers.
func (r *rooms) Shunned(group room.Group) (shunned []string) {
	now := time.Now()
	for _, worker := range r.inGroup(group) {
		if worker.Shunned(now) {
			shunned = append(shunned, worker.Key())
		}
	}
	return shunned
}

// inGroup lists the workers of a group.
func (r *rooms) inGroup(group room.Group) []*backend.Worker {
	workers := r.workers.OfZone(group.Service, group.Zone)
	groups := room.Groups(len(workers))
	return slices.DeleteFunc(workers, func(worker *backend.Worker) bool {
		return room.NumberOf(worker.ID(), groups) != group.Number
	})
}

// members lists the workers of a group that may get requests; ok is false if this node does not know
// them all.
func (r *rooms) members(group room.Group) (members []room.Member, ok bool) {
	if !r.kept(group.Service) {
		return nil, false
	}
	service := r.service(group.Service)
	for _, worker := range r.inGroup(group) {
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
