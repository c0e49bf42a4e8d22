package shard

import (
	"context"
	"sync"

	"github.com/cloverwheel/cloverwheel/internal/id"
)

// notice is one beginning or end of a leadership.
type notice struct {
	shard    id.Shard
	position Position
	leads    bool
}

// notices calls the observer in order, without holding any lock.
type notices struct {
	observer LeadershipObserver
	mutex    sync.Mutex
	queue    []notice
	wake     chan struct{}
}

func newNotices(observer LeadershipObserver) *notices {
	return &notices{observer: observer, wake: make(chan struct{}, 1)}
}

func (n *notices) add(added notice) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.queue = append(n.queue, added)
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

func (n *notices) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-n.wake:
			n.deliver()
		}
	}
}

func (n *notices) deliver() {
	n.mutex.Lock()
	queue := n.queue
	n.queue = nil
	n.mutex.Unlock()
	for _, next := range queue {
		n.observer(next.shard, next.position, next.leads)
	}
}
