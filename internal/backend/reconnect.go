package backend

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cloverwheel/cloverwheel/internal/timing"
)

const (
	// unreachableBacklog bounds the queue of workers to reconnect to. If it is full, a further
	// worker is only avoided for a limited period.
	unreachableBacklog = 64
	// reconnectInterval is the time between two attempts to connect to an unreachable worker.
	reconnectInterval = 300 * time.Millisecond
	// reconnectTimeout bounds one attempt.
	reconnectTimeout = 150 * time.Millisecond
)

// reportUnreachable queues a worker for Run. It does nothing if the queue is full.
func (r *Registry) reportUnreachable(worker *Worker) {
	select {
	case r.unreachable <- worker:
	default:
	}
}

// Run tries to reconnect to unreachable workers until ctx ends. Such a worker is avoided until a
// connection to it can be opened.
func (r *Registry) Run(ctx context.Context) {
	var group errgroup.Group
	defer func() { _ = group.Wait() }()
	reconnecting := map[*Worker]bool{}
	reconnected := make(chan *Worker)
	for {
		select {
		case <-ctx.Done():
			return
		case worker := <-reconnected:
			delete(reconnecting, worker)
		case worker := <-r.unreachable:
			if reconnecting[worker] {
				continue
			}
			reconnecting[worker] = true
			group.Go(func() error {
				r.reconnect(ctx, worker)
				select {
				case reconnected <- worker:
				case <-ctx.Done():
				}
				return nil
			})
		}
	}
}

// reconnect attempts to open a connection until it succeeds, the worker is draining or removed, or
// ctx ends. The worker is avoided meanwhile.
func (r *Registry) reconnect(ctx context.Context, worker *Worker) {
	for timing.Sleep(ctx, reconnectInterval) == nil && !worker.Leaving() {
		limited, cancel := context.WithTimeout(ctx, reconnectTimeout)
		err := worker.Pool().Probe(limited)
		cancel()
		if err == nil {
			worker.markReachable()
			return
		}
		worker.extendAvoidance(r.options.Now().Add(2 * (reconnectInterval + reconnectTimeout)))
	}
}
