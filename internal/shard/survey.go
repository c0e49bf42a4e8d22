package shard

import (
	"context"
	"slices"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/outside"
	"github.com/cloverwheel/cloverwheel/internal/peer"
)

// survey is what is known of the nodes when a loss is looked into.
type survey struct {
	answers    map[id.Node]surveyAnswer
	unanswered map[id.Node]bool
	gone       map[id.Node]bool
	addresses  map[id.Node]peer.Address
}

// survey asks all nodes that are not gone.
func (h *Host) survey(ctx context.Context, shards []id.Shard) (survey, error) {
	found := survey{map[id.Node]surveyAnswer{}, map[id.Node]bool{}, map[id.Node]bool{}, map[id.Node]peer.Address{}}
	if h.options.Machines != nil {
		listCtx, cancel := context.WithTimeout(ctx, tableTimeout)
		defer cancel()
		machines, err := h.options.Machines.List(listCtx, outside.KindNode)
		if err != nil {
			return found, eris.Wrap(err, "list machines")
		}
		for _, machine := range machines {
			found.gone[id.Node(machine.ID)] = machine.Gone
			found.addresses[id.Node(machine.ID)] = peer.Address(machine.Address)
		}
	}
	if view := h.view(); view != nil {
		for _, m := range view.Members {
			found.gone[m.Node] = false
			found.addresses[m.Node] = m.Address
		}
	}
	h.ask(ctx, shards, &found)
	return found, nil
}

func (h *Host) ask(ctx context.Context, shards []id.Shard, found *survey) {
	ctx, cancel := context.WithTimeout(ctx, surveyTimeout)
	defer cancel()
	var asking sync.WaitGroup
	var mutex sync.Mutex
	for node, address := range found.addresses {
		if found.gone[node] {
			continue
		}
		asking.Go(func() {
			answer, err := peer.Invoke[surveyAnswer](ctx, h.options.Transport, address, methodSurvey, surveyRequest{shards})
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil || answer.Replica.Node != node {
				found.unanswered[node] = true
				return
			}
			found.answers[node] = answer
		})
	}
	asking.Wait()
}

// loss is the judgement on one group.
type loss struct {
	lost    bool
	holders []id.Node // that hold a replica of the row's epoch or an earlier one
}

// assess judges whether a group has lost its majority for good. Every node
// that may live must have answered, because the row's members may be stale.
// forced counts nodes without an answer as gone.
func (s survey) assess(shard id.Shard, row groupRow, self ReplicaID, forced bool) loss {
	var result loss
	members := Configuration{}
	for _, replica := range row.Members {
		members.Seats = append(members.Seats, Seat{Replica: replica, Voter: true})
	}
	var newest holding
	for node, answer := range s.answers {
		for _, held := range answer.Holdings {
			if held.Shard != shard || held.Epoch > row.Epoch {
				continue
			}
			if held.Led && held.Epoch == row.Epoch {
				return loss{}
			}
			result.holders = append(result.holders, node)
			if held.Epoch == row.Epoch && held.ConfigurationIndex >= newest.ConfigurationIndex && held.Configuration.Voters() > 0 && held.ConfigurationIndex >= row.Index {
				newest, members = held, held.Configuration
			}
		}
	}
	slices.Sort(result.holders)
	if len(s.unanswered) > 0 && !forced {
		return loss{}
	}
	alive, unknown := s.count(shard, row.Epoch, members, self)
	result.lost = alive < members.majority() && (unknown == 0 || forced)
	return result
}

// count tells how many voters hold the group and of how many nothing is known.
// A process that runs but holds nothing may be about to start what it has just
// written to the table; only it knows that it is not.
func (s survey) count(shard id.Shard, epoch uint64, members Configuration, self ReplicaID) (alive, unknown int) {
	for _, seat := range members.Seats {
		if !seat.Voter {
			continue
		}
		answer, answered := s.answers[seat.Replica.Node]
		switch {
		case !answered && !s.gone[seat.Replica.Node]:
			unknown++
		case answered && answer.Replica == seat.Replica && answer.holds(shard, epoch):
			alive++
		case answered && answer.Replica == seat.Replica && seat.Replica != self &&
			!slices.Contains(answer.Departed, departedSeat{shard, epoch}):
			unknown++
		}
	}
	return alive, unknown
}
