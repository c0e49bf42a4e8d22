package admit

import "time"

// Admit plans what starts and what is refused now. The calls that it starts
// never need more memory, together with all that is in use, than there is.
func Admit(now time.Time, snapshot Snapshot, options Options) Plan {
	options = options.withDefaults()
	var plan Plan
	waiting := refuseHopeless(now, snapshot, &plan)
	waiting = shed(snapshot, waiting, options, &plan)
	if snapshot.Paused {
		return plan
	}
	batch := batch{
		free:    snapshot.Capacity - snapshot.Used(),
		idle:    snapshot.Idle,
		running: snapshot.Running,
		pending: snapshot.Pending,
		backlog: snapshot.Backlog,
		options: options,
	}
	if batch.full() {
		return plan
	}
	for _, ranked := range order(now, snapshot, waiting, options) {
		if !batch.consider(ranked, &plan) {
			break
		}
	}
	return plan
}

// batch is the room left while a plan is made.
type batch struct {
	free    int
	idle    int
	running int
	pending int
	backlog int
	options Options
}

// consider starts the call if there is room and reports whether the calls after
// it may still be let in.
func (b *batch) consider(ranked rank, plan *Plan) bool {
	if b.full() {
		return false
	}
	call := ranked.call
	if short := call.Need() - b.roomFor(ranked); short > 0 {
		if plan.Blocked == "" {
			plan.Blocked = call.Request
			plan.Short = short
			plan.BlockedFirst = call.first() && !ranked.aged
		}
		return b.mayBackfill(ranked)
	}
	b.free -= call.Need()
	b.running++
	b.pending++
	b.backlog += call.Prompt - call.Cached
	plan.Start = append(plan.Start, call.Request)
	return true
}

// full reports whether nothing more may be let in, whatever it needs.
func (b *batch) full() bool {
	if b.running >= b.options.MaxRunning {
		return true
	}
	if b.options.Policy == FirstCome || b.options.PrefillWindow < 0 {
		return false
	}
	return b.backlog >= b.options.PrefillWindow || b.pending >= b.options.MaxPending
}

// roomFor is the memory that the call may take: first calls leave the context
// of programs that are expected back, unless nothing runs at all.
func (b *batch) roomFor(ranked rank) int {
	if b.options.Policy == FirstCome || b.options.NoWorkingSet || !ranked.call.first() || ranked.aged || b.running == 0 {
		return b.free
	}
	return b.free - b.idle
}

// mayBackfill reports whether calls behind a blocked one may start: never past
// an aged call, so that memory gathers for it.
func (b *batch) mayBackfill(blocked rank) bool {
	if b.options.Policy == FirstCome || b.options.NoBackfill {
		return false
	}
	return !blocked.aged
}
