package dispatch

import (
	"context"
	"maps"
	"sync"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/program"
	"github.com/cloverwheel/cloverwheel/internal/shard"
	"github.com/cloverwheel/cloverwheel/internal/timing"
)

// leadership is one period in which this node leads one shard. Everything that
// runs for the shard's programs hangs on its context.
type leadership struct {
	dispatcher *Dispatcher
	shard      id.Shard
	position   shard.Position
	ctx        context.Context
	cancel     context.CancelFunc

	mutex   sync.Mutex
	runners map[id.Program]*runner
	streams map[streamKey]*stream
	settle  chan struct{} // has an element when there may be settlements
	closed  bool
}

// streamKey names a call's stream. A number that was refused is given out again,
// so the idempotency key belongs to the name.
type streamKey struct {
	program id.Program
	call    uint64
	key     string
}

// ObserveLeadership is the dispatcher's shard.LeadershipObserver.
func (d *Dispatcher) ObserveLeadership(number id.Shard, position shard.Position, leads bool) {
	if leads {
		d.lead(number)
		return
	}
	d.mutex.Lock()
	held := d.leaderships[number]
	if held != nil && !after(position, held.position) {
		held = nil
	}
	if held != nil {
		delete(d.leaderships, number)
	}
	d.mutex.Unlock()
	if held != nil {
		held.close()
	}
}

// after reports whether a leadership that ended at position was that of held,
// or a later one.
func after(position, held shard.Position) bool {
	if position.Epoch != held.Epoch {
		return position.Epoch > held.Epoch
	}
	return position.Term >= held.Term
}

// lead returns the present leadership of a shard, and nil when this node does
// not lead it. A new one takes up what its predecessor left.
func (d *Dispatcher) lead(number id.Shard) *leadership {
	position, leads := d.Proposer.Leads(number)
	d.mutex.Lock()
	held := d.leaderships[number]
	if held != nil && leads && held.position == position {
		d.mutex.Unlock()
		return held
	}
	var fresh *leadership
	delete(d.leaderships, number)
	if leads && d.ctx != nil && d.ctx.Err() == nil {
		fresh = d.newLeadership(number, position)
		d.leaderships[number] = fresh
	}
	d.mutex.Unlock()
	if held != nil {
		held.close()
	}
	if fresh != nil {
		d.spawn(fresh.recover)
		d.spawn(fresh.settleLoop)
	}
	return fresh
}

func (d *Dispatcher) newLeadership(number id.Shard, position shard.Position) *leadership {
	l := &leadership{
		dispatcher: d, shard: number, position: position,
		runners: map[id.Program]*runner{}, streams: map[streamKey]*stream{},
		settle: make(chan struct{}, 1),
	}
	l.ctx, l.cancel = context.WithCancel(d.ctx)
	return l
}

// close ends the leadership's work; callers are sent to the next leader.
func (l *leadership) close() {
	l.cancel()
	l.mutex.Lock()
	streams := l.streams
	l.streams = map[streamKey]*stream{}
	l.closed = true
	l.mutex.Unlock()
	for _, s := range streams {
		s.fail(l.moved())
	}
	d := l.dispatcher
	d.tenants.leave(func(name id.Program) bool { return d.shardOf(name) == l.shard })
}

// moved tells a waiting caller that the call goes on at another leader.
func (l *leadership) moved() *fault.Error {
	return l.dispatcher.notLeader(l.shard).WithRan(fault.RanUnknown)
}

// propose commits a command and hands the outcomes that it brought to those who
// wait for them.
func (l *leadership) propose(ctx context.Context, command program.Command) (program.Result, error) {
	d := l.dispatcher
	answer, err := d.Proposer.Propose(ctx, l.shard, d.Envelope(command))
	if err != nil {
		return program.Result{}, err
	}
	result, ok := answer.(program.Result)
	if !ok {
		return program.Result{}, fault.Newf(fault.Internal, "report it", "unexpected result %T", answer).WithRan(fault.RanUnknown)
	}
	l.deliver(result)
	return result, nil
}

