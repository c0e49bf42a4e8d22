package server

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/directory"
	"github.com/cloverwheel/cloverwheel/internal/gather"
	"github.com/cloverwheel/cloverwheel/internal/history"
	"github.com/cloverwheel/cloverwheel/internal/isolation"
	"github.com/cloverwheel/cloverwheel/internal/locality"
	"github.com/cloverwheel/cloverwheel/internal/peer"
	"github.com/cloverwheel/cloverwheel/internal/quota"
	"github.com/cloverwheel/cloverwheel/internal/room"
	"github.com/cloverwheel/cloverwheel/internal/silence"
	"github.com/cloverwheel/cloverwheel/internal/wait"
	"github.com/cloverwheel/cloverwheel/internal/warmup"
)

// Methods of nodes.
const (
	// methodHandOver asks a node for tokens of a program that it does not use.
	methodHandOver = "budget.hand_over"
	// methodChain asks a node for what was said up to a turn.
	methodChain = "history.chain"
	// methodCommit and methodRange ask a node to call the table.
	methodCommit = "table.commit"
	methodRange  = "table.range"
	// methodLocate asks the owner of a directory slot who had turns of a program.
	methodLocate = "directory.locate"
	// methodGrant asks the owner of a directory slot for its part of a program's budget.
	methodGrant = "directory.grant"
	// methodLend asks the owner of a share of a tenant's limit for one request.
	methodLend = "quota.lend"
	// methodLendCold asks the owner of a cold worker's slot for one request to that worker.
	methodLendCold = "warmup.lend"
	// methodRoom tells the keeper of a group of workers what runs there, and asks it for a place.
	methodRoom = "room.report"
	// methodGather asks the owner of a slot to write rows of turns together with those of others.
	methodGather = "history.gather"
	// methodProof asks a node since when its configuration is known to be the newest.
	methodProof = "configuration.proof"
)

// peerKey keeps strangers of other systems out. It is no secret: what a node hands
// over it hands to those who can name its process, and only the table tells that.
const peerKey = "cloverwheel-node"

const (
	// peerDialTimeout bounds a connection to another node. No caller waits for it: each has
	// its own, shorter patience. It covers a way of 100 ms that loses a packet.
	peerDialTimeout = 400 * time.Millisecond
	// peerQuiet is how long calls wait without a byte from their node before its connection is
	// doubted: no longer than the shortest wait for a proof, which may be asked for once more.
	peerQuiet = 100 * time.Millisecond
	// lateAnswer is how long an answer is still listened to whose asker has gone on. It
	// tells how long the way takes: an asker that waits for less would never learn it. It
	// is more than any asker waits.
	lateAnswer = 1500 * time.Millisecond
	// maxLate bounds the answers that are listened to so: enough to learn ways by. A silent
	// node asked 1,000 times a second would else hold 1,500 of the calls that may be in
	// progress to all nodes together (peer.DefaultMaxCalls), and their memory.
	maxLate = 64
	// peerIdleTimeout is how long an unused connection to another node is kept.
	peerIdleTimeout = 4 * time.Second
	// maxPeerRequest and maxPeerAnswer bound messages between nodes, in bytes.
	maxPeerRequest = 2 << 20
	maxPeerAnswer  = 4 << 20
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
	transport *measured
	asker     *asker
	elsewhere isolation.Detector
}

func newPeers(options Options) *peers {
	address, network := options.Settings.Peers, options.PeerNetwork
	p := &peers{address: address, network: network, mux: peer.NewMux()}
	p.options = peer.Options{
		Keys:        peer.NewKeys(peerKey),
		MaxRequest:  maxPeerRequest,
		MaxResponse: maxPeerAnswer,
		DialTimeout: peerDialTimeout,
		IdleTimeout: peerIdleTimeout,
		QuietTime:   peerQuiet,
		Guard:       options.Guards.Nodes,
		Registerer:  options.Metrics.Registry,
	}
	p.transport = &measured{vantage: options.Settings.vantage(), count: options.Metrics.NodeMessage}
	if network != nil {
		p.transport.Transport = network.Transport(peer.Address(address))
	} else {
		p.transport.Transport = peer.NewHTTPTransport(p.options)
	}
	p.asker = &asker{transport: p.transport, asked: p.noteAsked}
	return p
}

