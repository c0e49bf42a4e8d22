package httpconn

import (
	"context"
	"errors"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/timing"
)

const (
	// endedProbes is the number of connections by which ProbeEnded finds out whether a peer has ended, and endedProbePause the first
	// pause between them; each doubles the one before, so that a successor that soon listens at the address is not taken for the peer.
	endedProbes     = 6
	endedProbePause = time.Millisecond
)

// Probe opens a connection and keeps it idle, or returns why that failed. A peer at its
// connection limit is reachable: that is no error.
func (p *Pool) Probe(ctx context.Context) error {
	err := p.probe(ctx)
	if errors.Is(err, ErrConnectionLimit) {
		return nil
	}
	return err
}

// ProbeEnded is Probe for a peer that may have ended just now. While a process ends, its host may still accept connections and reset
// them at once, so these are tried again a few times.
func (p *Pool) ProbeEnded(ctx context.Context) error {
	for index := range endedProbes - 1 {
		if err := p.probe(ctx); !errors.Is(err, ErrConnectionLimit) {
			return err
		}
		if err := timing.Sleep(ctx, endedProbePause<<index); err != nil {
			return err
		}
	}
	return p.Probe(ctx)
}

// probe opens a connection and keeps it idle.
func (p *Pool) probe(ctx context.Context) error {
	if p.options.OnProbe != nil {
		p.options.OnProbe()
	}
	c, err := p.dial(ctx)
	if err != nil {
		return err
	}
	p.put(c)
	return nil
}
