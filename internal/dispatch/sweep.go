package dispatch

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/program"
)

// led returns the leaderships of this node by shard.
func (d *Dispatcher) led() []*leadership {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	all := make([]*leadership, 0, len(d.leaderships))
	for _, l := range d.leaderships {
		all = append(all, l)
	}
	slices.SortFunc(all, func(a, b *leadership) int { return cmp.Compare(a.shard, b.shard) })
	return all
}

// sweep looks after what no request would bring up: programs whose time is
// over, settlements that were not acknowledged, and calls whose acceptance was
// committed although its answer was lost.
func (d *Dispatcher) sweep(ctx context.Context) {
	now := time.Now()
	running, bytes := 0, 0
	for _, held := range d.led() {
		l := d.lead(held.shard)
		if l == nil {
			continue
		}
		due, unsettled := false, false
		var pending []id.Program
		l.peek(func(m *program.Machine) {
			for key := range m.PendingCalls() {
				pending = append(pending, key.Program)
			}
			due = m.Due(now)
			unsettled = len(m.PendingSettlements(1)) > 0
			alive, _ := m.Count()
			running += alive
			bytes += m.Bytes()
		})
		l.review()
		for _, name := range pending {
			l.kick(name)
		}
		if due {
			d.spawn(func() { l.expire(ctx, now) })
		}
		if unsettled {
			l.wakeSettler()
		}
	}
	d.metrics.running.Set(float64(running))
	d.metrics.bytes.Set(float64(bytes))
	d.tenants.forgetIdle(now)
}

// expire commits that time has passed. A lost try is made up by the next sweep.
func (l *leadership) expire(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, l.dispatcher.Sweep)
	defer cancel()
	_, _ = l.propose(ctx, program.Command{Expire: &program.Expire{Time: now}})
}