// chainRequest asks for the chain that ends with a turn.
type chainRequest struct {
	Process string // that is asked
	Turn    string
}

// chainAnswer is the chain, the oldest turn first; empty if it is not remembered.
type chainAnswer struct{ Turns []*history.Turn }

// handle sets what other nodes are answered.
func (p *peers) handle(process string, book *budget.Book, keeper *history.Keeper, programs *directory.Directory) {
	peer.Handle(p.mux, methodLocate, func(_ context.Context, request directory.Request) (directory.Answer, error) {
		return programs.Answer(request), nil
	})
	peer.Handle(p.mux, methodGrant, func(_ context.Context, request directory.GrantRequest) (directory.GrantAnswer, error) {
		return programs.AnswerGrant(request), nil
	})
	peer.Handle(p.mux, methodHandOver, func(ctx context.Context, request budget.HandOverRequest) (budget.HandOverAnswer, error) {
		return book.HandOver(ctx, request), nil
	})
	peer.Handle(p.mux, methodChain, func(_ context.Context, request chainRequest) (chainAnswer, error) {
		if request.Process != process {
			return chainAnswer{}, nil
		}
		return chainAnswer{Turns: keeper.Known(request.Turn)}, nil
	})
}

// serve answers other nodes until ctx ends.
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
	listener, err := s.options.Listen(p.address)
	if err != nil {
		s.options.Logger.WithError(err).WithField("address", p.address).Error("other nodes cannot ask this one; free the port and restart")
		return
	}
	server := peer.NewServer(p.options, p.mux)
	context.AfterFunc(ctx, func() { _ = server.Close() })
	group.Go(func() error { return server.Serve(silence.Listener{Listener: listener, Guard: p.options.Guard}) })
}

// asker asks other nodes by messages, and follows how long those of each zone take to
// answer. It implements budget.Peers, directory.Peers, directory.GrantPeers, quota.Peers,
// warmup.Peers, gather.Peers and forward.Neighbours.
type asker struct {
	transport *measured
	ways      wait.Ways    // by zone of the process asked
	late      atomic.Int64 // calls whose askers have gone
	// asked is told what came of each question; nil: nobody is.
	asked func(asked budget.Holder, err error)
}

// note tells what came of a question.
func (a *asker) note(asked budget.Holder, err error) {
	if a.asked != nil {
		a.asked(asked, err)
	}
}

// patience is a wait.Patience.
func (a *asker) patience(process string, least, most time.Duration) time.Duration {
	return a.ways.Longest(locality.ZoneOf(process), least, most)
}

// goOn lets a call whose asker has gone be listened to, or ends it if too many are.
func (a *asker) goOn(call context.Context, end context.CancelFunc) {
	if a.late.Add(1) > maxLate {
		end()
	}
	context.AfterFunc(call, func() { a.late.Add(-1) })
}

// askPeer asks a process. It returns when ctx ends; an answer that comes later is only
// noted as such.
func askPeer[Answer, Request any](ctx context.Context, a *asker, asked budget.Holder, method string, request Request) (Answer, error) {
	return askPeerFor(ctx, a, asked, method, request, func(_ Answer, took time.Duration) time.Duration { return took })
}

