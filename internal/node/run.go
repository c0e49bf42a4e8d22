package node

import (
	"context"
	"errors"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/outside"
	"github.com/cloverwheel/cloverwheel/internal/peer"
)

// announceInterval is how often a node repeats itself to the machine list.
const announceInterval = time.Second

// bootstrapRetry is how long a node waits before it offers the initial
// configuration again.
const bootstrapRetry = 200 * time.Millisecond

// Run serves until ctx ends, which is an immediate stop, or until a drain that
// Drain or an operator began is done.
func (n *Node) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return n.peers.serve() })
	group.Go(func() error { return n.members.Run(ctx) })
	group.Go(func() error { return n.host.Run(ctx) })
	group.Go(func() error { return n.config.Run(ctx) })
	group.Go(func() error { return n.ledger.Run(ctx) })
	group.Go(func() error { return n.catalog.Run(ctx) })
	group.Go(func() error { return n.workers.Run(ctx) })
	group.Go(func() error { return n.dispatcher.Run(ctx) })
	group.Go(func() error { return n.announce(ctx) })
	group.Go(func() error { return n.bootstrap(ctx) })
	group.Go(func() error { return n.serveCallers(ctx) })
	group.Go(func() error { return n.stopWhenAsked(ctx, stop) })
	n.log.WithField("internal", n.InternalAddress()).WithField("public", n.PublicAddress()).
		WithField("zone", n.self.Zone).WithField("incarnation", uint64(n.self.Incarnation)).Info("node started")
	err := group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (n *Node) serveCallers(context.Context) error {
	files := n.options.Settings.TLS.Public
	if files.Certificate == "" {
		return ignoreClosed(n.callers.Serve(n.public))
	}
	return ignoreClosed(n.callers.ServeTLS(n.public, files.Certificate, files.Key))
}

// stopWhenAsked ends Run's other parts: after a drain in good order, after a
// cancelled context at once.
func (n *Node) stopWhenAsked(ctx context.Context, stop context.CancelFunc) error {
	var err error
	select {
	case <-n.drainBegun:
		err = n.drain(ctx)
	case <-ctx.Done():
	}
	stop()
	_ = n.callers.Close()
	n.peers.close()
	return err
}

// drain takes the node out of service step by step: no new work, running calls
// to their end, shards to others, state to the store.
func (n *Node) drain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, n.options.DrainLimit)
	defer cancel()
	n.log.Info("drain begun")
	n.gateway.Drain()
	steps := []drainStep{
		{"leave", n.members.Leave},
		{"finish calls at workers", n.workers.Drained},
		{"finish callers' requests", n.callers.Shutdown},
		{"hand shards over", n.host.Handover},
		{"flush", n.host.Flush},
	}
	var failures []error
	for _, step := range steps {
		if err := step.run(ctx); err != nil {
			n.log.WithField("step", step.name).WithError(err).Error("drain step cut short")
			failures = append(failures, err)
		}
	}
	n.log.WithField("failed_steps", len(failures)).Info("drain ended")
	return errors.Join(failures...)
}

// drainStep is one step of a planned stop.
type drainStep struct {
	name string
	run  func(context.Context) error
}

// announce keeps the node in the platform's machine list.
func (n *Node) announce(ctx context.Context) error {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		if err := n.options.Platform.Machines.Register(ctx, n.machine()); err != nil {
			n.log.WithError(err).Debug("machine list not told")
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (n *Node) machine() outside.Machine {
	return outside.Machine{
		ID:      string(n.self.Node),
		Kind:    outside.KindNode,
		Address: string(n.self.Address),
		Zone:    n.self.Zone,
		Region:  n.self.Region,
		Leaving: n.isDraining(),
	}
}

func (n *Node) isDraining() bool {
	select {
	case <-n.drainBegun:
		return true
	default:
		return false
	}
}

// seeds lists other nodes to join through, from the platform's list.
func (n *Node) seeds(ctx context.Context) ([]peer.Address, error) {
	machines, err := n.options.Platform.Machines.List(ctx, outside.KindNode)
	if err != nil {
		return nil, err
	}
	var seeds []peer.Address
	for _, machine := range machines {
		if !machine.Gone && machine.Address != string(n.self.Address) {
			seeds = append(seeds, peer.Address(machine.Address))
		}
	}
	return seeds, nil
}

// bootstrap offers the initial configuration until the cluster has one.
func (n *Node) bootstrap(ctx context.Context) error {
	for n.options.Initial != nil {
		err := n.config.Bootstrap(ctx, n.options.Initial)
		if err == nil {
			return nil
		}
		if !retriable(err) {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(bootstrapRetry):
		}
	}
	return nil
}

// retriable is false for what the operator must correct.
func retriable(err error) bool { return !fault.Is(err, fault.Invalid) }
