package streamcopy

import (
	"context"
	"sync"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/locality"
)

const (
	// minCopyWait and maxCopyWait bound how long an event waits until another node has it; within them, the usual response times of that
	// node decide. Then it leaves for the client without a copy, and later ones do not wait until the copies have caught up.
	minCopyWait = 40 * time.Millisecond
	maxCopyWait = 100 * time.Millisecond
	// appendTimeout is the timeout of a message to a node. After it, the node is replaced.
	appendTimeout = 500 * time.Millisecond
	// retryPause is how long a node that failed, and for which there is no other, is left out.
	retryPause = time.Second
)

// Recording sends the events of one attempt to other nodes. Its methods must not be called concurrently.
type Recording struct {
	client  *Client
	regions locality.Regions // where content may go

	mutex    sync.Mutex
	attempt  Attempt
	replicas []*replica
	spare    []budget.Holder // nodes that may replace those that fail
	progress chan struct{}   // closed and replaced when a replica has answered or failed
	behind   bool            // an event left without a copy, and the copies have not caught up since
	kept     int             // number of events in this node's own copy
}

// replica is the copy at one other node. It is guarded by the mutex of its recording.
type replica struct {
	holder  budget.Holder
	events  int       // number of events that the node has
	sending bool      // a message is on its way
	retryAt time.Time // when a node that failed is tried again
}

// Append records an event, which its client gets next, and waits a short time until another node has it. copied reports whether one has.
func (r *Recording) Append(ctx context.Context, eventID string, data []byte) (copied bool) {
	r.mutex.Lock()
	r.attempt.add(eventID, data)
	events := len(r.attempt.Marks)
	r.keep()
	for _, one := range r.replicas {
		if !one.sending && !time.Now().Before(one.retryAt) {
			one.sending = true
			go r.send(one)
		}
	}
	r.mutex.Unlock()
	copied = r.await(ctx, events)
	r.client.options.OnEvent(copied)
	return copied
}

// keep extends this node's own copy, if content may be held in its region. The caller holds the mutex.
func (r *Recording) keep() {
	if !r.regions.Allow(r.client.options.Location.OwnRegion()) {
		return
	}
	for r.kept < len(r.attempt.Marks) {
		request := r.attempt.from(r.kept)
		r.kept = r.client.copies.extend(request, time.Now())
		if r.kept <= request.From {
			return // there is no room for it
		}
	}
}

// await waits until a replica has a number of events. It does not wait while the copies are behind.
func (r *Recording) await(ctx context.Context, events int) (copied bool) {
	timer := time.NewTimer(r.copyWait())
	defer timer.Stop()
	for {
		copied, pending, progress := r.state(events)
		if copied || !pending {
			return copied
		}
		select {
		case <-progress:
		case <-timer.C:
			r.mutex.Lock()
			r.behind = true
			r.mutex.Unlock()
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// state reports whether a replica has a number of events, and whether one may have them soon; progress is closed when that changes.
func (r *Recording) state(events int) (copied, pending bool, progress <-chan struct{}) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, one := range r.replicas {
		copied = copied || one.events >= events
		pending = pending || one.sending
	}
	if copied {
		r.behind = false
	}
	return copied, pending && !r.behind, r.progress
}

// copyWait returns how long an event waits: as long as the faster of the nodes usually takes.
func (r *Recording) copyWait() time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	wait := maxCopyWait
	for _, one := range r.replicas {
		wait = min(wait, r.client.options.ResponseTimes.For(one.holder.Process, minCopyWait, maxCopyWait))
	}
	return wait
}

// send sends a node what it lacks until it has all events, or has failed.
func (r *Recording) send(one *replica) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	defer func() { one.sending = false }()
	for one.events < len(r.attempt.Marks) {
		request, holder := r.attempt.from(one.events), one.holder
		r.mutex.Unlock()
		answer, err := r.call(holder, request)
		r.mutex.Lock()
		// A node that has started again, or dropped its copy, has fewer events than before; one that refuses them gets no further.
		extended := err == nil && (answer.Events > request.From || answer.Events < request.From)
		one.events = min(answer.Events, len(r.attempt.Marks))
		if !extended && !r.replace(one) {
			one.retryAt = time.Now().Add(retryPause)
			r.signal()
			return
		}
		r.signal()
	}
}

// replace replaces a node that has failed by a spare one; false: there is none. The caller holds the mutex.
func (r *Recording) replace(one *replica) bool {
	one.events = 0
	if len(r.spare) == 0 {
		return false
	}
	one.holder, r.spare = r.spare[0], r.spare[1:]
	return true
}

// signal wakes those who wait for progress. The caller holds the mutex.
func (r *Recording) signal() {
	close(r.progress)
	r.progress = make(chan struct{})
}

func (r *Recording) call(holder budget.Holder, request AppendRequest) (AppendAnswer, error) {
	ctx, cancel := context.WithTimeout(locality.WithContentRegions(context.Background(), r.regions), appendTimeout)
	defer cancel()
	return r.client.options.Peers.AppendStream(ctx, holder, request)
}
