package config

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cloverwheel/cloverwheel/internal/peer"
	"github.com/cloverwheel/cloverwheel/internal/shard"
)

const (
	// statusTimeout bounds the question to one node.
	statusTimeout = time.Second
	// statusParallel bounds the questions under way.
	statusParallel = 32
)

// Status asks every member for its version in force. A node that does not
// answer is listed with the error.
func (s *Service) Status(ctx context.Context) []NodeStatus {
	members := s.options.Members().Members
	statuses := make([]NodeStatus, len(members))
	var group errgroup.Group
	group.SetLimit(statusParallel)
	for i, m := range members {
		group.Go(func() error {
			short, cancel := context.WithTimeout(ctx, statusTimeout)
			defer cancel()
			status, err := peer.Invoke[NodeStatus](short, s.options.Transport, m.Address, MethodStatus, StatusRequest{})
			if err != nil {
				status = NodeStatus{Node: m.Node, Zone: m.Zone, Error: err.Error()}
			}
			statuses[i] = status
			return nil
		})
	}
	_ = group.Wait() // no question returns an error
	return statuses
}

func (s *Service) serveStatus(context.Context, StatusRequest) (NodeStatus, error) {
	self := s.self()
	present := s.inForce.Load()
	status := NodeStatus{
		Node: self.Node, Zone: self.Zone,
		Version: present.configuration.Version,
		InForce: time.Since(present.since),
		Fresh:   s.Fresh() == nil,
	}
	if confirmed := s.confirmed.Load(); confirmed != nil {
		status.ConfirmedAge = time.Since(*confirmed)
	}
	return status, nil
}

// History returns accepted versions, latest first.
func (s *Service) History(ctx context.Context, request HistoryRequest) (History, error) {
	return atLeader[History](ctx, s, MethodHistory, request)
}

// Diff compares two accepted versions. It fails with fault.NotFound when one of
// them is not kept any more.
func (s *Service) Diff(ctx context.Context, request DiffRequest) (Diff, error) {
	return atLeader[Diff](ctx, s, MethodDiff, request)
}

func (s *Service) serveHistory(ctx context.Context, request HistoryRequest) (History, error) {
	present, err := s.pastAtHead(ctx)
	if err != nil {
		return History{}, err
	}
	return present.historyOf(request), nil
}

func (s *Service) serveDiff(ctx context.Context, request DiffRequest) (Diff, error) {
	present, err := s.pastAtHead(ctx)
	if err != nil {
		return Diff{}, err
	}
	return present.diff(request)
}

// pastAtHead reads the head that a majority confirms, and what led to it.
func (s *Service) pastAtHead(ctx context.Context) (past, error) {
	var present past
	err := s.options.Proposer.Query(ctx, HeadShard, func(machine shard.Machine) {
		present = s.options.Part(machine).past
	})
	return present, err
}
