package capacity

import (
	"sync"
	"time"
)

// Reservation is the capacity that a request occupies at a worker, from the choice of the worker
// until Release is called. Methods of a nil Reservation do nothing.
type Reservation struct {
	client  *Client
	group   Group
	worker  string
	tokens  int
	started time.Time
	once    sync.Once
}

// WorkerKey returns the key of the worker; empty for a nil Reservation.
func (r *Reservation) WorkerKey() string {
	if r == nil {
		return ""
	}
	return r.worker
}

// Release releases the capacity. Further calls do nothing.
func (r *Reservation) Release() {
	if r == nil {
		return
	}
	r.once.Do(func() { r.client.end(r) })
}

// MarkDeclined records that the worker declined the request because it is full.
func (r *Reservation) MarkDeclined() {
	if r == nil {
		return
	}
	r.client.declined(r)
}
