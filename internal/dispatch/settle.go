package dispatch

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/ledger"
	"github.com/cloverwheel/cloverwheel/internal/peer"
	"github.com/cloverwheel/cloverwheel/internal/program"
	"github.com/cloverwheel/cloverwheel/internal/timing"
)

const (
	// settleDelay gathers settlements, so that one commit acknowledges many.
	settleDelay = 50 * time.Millisecond
	// settleBatch bounds the settlements that are sent in one round.
	settleBatch = 256
	// settleParallel bounds those that are under way at once.
	settleParallel = 16
	// settleTimeout bounds one try.
	settleTimeout = 2 * time.Second
)

// wakeSettler says that there may be settlements.
func (l *leadership) wakeSettler() {
	select {
	case l.settle <- struct{}{}:
	default:
	}
}

// settleLoop tells the ledgers what was spent until they acknowledge it. What
// is left when the leadership ends is in the log for the next one.
func (l *leadership) settleLoop() {
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-l.settle:
		}
		if timing.Sleep(l.ctx, settleDelay) != nil {
			return
		}
		l.settleRound()
	}
}

func (l *leadership) settleRound() {
	var waiting map[id.Request]program.Settlement
	l.peek(func(m *program.Machine) { waiting = m.PendingSettlements(settleBatch) })
	if len(waiting) == 0 {
		return
	}
	settled := l.settleAll(waiting)
	if len(settled) > 0 {
		_, _ = l.propose(l.ctx, program.Command{Settled: &program.Settled{Requests: settled}})
	}
	if len(settled) == settleBatch {
		l.wakeSettler()
	}
}

// settleAll returns the requests whose settlement was acknowledged. The sweep
// brings the others up again.
func (l *leadership) settleAll(waiting map[id.Request]program.Settlement) []id.Request {
	var mutex sync.Mutex
	var settled []id.Request
	var group errgroup.Group
	group.SetLimit(settleParallel)
	for request, settlement := range waiting {
		group.Go(func() error {
			if err := l.settleOne(request, settlement); err != nil {
				l.dispatcher.metrics.unsettled.Inc()
				return nil
			}
			mutex.Lock()
			defer mutex.Unlock()
			settled = append(settled, request)
			return nil
		})
	}
	_ = group.Wait()
	return settled
}

func (l *leadership) settleOne(request id.Request, settlement program.Settlement) error {
	d := l.dispatcher
	ctx, cancel := context.WithTimeout(l.ctx, settleTimeout)
	defer cancel()
	message := ledger.SettleRequest{Tenant: settlement.Tenant, Request: request, Spent: settlement.Spent}
	return d.Locator.Do(ctx, id.ShardOfTenant(settlement.Tenant, d.Shards), func(ctx context.Context, address peer.Address) error {
		_, err := peer.Invoke[ledger.Balance](ctx, d.Transport, address, ledger.MethodSettle, message)
		return err
	})
}
