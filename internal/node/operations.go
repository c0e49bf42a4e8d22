package node

import (
	"context"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/peer"
)

// MethodDrain asks a node to begin a planned stop: DrainRequest → DrainAnswer.
const MethodDrain = "node.drain"

// drainTimeout bounds the request that begins another node's drain.
const drainTimeout = 5 * time.Second

// DrainRequest begins a planned stop of the node that receives it.
type DrainRequest struct{ Node id.Node }

// DrainAnswer says that the drain has begun.
type DrainAnswer struct{ Begun bool }

func (n *Node) serveDrain(ctx context.Context, request DrainRequest) (DrainAnswer, error) {
	if request.Node != n.self.Node {
		return DrainAnswer{}, fault.Newf(fault.NotFound, "list the nodes again", "this is node %q, not %q", n.self.Node, request.Node)
	}
	n.Drain(ctx)
	return DrainAnswer{Begun: true}, nil
}

// nodeOperations does what operators ask of nodes. It implements gateway.Nodes.
type nodeOperations struct{ node *Node }

// Drain implements gateway.Nodes.
func (o nodeOperations) Drain(ctx context.Context, name id.Node) error {
	target, ok := o.node.members.View().Lookup(name)
	if !ok {
		return fault.Newf(fault.NotFound, "list the nodes with 'cloverwheel node list'", "there is no node %q", name)
	}
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	_, err := peer.Invoke[DrainAnswer](ctx, o.node.peers.transport(), target.Address, MethodDrain, DrainRequest{Node: name})
	return err
}