// askPeerFor is askPeer where an answer tells how much of the time it took was spent on the way.
func askPeerFor[Answer, Request any](ctx context.Context, a *asker, asked budget.Holder, method string, request Request, onWay func(Answer, time.Duration) time.Duration) (Answer, error) {
	type result struct {
		answer Answer
		err    error
	}
	a.transport.note(asked.Process, peer.Address(asked.Address))
	results := make(chan result, 1)
	detached, cancel := context.WithTimeout(context.WithoutCancel(ctx), lateAnswer)
	go func() {
		defer cancel()
		begun := time.Now()
		answer, err := peer.Invoke[Answer](detached, a.transport, peer.Address(asked.Address), method, request)
		if err == nil {
			a.ways.Observe(locality.ZoneOf(asked.Process), max(0, onWay(answer, time.Since(begun))))
			a.note(asked, nil)
		}
		results <- result{answer, err}
	}()
	select {
	case got := <-results:
		if got.err != nil {
			a.note(asked, got.err)
		}
		return got.answer, got.err
	case <-ctx.Done():
		a.note(asked, ctx.Err())
		a.goOn(detached, cancel)
		var none Answer
		return none, ctx.Err()
	}
}

// HandOver implements budget.Peers.
func (a *asker) HandOver(ctx context.Context, address string, request budget.HandOverRequest) (budget.HandOverAnswer, error) {
	return askPeer[budget.HandOverAnswer](ctx, a, budget.Holder{Process: request.Process, Address: address}, methodHandOver, request)
}

// Locate implements directory.Peers.
func (a *asker) Locate(ctx context.Context, address string, request directory.Request) (directory.Answer, error) {
	return askPeer[directory.Answer](ctx, a, budget.Holder{Process: request.Process, Address: address}, methodLocate, request)
}

// Grant implements directory.GrantPeers.
func (a *asker) Grant(ctx context.Context, address string, request directory.GrantRequest) (directory.GrantAnswer, error) {
	return askPeer[directory.GrantAnswer](ctx, a, budget.Holder{Process: request.Process, Address: address}, methodGrant, request)
}

// Lend implements quota.Peers.
func (a *asker) Lend(ctx context.Context, owner budget.Holder, request quota.Request) (quota.Answer, error) {
	return askPeer[quota.Answer](ctx, a, owner, methodLend, request)
}

// Proof asks a process since when its configuration is known to be the newest.
func (a *asker) Proof(ctx context.Context, owner budget.Holder, request proofRequest) (proofAnswer, error) {
	return askPeer[proofAnswer](peer.Repeatable(ctx), a, owner, methodProof, request)
}

// mayCarry reports whether a call's content may pass through a process.
func mayCarry(ctx context.Context, places *locality.Map, holder budget.Holder) bool {
	return locality.Content(ctx).Allow(places.Region(locality.ZoneOf(holder.Process)))
}

// LendCold implements warmup.Peers.
func (a *asker) LendCold(ctx context.Context, owner budget.Holder, request warmup.Request) (warmup.Answer, error) {
	return askPeer[warmup.Answer](ctx, a, owner, methodLendCold, request)
}

// Room implements room.Peers.
func (a *asker) Room(ctx context.Context, keeper budget.Holder, request room.Request) (room.Answer, error) {
	onWay := func(answer room.Answer, took time.Duration) time.Duration { return took - answer.HeldFor }
	return askPeerFor(ctx, a, keeper, methodRoom, request, onWay)
}

// Chain implements forward.Neighbours.
func (a *asker) Chain(ctx context.Context, holder budget.Holder, turn string) ([]*history.Turn, error) {
	if !mayCarry(ctx, a.transport.vantage.Places, holder) {
		return nil, nil
	}
	answer, err := askPeer[chainAnswer](peer.Repeatable(ctx), a, holder, methodChain, chainRequest{Process: holder.Process, Turn: turn})
	return answer.Turns, err
}

// Gather implements gather.Peers.
func (a *asker) Gather(ctx context.Context, owner budget.Holder, request gather.Request) (gather.Answer, error) {
	if !mayCarry(ctx, a.transport.vantage.Places, owner) {
		return gather.Answer{}, gather.ErrNotCarried
	}
	return askPeerFor(ctx, a, owner, methodGather, request, func(answer gather.Answer, took time.Duration) time.Duration {
		return took - answer.Took
	})
}
