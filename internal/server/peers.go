package server

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/peer"
)

// methodHandOver asks a node for tokens of a program that it does not use.
const methodHandOver = "budget.hand_over"

// peerKey keeps strangers of other systems out. It is no secret: what a node hands
// over it hands to those who can name its process, and only the table tells that.
const peerKey = "cloverwheel-node"

const (
	peerDialTimeout = 100 * time.Millisecond
	// peerIdleTimeout is how long an unused connection to another node is kept.
	peerIdleTimeout = 4 * time.Second
	// maxPeerMessage bounds a message between nodes, in bytes.
	maxPeerMessage = 16 << 10
)

// PeerNetwork carries messages between nodes in place of TCP.
type PeerNetwork interface {
	// Transport returns the transport of the node at an address.
	Transport(from peer.Address) peer.Transport
	// Attach makes mux reachable at an address; a nil mux ends that.
	Attach(address peer.Address, mux *peer.Mux)
}

// peers is how a node talks to others.
type peers struct {
	address   string // where this node answers; empty: it does not talk
	network   PeerNetwork
	options   peer.Options
	mux       *peer.Mux
	transport peer.Transport
}

func newPeers(address string, network PeerNetwork) *peers {
	p := &peers{address: address, network: network, mux: peer.NewMux()}
	p.options = peer.Options{
		Keys:        peer.NewKeys(peerKey),
		MaxRequest:  maxPeerMessage,
		MaxResponse: maxPeerMessage,
		DialTimeout: peerDialTimeout,
		IdleTimeout: peerIdleTimeout,
	}
	if network != nil {
		p.transport = network.Transport(peer.Address(address))
	} else {
		p.transport = peer.NewHTTPTransport(p.options)
	}
	return p
}

// budgets returns how the book asks other nodes; nil if it does not.
func (p *peers) budgets() budget.Peers {
	if p.address == "" {
		return nil
	}
	return budgetPeers{p.transport}
}

// serve answers other nodes by the book until ctx ends.
func (p *peers) serve(ctx context.Context, group *errgroup.Group, s *Server, book *budget.Book) error {
	if p.address == "" {
		return nil
	}
	peer.Handle(p.mux, methodHandOver, func(ctx context.Context, request budget.HandOverRequest) (budget.HandOverAnswer, error) {
		return book.HandOver(ctx, request), nil
	})
	if p.network != nil {
		p.network.Attach(peer.Address(p.address), p.mux)
		group.Go(func() error {
			<-ctx.Done()
			p.network.Attach(peer.Address(p.address), nil)
			return nil
		})
		return nil
	}
	listener, err := s.options.Listen(p.address)
	if err != nil {
		return err
	}
	server := peer.NewServer(p.options, p.mux)
	context.AfterFunc(ctx, func() { _ = server.Close() })
	group.Go(func() error { return server.Serve(listener) })
	return nil
}

// budgetPeers implements budget.Peers over messages between nodes.
type budgetPeers struct{ transport peer.Transport }

// HandOver implements budget.Peers.
func (p budgetPeers) HandOver(ctx context.Context, address string, request budget.HandOverRequest) (budget.HandOverAnswer, error) {
	return peer.Invoke[budget.HandOverAnswer](ctx, p.transport, peer.Address(address), methodHandOver, request)
}
