package server

import (
	"context"
	"errors"
	"net"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/deadconn"
	"github.com/cloverwheel/cloverwheel/internal/directory"
	"github.com/cloverwheel/cloverwheel/internal/history"
	"github.com/cloverwheel/cloverwheel/internal/isolation"
	"github.com/cloverwheel/cloverwheel/internal/peer"
)

// Methods of calls between nodes.
const (
	// methodHandOver transfers a node's unused tokens of a program to the caller.
	methodHandOver = "budget.hand_over"
	// methodChain reads the conversation history up to a turn from a node's cache.
	methodChain = "history.chain"
	// methodCommit and methodRange make a call to the store through another node.
	methodCommit = "table.commit"
	methodRange  = "table.range"
	// methodLocate reads which nodes ran turns of a program from the owner of its directory slot.
	methodLocate = "directory.locate"
	// methodGrant requests tokens from the part of a program's budget that the owner of a directory
	// slot holds.
	methodGrant = "directory.grant"
	// methodQuotaPermit requests a permit for one request from the owner of a share of a tenant's
	// limit.
	methodQuotaPermit = "quota.lend"
	// methodColdPermit requests a permit for one request to a cold worker from the owner of its slot.
	methodColdPermit = "warmup.lend"
	// methodCapacity reports a node's load on a group of workers to the coordinator of the group,
	// and may request a placement.
	methodCapacity = "room.report"
	// methodGroupCommit sends turn rows to the owner of a slot, which writes them in a batch with
	// those of other nodes.
	methodGroupCommit = "history.gather"
	// methodRecordStreams sends to a holder which software versions began streams, and methodFindStream asks it.
	methodRecordStreams = "streams.record"
	methodFindStream    = "streams.find"
	// methodAppendStream sends events of a turn to a node that holds a copy of them, and methodReadStream asks it.
	methodAppendStream = "streams.append"
	methodReadStream   = "streams.read"
	// methodShareQuarantine tells another node which work ends workers, or asks it.
	methodShareQuarantine = "quarantine.share"
	// methodProof reads a node's proof that its configuration is the newest.
	methodProof = "configuration.proof"
)

// peerKey prevents accidental calls from other systems. It is not a secret. Nodes give data only
// to callers that name the process, and process names are published in the store alone.
const peerKey = "cloverwheel-node"

const (
	// peerDialTimeout bounds opening a connection to another node. It allows for one lost packet
	// at a round trip of 100 ms. Calls have their own, shorter timeouts.
	peerDialTimeout = 400 * time.Millisecond
	// peerUnresponsiveTimeout is how long calls wait without a byte from a node before its connection
	// is suspected to be dead. It does not exceed minProofTimeout, so a proof request can be
	// retried in time.
	peerUnresponsiveTimeout = 100 * time.Millisecond
	// lateResponseTimeout bounds a call as a whole, including the time after its caller has given
	// up. Late responses show the latency of a zone to callers whose timeout is too short for it.
	// The value is above the timeout of every caller.
	lateResponseTimeout = 1500 * time.Millisecond
	// maxAbandonedCalls bounds the calls that are awaited after their callers have given up.
	// Without the bound, calls to an unresponsive node would use up the limit on calls in
	// progress to all nodes (peer.DefaultMaxCalls), and their memory.
	maxAbandonedCalls = 64
	// peerIdleTimeout is how long an unused connection to another node is kept open.
	peerIdleTimeout = 4 * time.Second
	// maxPeerRequest and maxPeerResponse bound the messages between nodes, in bytes.
	maxPeerRequest  = 2 << 20
	maxPeerResponse = 4 << 20
)

// PeerNetwork transports messages between nodes in place of TCP.
type PeerNetwork interface {
	// Transport returns the transport of the node at an address.
	Transport(from peer.Address) peer.Transport
	// Attach makes mux reachable at an address; a nil mux detaches it.
	Attach(address peer.Address, mux *peer.Mux)
}

// errRegionNotAllowed is returned for content that may not be sent to the region of a node.
var errRegionNotAllowed = errors.New("the content may not be sent to the node's region")

