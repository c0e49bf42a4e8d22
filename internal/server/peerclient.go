package server

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/capacity"
	"github.com/cloverwheel/cloverwheel/internal/directory"
	"github.com/cloverwheel/cloverwheel/internal/groupcommit"
	"github.com/cloverwheel/cloverwheel/internal/history"
	"github.com/cloverwheel/cloverwheel/internal/locality"
	"github.com/cloverwheel/cloverwheel/internal/peer"
	"github.com/cloverwheel/cloverwheel/internal/quarantine"
	"github.com/cloverwheel/cloverwheel/internal/quota"
	"github.com/cloverwheel/cloverwheel/internal/streamcopy"
	"github.com/cloverwheel/cloverwheel/internal/streamorigin"
	"github.com/cloverwheel/cloverwheel/internal/timing"
	"github.com/cloverwheel/cloverwheel/internal/warmup"
)

// peerClient calls other nodes and measures the latency of each zone. It implements budget.Peers,
// directory.Peers, directory.GrantPeers, quota.Peers, warmup.Peers, capacity.Peers,
// groupcommit.Peers, streamorigin.Peers, streamcopy.Peers, quarantine.Peers and forward.HistoryPeers.
type peerClient struct {
	transport *meteredTransport
	latencies timing.LatencyEstimates // by zone of the called process
	abandoned atomic.Int64            // calls whose callers have given up
	// onResult is called with the result of each call; may be nil.
	onResult func(target budget.Holder, err error)
}

// report passes the result of a call to onResult.
func (c *peerClient) report(target budget.Holder, err error) {
	if c.onResult != nil {
		c.onResult(target, err)
	}
}

// timeout returns the timeout for a call to a process, based on the latency of its zone. It is a
// timing.TimeoutFunc.
func (c *peerClient) timeout(process string, least, most time.Duration) time.Duration {
	return c.latencies.Timeout(locality.ZoneOf(process), least, most)
}

// abandon counts a call whose caller has given up until the call ends. It cancels the call if
// there are too many.
func (c *peerClient) abandon(call context.Context, end context.CancelFunc) {
	if c.abandoned.Add(1) > maxAbandonedCalls {
		end()
	}
	context.AfterFunc(call, func() { c.abandoned.Add(-1) })
}

// callPeer calls a process. It returns when ctx ends; a later response is only used to measure
// the latency, and reported to onResult.
func callPeer[Answer, Request any](ctx context.Context, c *peerClient, target budget.Holder, method string, request Request) (Answer, error) {
	return callPeerTimed(ctx, c, target, method, request, func(_ Answer, elapsed time.Duration) time.Duration { return elapsed })
}

// callPeerTimed is callPeer with a function that returns the network time of a call, given the
// answer and the total time.
func callPeerTimed[Answer, Request any](ctx context.Context, c *peerClient, target budget.Holder, method string, request Request, networkTime func(Answer, time.Duration) time.Duration) (Answer, error) {
	type result struct {
		answer Answer
		err    error
	}
	c.transport.recordZone(target.Process, peer.Address(target.Address))
	results := make(chan result, 1)
	detached, cancel := context.WithTimeout(context.WithoutCancel(ctx), lateResponseTimeout)
	go func() {
		defer cancel()
		started := time.Now()
		answer, err := peer.Invoke[Answer](detached, c.transport, peer.Address(target.Address), method, request)
		if err == nil {
			c.latencies.Observe(locality.ZoneOf(target.Process), max(0, networkTime(answer, time.Since(started))))
			c.report(target, nil)
		}
		results <- result{answer, err}
	}()
	select {
	case got := <-results:
		if got.err != nil {
			c.report(target, got.err)
		}
		return got.answer, got.err
	case <-ctx.Done():
		c.report(target, ctx.Err())
		c.abandon(detached, cancel)
		var none Answer
		return none, ctx.Err()
	}
}

// HandOver implements budget.Peers.
func (c *peerClient) HandOver(ctx context.Context, address string, request budget.HandOverRequest) (budget.HandOverAnswer, error) {
	return callPeer[budget.HandOverAnswer](ctx, c, budget.Holder{Process: request.Process, Address: address}, methodHandOver, request)
}

// Locate implements directory.Peers.
func (c *peerClient) Locate(ctx context.Context, address string, request directory.Request) (directory.Answer, error) {
	return callPeer[directory.Answer](ctx, c, budget.Holder{Process: request.Process, Address: address}, methodLocate, request)
}

// Grant implements directory.GrantPeers.
func (c *peerClient) Grant(ctx context.Context, address string, request directory.GrantRequest) (directory.GrantAnswer, error) {
	return callPeer[directory.GrantAnswer](ctx, c, budget.Holder{Process: request.Process, Address: address}, methodGrant, request)
}

