package capacity

import (
	"sync"
	"time"
)

// Reservation is the capacity that a request occupies at a worker, from the choice of the worker until End is
// called. Methods of a nil Reservation do nothing.
type Reservation struct {
	reporter *Client
	group    Group
	worker   string
	tokens   int
	started  time.Time
	once     sync.Once
}

// Worker returns the key of the worker; empty for a nil Reservation.
func (p *Reservation) Worker() string {
	if p == nil {
		return ""
	}
	return p.worker
}

// Release releases the capacity. Further calls do nothing.
func (p *Reservation) Release() {
	if p == nil {
		return
	}
	p.once.Do(func() { p.reporter.end(p) })
}

// MarkDeclined records that the worker declined the request because it is full.
func (p *Reservation) MarkDeclined() {
	if p == nil {
		return
	}
	p.reporter.declined(p)
}
