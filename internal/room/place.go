package room

import (
	"sync"
	"time"
)

// Place is a place at a worker that a request of this node has, from when it is chosen until it has
// ended. The methods of nil do nothing.
type Place struct {
	reporter *Reporter
	group    Group
	worker   string
	tokens   int
	since    time.Time
	end      sync.Once
}

// Worker is the key of the place's worker; empty for nil.
func (p *Place) Worker() string {
	if p == nil {
		return ""
	}
	return p.worker
}

// End gives the place back.
func (p *Place) End() {
	if p == nil {
		return
	}
	p.end.Do(func() { p.reporter.end(p) })
}

// Declined notes that the worker said that it is full.
func (p *Place) Declined() {
	if p == nil {
		return
	}
	p.reporter.declined(p)
}