// peek reads this node's copy of the machine.
func (l *leadership) peek(read func(*program.Machine)) {
	l.dispatcher.Proposer.Peek(l.shard, func(m shard.Machine) { read(l.dispatcher.Machine(m)) })
}

// query reads the machine after confirming the leadership.
func (l *leadership) query(ctx context.Context, read func(*program.Machine)) error {
	return l.dispatcher.Proposer.Query(ctx, l.shard, func(m shard.Machine) { read(l.dispatcher.Machine(m)) })
}

// deliver closes the streams of calls that got their outcome and lets go what
// ended programs hold.
func (l *leadership) deliver(result program.Result) {
	for _, outcome := range result.Closed {
		l.finishStream(outcome)
		if outcome.Cut {
			l.cancelAttempt(outcome)
		}
	}
	for _, ended := range result.Ended {
		l.programEnded(ended)
	}
	if len(result.Closed) > 0 || len(result.Ended) > 0 {
		l.wakeSettler()
	}
	if result.Dropped {
		l.review()
	}
}

func (l *leadership) finishStream(outcome program.Outcome) {
	d := l.dispatcher
	d.tenants.unbind(program.CallKey{Program: outcome.Program, Number: outcome.Call.Number})
	d.metrics.calls.WithLabelValues(outcomeLabel(outcome)).Inc()
	key := streamKey{outcome.Program, outcome.Call.Number, outcome.Call.Key}
	l.mutex.Lock()
	s := l.streams[key]
	delete(l.streams, key)
	l.mutex.Unlock()
	if s != nil {
		s.close(outcome)
	}
}

// review ends the open streams whose calls have their outcome. It makes up for
// outcomes that an earlier leader committed, or whose commit was not answered.
func (l *leadership) review() {
	l.mutex.Lock()
	open := maps.Clone(l.streams)
	l.mutex.Unlock()
	l.peek(func(m *program.Machine) {
		for key, s := range open {
			reviewStream(m, key, s)
		}
	})
	for key, s := range open {
		l.forgetIfOver(key, s)
	}
}

func reviewStream(m *program.Machine, key streamKey, s *stream) {
	call, present := m.CallByKey(key.program, key.key)
	if !present || call.Number != key.call {
		s.fail(m.Refused(key.program, key.key))
		return
	}
	if outcome, over := m.Outcome(key.program, key.key); over {
		s.close(outcome)
	}
}

// forgetIfOver removes a stream that has ended.
func (l *leadership) forgetIfOver(key streamKey, s *stream) {
	if !s.over() {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.streams[key] == s {
		delete(l.streams, key)
	}
}

func outcomeLabel(outcome program.Outcome) string {
	if outcome.Fault == nil {
		return "ok"
	}
	return string(outcome.Fault.Code)
}

// stream returns the stream of a call, which it makes if need be.
func (l *leadership) stream(key streamKey) *stream {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	s := l.streams[key]
	if s != nil {
		return s
	}
	s = newStream(key.call)
	if l.closed {
		s.fail(l.moved())
		return s
	}
	l.streams[key] = s
	return s
}

// recover takes up the calls that have no outcome yet.
func (l *leadership) recover() {
	for l.ctx.Err() == nil {
		pending := map[program.CallKey]id.Tenant{}
		err := l.query(l.ctx, func(m *program.Machine) {
			for key, tenant := range m.PendingCalls() {
				pending[key] = tenant
			}
		})
		if err == nil {
			for key, tenant := range pending {
				l.dispatcher.tenants.adopt(tenant, key)
				l.unbindIfOver(key)
				l.kick(key.Program)
			}
			l.review()
			l.wakeSettler()
			return
		}
		if timing.Sleep(l.ctx, retryPause) != nil {
			return
		}
	}
}
