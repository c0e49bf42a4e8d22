package room

import (
	"sync"
	"time"
)

// Place is the capacity that a request occupies at a worker, from the choice of the worker until End is
// called. Methods of a nil Place do nothing.
type Place struct {
	reporter *Reporter
	group    Group
	worker   string
	tokens   int
	started  time.Time
	once     sync.Once
}

// Worker returns the key of the worker; empty for a nil Place.
func (p *Place) Worker() string {
	if p == nil {
		return ""
	}
	return p.worker
}

// End releases the capacity. Further calls do nothing.
func (p *Place) End() {
	if p == nil {
		return
	}
	p.once.Do(func() { p.reporter.end(p) })
}

// Declined records that the worker declined the request because it is full.
func (p *Place) Declined() {
	if p == nil {
		return
	}
	p.reporter.declined(p)
}
