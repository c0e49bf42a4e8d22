package backend

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cloverwheel/cloverwheel/internal/wait"
)

const (
	// lostBacklog bounds the workers that wait to be watched; for those beyond it
	// the time for which they are passed over is enough.
	lostBacklog = 64
	// reviveEvery is the time between two looks at a worker that is out of reach.
	reviveEvery = 300 * time.Millisecond
	// reviveTimeout bounds a look.
	reviveTimeout = 150 * time.Millisecond
)

func (r *Registry) noteLost(worker *Worker) {
	select {
	case r.lost <- worker:
	default:
	}
}

// Run looks after workers that took no connection, until ctx ends: no request
// goes to them first until one comes up again.
func (r *Registry) Run(ctx context.Context) {
	var group errgroup.Group
	defer func() { _ = group.Wait() }()
	watched := map[*Worker]bool{}
	back := make(chan *Worker)
	for {
		select {
		case <-ctx.Done():
			return
		case worker := <-back:
			delete(watched, worker)
		case worker := <-r.lost:
			if watched[worker] {
				continue
			}
			watched[worker] = true
			group.Go(func() error {
				r.revive(ctx, worker)
				select {
				case back <- worker:
				case <-ctx.Done():
				}
				return nil
			})
		}
	}
}

// revive returns when the worker takes connections again, or is gone.
func (r *Registry) revive(ctx context.Context, worker *Worker) {
	for wait.For(ctx, reviveEvery) == nil && !worker.Leaving() {
		limited, cancel := context.WithTimeout(ctx, reviveTimeout)
		err := worker.Pool().Reach(limited)
		cancel()
		if err == nil {
			worker.reached()
			return
		}
		worker.stayAway(r.options.Now().Add(2 * (reviveEvery + reviveTimeout)))
	}
}
