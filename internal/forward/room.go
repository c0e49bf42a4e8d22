package forward

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/cloverwheel/cloverwheel/internal/backend"
	"github.com/cloverwheel/cloverwheel/internal/room"
	"github.com/cloverwheel/cloverwheel/internal/standing"
)

// Room finds workers that have room.
type Room interface {
	// Find asks for a place while room is short. Without a place in its answer the request is
	// placed by what this node knows.
	Find(ctx context.Context, wanted room.Wanted) room.Found
	// Begin counts a request at a worker; nil if no room is kept there.
	Begin(service, worker string, tokens int) *room.Place
}

const (
	// A request waits for room for a share of the time that it has left, at most longestRoomWait;
	// then it queues at a worker.
	roomWaitShare   = 0.35
	longestRoomWait = 900 * time.Millisecond
)

// findRoom asks where there is room for the request; nil: this node is to choose by itself. A
// request that may only go to workers that may have run it goes there whatever room they have.
func (x *exchange) findRoom(ctx context.Context, only []string) *backend.Worker {
	if x.options.Room == nil || len(only) > 0 || x.homeTakesIt() {
		return nil
	}
	longest := shareOfLeft(ctx, roomWaitShare, longestRoomWait) - x.roomWait
	begun := time.Now()
	x.found = x.options.Room.Find(ctx, x.wanted(longest))
	x.roomWait += time.Since(begun)
	place := x.found.Place
	if place == nil {
		return nil
	}
	worker, ok := x.options.Workers.WorkerOf(place.Worker())
	if !ok || x.options.Workers.Check(worker, x.regions()).Refused() {
		place.End()
		return nil
	}
	x.leavePlace()
	x.place = place
	return worker
}

// homeTakesIt reports whether the request goes to the worker that knows its context, whatever room
// that has. Read again elsewhere, its context takes memory from what others have there, who read more
// themselves then: lines that leave crowded workers fill all of them.
func (x *exchange) homeTakesIt() bool {
	if x.home == "" || slices.Contains(x.excluded, x.home) {
		return false
	}
	worker, ok := x.options.Workers.WorkerOf(x.home)
	return ok && !worker.Shunned(time.Now()) && !x.options.Workers.Check(worker, x.regions()).Refused()
}

// wanted describes the request to those who know of room.
func (x *exchange) wanted(longest time.Duration) room.Wanted {
	return room.Wanted{
		Service: x.service,
		Key:     x.key(),
		Home:    x.home,
		Fresh:   x.request.Prompt - x.request.Shared,
		Tokens:  x.request.Prompt + x.request.Output,
		Exclude: x.excluded,
		Program: x.programNow(),
		Longest: longest,
		Allows:  x.options.Workers.Opens(x.regions()),
	}
}

// programNow is where the request's program stands.
func (x *exchange) programNow() standing.Program {
	program := standing.Program{
		Key:     x.request.Program,
		Urgency: x.route.Priority,
		Begins:  x.home == "",
		Timed:   x.request.Timed,
		Finish:  x.request.Finish - time.Since(x.begun),
	}
	if x.tenant != nil {
		program.Key, program.Tenant = x.tenant.Scope(x.request.Program), x.tenant.Name
	}
	return program
}

// takePlace counts the request at a worker that this node has chosen.
func (x *exchange) takePlace(worker *backend.Worker) {
	if x.options.Room == nil {
		return
	}
	x.leavePlace()
	x.place = x.options.Room.Begin(x.service, worker.Key(), x.request.Prompt+x.request.Output)
}

// leavePlace gives the request's place back.
func (x *exchange) leavePlace() {
	x.place.End()
	x.place = nil
}

// noteRoom adds to a request's line by what its worker was found.
func (x *exchange) noteRoom(fields log.Fields) {
	found := x.found
	if found.Source == "" || found.Source == room.SourceNone {
		return
	}
	fields["room"] = string(found.Source)
	fields["room_group"] = found.Group.String()
	fields["room_busy"] = float64(int(100*found.Busy)) / 100
	if found.Source == room.SourceCalm {
		fields["room_age_ms"] = found.Age.Milliseconds()
		return
	}
	fields["room_ms"] = x.roomWait.Milliseconds()
	fields["room_keeper"] = found.Keeper
	fields["room_reason"] = string(found.Reason)
}
