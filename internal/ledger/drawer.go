package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/outside"
	"github.com/cloverwheel/cloverwheel/internal/peer"
	"github.com/cloverwheel/cloverwheel/internal/timing"
)

const (
	// drawTimeout bounds one draw with all its retries.
	drawTimeout = 3 * time.Second
	// tableAttempt bounds one round trip to the table.
	tableAttempt = time.Second
	// drawPause is the wait before a failed round trip is repeated.
	drawPause = 50 * time.Millisecond
)

// drawer draws for all tenants of one shard, in batches: what is wanted while a
// draw is under way goes into the next one.
type drawer struct {
	service *Service
	shard   id.Shard

	mutex   sync.Mutex
	waiting *drawBatch // not yet under way
	running bool

	row   outside.Row // as last seen; used by the running draw only
	known bool
}

type drawBatch struct {
	wants map[entryKey]want
	done  chan struct{}
	err   error
}

// draw returns once the want has been drawn and recorded, as far as the budget
// allows, or with the cause why not.
func (d *drawer) draw(ctx context.Context, wanted want) error {
	batch := d.enqueue(wanted)
	select {
	case <-batch.done:
		return batch.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// enqueue adds a want to the next batch and starts it if none is under way.
func (d *drawer) enqueue(wanted want) *drawBatch {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.waiting == nil {
		d.waiting = &drawBatch{wants: map[entryKey]want{}, done: make(chan struct{})}
	}
	if earlier, ok := d.waiting.wants[wanted.key()]; ok {
		wanted.Ahead = max(wanted.Ahead, earlier.Ahead)
		wanted.Used = max(wanted.Used, earlier.Used)
	}
	d.waiting.wants[wanted.key()] = wanted
	batch := d.waiting
	if !d.running {
		d.running = true
		go d.run()
	}
	return batch
}

// run works batches off until none is waiting.
func (d *drawer) run() {
	for {
		d.mutex.Lock()
		batch := d.waiting
		d.waiting = nil
		if batch == nil {
			d.running = false
			d.mutex.Unlock()
			return
		}
		d.mutex.Unlock()
		ctx, cancel := context.WithTimeout(d.service.lifetime, drawTimeout)
		batch.err = d.drawBatch(ctx, batch)
		cancel()
		close(batch.done)
	}
}

// drawBatch moves the table's row and then records it in the shard. The order
// matters: what is not in the table must not be spent.
func (d *drawer) drawBatch(ctx context.Context, batch *drawBatch) error {
	wants := make([]want, 0, len(batch.wants))
	for _, wanted := range batch.wants {
		wants = append(wants, wanted)
	}
	position, leads := d.service.options.Proposer.Leads(d.shard)
	if !leads {
		return fault.New(fault.NotLeader, "this node does not lead the shard", "ask the leader")
	}
	if d.service.mutant == recordBeforeTable {
		d.recordUnwritten(ctx, position.Epoch, wants)
	}
	draws, err := d.moveRow(ctx, position.Epoch, wants)
	if err != nil {
		return err
	}
	_, err = d.service.propose(ctx, d.shard, Command{Epoch: position.Epoch, Now: time.Now(), Draws: draws})
	return err
}

// recordUnwritten is the fault of a mutant.
func (d *drawer) recordUnwritten(ctx context.Context, epoch uint64, wants []want) {
	if state, err := d.read(ctx); err == nil {
		_, draws, _, _ := state.plan(epoch, time.Now(), wants)
		_, _ = d.service.propose(ctx, d.shard, Command{Epoch: epoch, Now: time.Now(), Draws: draws})
	}
}

// moveRow draws in the table and returns what it surely has.
func (d *drawer) moveRow(ctx context.Context, epoch uint64, wants []want) ([]Draw, error) {
	change := uuid.NewString()
	for {
		state, err := d.read(ctx)
		if err != nil {
			return nil, err
		}
		next, draws, changed, err := state.plan(epoch, time.Now(), wants)
		if err != nil {
			d.known = false
			return nil, err
		}
		if !changed {
			return draws, nil
		}
		written, err := d.write(ctx, next, change)
		if err != nil {
			return nil, err
		}
		if written {
			return draws, nil
		}
	}
}

// read returns the row, from memory while nobody else has moved it.
func (d *drawer) read(ctx context.Context) (rowState, error) {
	for !d.known {
		row, err := d.get(ctx)
		if err == nil {
			d.row, d.known = row, true
			break
		}
		if timing.Sleep(ctx, drawPause) != nil {
			return rowState{}, err
		}
	}
	return decodeRow(d.row)
}

func (d *drawer) get(ctx context.Context) (outside.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, tableAttempt)
	defer cancel()
	return d.service.options.Table.Get(ctx, rowKey(d.shard))
}

// write moves the row and reports whether it did. After a lost answer the row
// is read back: it was written if it carries this change. If it was written and
// moved on since, the next plan starts from what it holds now.
func (d *drawer) write(ctx context.Context, next rowState, change string) (bool, error) {
	value, err := peer.Encode(next)
	if err != nil {
		return false, err
	}
	attempt, cancel := context.WithTimeout(ctx, tableAttempt)
	row, err := d.service.options.Table.CompareAndSet(attempt, rowKey(d.shard), d.row.Version, value, change)
	cancel()
	if err == nil {
		d.service.metrics.draws.Inc()
		d.row = outside.Row{Key: row.Key, Version: row.Version, Value: value, Change: change}
		return true, nil
	}
	if d.service.mutant == ignoreTableConflict {
		return true, nil
	}
	d.known = false
	if !fault.Is(err, fault.Conflict) && timing.Sleep(ctx, drawPause) != nil {
		return false, err
	}
	if _, err := d.read(ctx); err != nil {
		return false, err
	}
	return d.row.Change == change, nil
}