// RequestPermit implements quota.Peers.
func (c *peerClient) RequestPermit(ctx context.Context, owner budget.Holder, request quota.Request) (quota.Answer, error) {
	return callPeer[quota.Answer](ctx, c, owner, methodQuotaPermit, request)
}

// Proof requests a process's proof that its configuration is the newest.
func (c *peerClient) Proof(ctx context.Context, owner budget.Holder, request proofRequest) (proofAnswer, error) {
	return callPeer[proofAnswer](peer.WithRepeatable(ctx), c, owner, methodProof, request)
}

// mayPassThrough reports whether the content of a call may be sent to a process, by the regions
// that the content is bound to.
func mayPassThrough(ctx context.Context, zones *locality.ZoneMap, holder budget.Holder) bool {
	return locality.ContentRegions(ctx).Allow(zones.Region(locality.ZoneOf(holder.Process)))
}

// RequestColdPermit implements warmup.Peers.
func (c *peerClient) RequestColdPermit(ctx context.Context, owner budget.Holder, request warmup.Request) (warmup.Answer, error) {
	return callPeer[warmup.Answer](ctx, c, owner, methodColdPermit, request)
}

// Report implements capacity.Peers.
func (c *peerClient) Report(ctx context.Context, coordinator budget.Holder, request capacity.Request) (capacity.Answer, error) {
	networkTime := func(answer capacity.Answer, elapsed time.Duration) time.Duration { return elapsed - answer.HeldFor }
	return callPeerTimed(ctx, c, coordinator, methodCapacity, request, networkTime)
}

// History implements forward.HistoryPeers.
func (c *peerClient) History(ctx context.Context, holder budget.Holder, turn string) ([]*history.Turn, error) {
	if !mayPassThrough(ctx, c.transport.location.Zones, holder) {
		return nil, nil
	}
	answer, err := callPeer[chainAnswer](peer.WithRepeatable(ctx), c, holder, methodChain, chainRequest{Process: holder.Process, Turn: turn})
	if err == nil && answer.Waiting {
		err = &history.BusyError{Ahead: answer.Ahead, RetryAfter: answer.RetryAfter}
	}
	return answer.Turns, err
}

// RecordStreams implements streamorigin.Peers.
func (c *peerClient) RecordStreams(ctx context.Context, holder budget.Holder, request streamorigin.RecordRequest) (streamorigin.RecordAnswer, error) {
	return callPeer[streamorigin.RecordAnswer](peer.WithRepeatable(ctx), c, holder, methodRecordStreams, request)
}

// FindStream implements streamorigin.Peers.
func (c *peerClient) FindStream(ctx context.Context, holder budget.Holder, request streamorigin.FindRequest) (streamorigin.FindAnswer, error) {
	return callPeer[streamorigin.FindAnswer](peer.WithRepeatable(ctx), c, holder, methodFindStream, request)
}

// AppendStream implements streamcopy.Peers.
func (c *peerClient) AppendStream(ctx context.Context, holder budget.Holder, request streamcopy.AppendRequest) (streamcopy.AppendAnswer, error) {
	if !mayPassThrough(ctx, c.transport.location.Zones, holder) {
		return streamcopy.AppendAnswer{}, errRegionNotAllowed
	}
	return callPeer[streamcopy.AppendAnswer](peer.WithRepeatable(ctx), c, holder, methodAppendStream, request)
}

// ReadStream implements streamcopy.Peers.
func (c *peerClient) ReadStream(ctx context.Context, holder budget.Holder, request streamcopy.ReadRequest) (streamcopy.ReadAnswer, error) {
	if !mayPassThrough(ctx, c.transport.location.Zones, holder) {
		return streamcopy.ReadAnswer{}, errRegionNotAllowed
	}
	return callPeer[streamcopy.ReadAnswer](peer.WithRepeatable(ctx), c, holder, methodReadStream, request)
}

// ShareQuarantine implements quarantine.Peers.
func (c *peerClient) ShareQuarantine(ctx context.Context, holder budget.Holder, request quarantine.ShareRequest) (quarantine.ShareAnswer, error) {
	return callPeer[quarantine.ShareAnswer](peer.WithRepeatable(ctx), c, holder, methodShareQuarantine, request)
}

// ForwardRows implements groupcommit.Peers.
func (c *peerClient) ForwardRows(ctx context.Context, owner budget.Holder, request groupcommit.Request) (groupcommit.Answer, error) {
	if !mayPassThrough(ctx, c.transport.location.Zones, owner) {
		return groupcommit.Answer{}, groupcommit.ErrRegionNotAllowed
	}
	return callPeerTimed(ctx, c, owner, methodGroupCommit, request, func(answer groupcommit.Answer, elapsed time.Duration) time.Duration {
		return elapsed - answer.Took
	})
}