// peers is the node's endpoint for calls from and to other nodes.
type peers struct {
	address   string // address of this node; empty: it runs without peers
	network   PeerNetwork
	options   peer.Options
	mux       *peer.Mux
	transport *meteredTransport
	client    *peerClient
	isolation isolation.Detector
}

func newPeers(options Options) *peers {
	address, network := options.Settings.PeerAddress, options.PeerNetwork
	p := &peers{address: address, network: network, mux: peer.NewMux()}
	p.options = peer.Options{
		Keys:              peer.NewKeys(peerKey),
		MaxRequest:        maxPeerRequest,
		MaxResponse:       maxPeerResponse,
		DialTimeout:       peerDialTimeout,
		IdleTimeout:       peerIdleTimeout,
		UnresponsiveAfter: peerUnresponsiveTimeout,
		Guard:             options.Guards.Nodes,
		Registerer:        options.Metrics.Registry,
	}
	p.transport = &meteredTransport{location: options.Settings.location(), count: options.Metrics.NodeMessage}
	if network != nil {
		p.transport.Transport = network.Transport(peer.Address(address))
	} else {
		p.transport.Transport = peer.NewHTTPTransport(p.options)
	}
	p.client = &peerClient{transport: p.transport, onResult: p.recordPeerResult}
	return p
}

// chainRequest requests the turns up to and including Turn.
type chainRequest struct {
	Process string // process addressed by the request
	Turn    string
}

// chainAnswer contains the turns, oldest first; empty if they are not cached.
type chainAnswer struct {
	Turns []*history.Turn
	// Waiting means that this node reads the turns, once it has read those of Ahead other conversations, probably in RetryAfter.
	Waiting    bool
	Ahead      int
	RetryAfter time.Duration
}

// newChainAnswer returns what this node knows of the turns up to the given one.
func newChainAnswer(turns *history.TurnStore, turn string) chainAnswer {
	if chain := turns.CachedChain(turn); chain != nil {
		return chainAnswer{Turns: chain}
	}
	if busy := turns.WaitingFor(turn); busy != nil {
		return chainAnswer{Waiting: true, Ahead: busy.Ahead, RetryAfter: busy.RetryAfter}
	}
	return chainAnswer{}
}

// handleProgramCalls registers the handlers for calls about programs.
func (p *peers) handleProgramCalls(process string, accounts *budget.Accounts, turns *history.TurnStore, dir *directory.Directory) {
	peer.Handle(p.mux, methodLocate, func(_ context.Context, request directory.Request) (directory.Answer, error) {
		return dir.HandleRequest(request), nil
	})
	peer.Handle(p.mux, methodGrant, func(_ context.Context, request directory.GrantRequest) (directory.GrantAnswer, error) {
		return dir.HandleGrantRequest(request), nil
	})
	peer.Handle(p.mux, methodHandOver, func(ctx context.Context, request budget.HandOverRequest) (budget.HandOverAnswer, error) {
		return accounts.HandOver(ctx, request), nil
	})
	peer.Handle(p.mux, methodChain, func(_ context.Context, request chainRequest) (chainAnswer, error) {
		if request.Process != process {
			return chainAnswer{}, nil
		}
		return newChainAnswer(turns, request.Turn), nil
	})
}

// serve handles calls of other nodes until ctx ends. While it cannot listen, the node runs without
// them.
func (p *peers) serve(ctx context.Context, group *errgroup.Group, s *Server) {
	if p.address == "" {
		return
	}
	if p.network != nil {
		p.network.Attach(peer.Address(p.address), p.mux)
		group.Go(func() error {
			<-ctx.Done()
			p.network.Attach(peer.Address(p.address), nil)
			return nil
		})
		return
	}
	server := peer.NewServer(p.options, p.mux)
	context.AfterFunc(ctx, func() { _ = server.Close() })
	s.serveOptional(ctx, group, p.address, func(listener net.Listener) error {
		return server.Serve(deadconn.Listener{Listener: listener, Guard: p.options.Guard})
	})
}
