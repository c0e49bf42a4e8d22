package server

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/locality"
	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/timing"
)

const (
	// isolationCheckInterval is how often a node checks whether it is isolated.
	isolationCheckInterval = 100 * time.Millisecond
	// storeProbeInterval is the minimum time between two probes of the store while no remote peer
	// answers. It is also the timeout of a probe.
	storeProbeInterval = 300 * time.Millisecond
)

// recordPeerResult records the result of a call to another process for isolation detection. Nodes
// of the same zone do not count, because they fail together with it, unless there is only one
// zone.
func (p *peers) recordPeerResult(target budget.Holder, err error) {
	switch {
	case !p.outsideFailureDomain(target):
	case err == nil:
		p.isolation.RecordReply(time.Now())
	case !errors.Is(err, context.Canceled):
		p.isolation.RecordMiss(time.Now())
	}
}

// outsideFailureDomain reports whether a process runs outside the zone of this node. With a
// single zone every process does.
func (p *peers) outsideFailureDomain(holder budget.Holder) bool {
	location := p.transport.location
	return location.DistanceTo(holder.Zone()) != locality.SameZone || location.Zones.ZoneCount() <= 1
}

// Isolated reports whether the node can reach neither the store, directly or through other
// nodes, nor any node outside its failure domain.
func (s *Server) Isolated() bool { return s.isolated.Load() }

// RedirectsClients reports whether clients should reconnect to another node, because this one is
// draining or isolated.
func (s *Server) RedirectsClients() bool { return s.Draining() || s.Isolated() }

// monitorIsolation updates the isolation state until ctx ends.
func (s *Server) monitorIsolation(ctx context.Context) {
	var lastProbe time.Time // time of the last store probe
	for timing.Sleep(ctx, isolationCheckInterval) == nil {
		now := time.Now()
		if s.peers.isolation.NeedsProbe(now) {
			go s.probeRemotePeer(ctx)
		}
		if s.peers.isolation.PeersUnreachable() && now.Sub(lastProbe) >= storeProbeInterval {
			lastProbe = now
			go s.probeStore(ctx)
		}
		s.setIsolated(s.peers.isolation.Isolated(s.store.Unreachable(), now))
	}
}

// setIsolated updates the isolation state and logs a change.
func (s *Server) setIsolated(isolated bool) {
	if isolated == s.isolated.Swap(isolated) {
		return
	}
	s.options.Logger.WithField("isolated", isolated).WithField("proof_ms", s.verifier.proofAgeMillis()).
		Warn("isolation state changed; an isolated node reaches neither the store nor remote nodes and accepts no new clients")
}

// probeRemotePeer calls one random node outside the failure domain. Any answer shows that the
// node is not isolated.
func (s *Server) probeRemotePeer(ctx context.Context) {
	if s.directory == nil {
		return
	}
	owners := slices.DeleteFunc(s.directory.Owners(), func(owner budget.Holder) bool { return !s.peers.outsideFailureDomain(owner) })
	if len(owners) == 0 {
		return
	}
	if !s.peers.isolation.PeersUnreachable() {
		owners = locality.PreferOwnRegion(s.peers.transport.location, owners, budget.Holder.Zone) // avoids calls to other regions unless no peer answers
	}
	answer, sent, err := s.verifier.requestProof(ctx, owners[rand.IntN(len(owners))])
	if err == nil {
		s.verifier.adoptProof(answer.Proof, sent)
	}
}

// probeStore reads one row of a random part. Without it, an idle node would detect neither the
// loss nor the recovery of the store. Failures of one part count once, so the part is random.
func (s *Server) probeStore(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeProbeInterval)
	defer cancel()
	parts := budget.Parts()
	_, _ = s.store.Range(ctx, budget.Table, parts[rand.IntN(len(parts))], "", "", 1)
}

// relayedStore is the shared store, called directly or through other nodes.
type relayedStore interface {
	store.Store
	// Unreachable reports whether the last calls failed, both directly and through other nodes.
	Unreachable() bool
}
