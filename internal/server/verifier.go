package server

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/directory"
	"github.com/cloverwheel/cloverwheel/internal/evacuation"
	"github.com/cloverwheel/cloverwheel/internal/locality"
	"github.com/cloverwheel/cloverwheel/internal/peer"
	"github.com/cloverwheel/cloverwheel/internal/quota"
	"github.com/cloverwheel/cloverwheel/internal/route"
	"github.com/cloverwheel/cloverwheel/internal/staleness"
	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/tenant"
	"github.com/cloverwheel/cloverwheel/internal/timing"
)

const (
	// renewRatio is the part of the freshness bound at which the node requests a newer proof. Two
	// hops, from the store to an owner to this node, then stay well within the bound.
	renewRatio = 0.33
	// verifyInterval is the mean time between two checks whether a newer proof is needed.
	verifyInterval = 100 * time.Millisecond
	// The timeout of a proof request to another node follows the observed latency of its zone,
	// between minProofTimeout and maxProofTimeout.
	minProofTimeout = 100 * time.Millisecond
	maxProofTimeout = 300 * time.Millisecond
	// peerRequestInterval is the minimum time between two proof requests to other nodes.
	peerRequestInterval = 300 * time.Millisecond
	// feedLostInterval is the time between two such requests while the node's own feed of the
	// operator's rows is lost. Evacuations must take effect within seconds.
	feedLostInterval = time.Second
	// urgentRatio is the part of the freshness bound at which a slot owner also queries other nodes,
	// and a node without slots also queries the store. The latter first waits nonOwnerDelay,
	// counted from neededSince, so that slot owners reach the store before it: the store answers some
	// 200 such queries a second.
	urgentRatio   = 0.7
	nonOwnerDelay = 1500 * time.Millisecond
	// leaseRenewalAge is the age at which the proof of slot ownership is renewed.
	leaseRenewalAge = 1500 * time.Millisecond
)

// verifier proves that the configuration of this node is the newest and that the node owns its
// directory slots. Without a recent proof the node must not accept API keys or issue permits from
// limits. One store query proves both; a node without slots requests the proof from a slot owner.
// No proof is requested while the configuration has neither tenants nor limits for cold workers.
// While the node's own feed of the operator's rows is lost, it also fetches evacuated zones from
// another node.
type verifier struct {
	fresh       *staleness.Tracker
	options     Options
	server      *Server
	store       store.Store
	directory   *directory.Directory
	peerClient  *peerClient // nil: the node runs without peers
	evacuations *evacuation.Tracker
	// operatorFeedLost reports that the node's own feed of the operator's rows gets no answer
	// from the store.
	operatorFeedLost atomic.Bool

	// Used by run alone:
	neededSince     time.Time // when proofs became necessary, plus a random delay; zero: they are not
	lastPeerRequest time.Time // time of the last proof request to another node
	lastPeerFailed  bool      // that request returned no proof

	mutex         sync.Mutex
	configRow     store.Row // row of the current configuration
	leasesChecked time.Time // when the ownership of all slots was last checked in the store
	queries       queryState
}

func newVerifier(options Options, evacuations *evacuation.Tracker) *verifier {
	return &verifier{fresh: staleness.New(options.Settings.RevokeWithin), options: options, evacuations: evacuations}
}

// attach connects the verifier to the components that it uses, which are created after it.
func (v *verifier) attach(s *Server, parts components) {
	v.server, v.store, v.directory = s, parts.store, parts.directory
	if s.peers.address != "" {
		v.peerClient = s.peers.client
	}
	v.options.Metrics.RegisterProofAge(func() float64 { return v.fresh.Proof().Age.Seconds() })
}

// recordConfiguration records the row of a configuration that is in force or superseded.
func (v *verifier) recordConfiguration(row store.Row, configuration *route.Configuration) {
	v.mutex.Lock()
	if row.Version > v.configRow.Version {
		v.configRow = row
	}
	v.mutex.Unlock()
	if current := v.server.forwarder.Configuration(); current != nil && current.Version >= configuration.Version {
		v.fresh.SetActive(row.Version)
	}
}

func (v *verifier) currentRow() store.Row {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.configRow
}

// limitOf returns the limit of a tenant in the current configuration; known is false if the
// configuration may be too old to issue permits, or has no such tenant.
func (v *verifier) limitOf(name string) (limit tenant.Limit, known bool) {
	if _, fresh := v.fresh.Age(); !fresh {
		return tenant.Limit{}, false
	}
	configuration := v.server.forwarder.Configuration()
	if configuration == nil {
		return tenant.Limit{}, false
	}
	owner := configuration.Tenants.ByName(name)
	if owner == nil {
		return tenant.Limit{}, false
	}
	return owner.Limit, true
}

// needed reports whether the current configuration requires proofs: it has tenants, or limits for
// cold workers.
func (v *verifier) needed() bool {
	configuration := v.server.forwarder.Configuration()
	return configuration != nil && (configuration.Tenants != nil || configuration.LimitsColdWorkers())
}

// run renews the proofs until ctx ends.
func (v *verifier) run(ctx context.Context) {
	for timing.Sleep(ctx, verifyInterval/2+rand.N(verifyInterval)) == nil {
		if v.operatorFeedLost.Load() && time.Since(v.lastPeerRequest) > feedLostInterval {
			v.requestFromPeer(ctx)
		}
		if !v.needed() {
			v.neededSince = time.Time{}
			continue
		}
		if v.neededSince.IsZero() {
			v.neededSince = time.Now().Add(rand.N(nonOwnerDelay)) // random, so that nodes do not all query at once
		}
		v.renew(ctx)
	}
}

// renew requests newer proofs where they are due.
func (v *verifier) renew(ctx context.Context) {
	due := v.proofOlderThan(renewRatio)
	if claims := v.slotClaims(); len(claims) > 0 {
		if due || v.leasesDue() {
			v.queryStore(ctx, claims, maxOwnerBackoff)
		}
		if v.proofOlderThan(urgentRatio) {
			v.requestFromPeer(ctx)
		}
		return
	}
	if !due || v.requestFromPeer(ctx) {
		return
	}
	if v.proofOlderThan(urgentRatio) && time.Since(v.neededSince) > nonOwnerDelay {
		v.queryStore(ctx, nil, maxNonOwnerBackoff)
	}
}

// proofOlderThan reports whether the freshness proof is missing or older than the given ratio of
// the bound.
func (v *verifier) proofOlderThan(ratio float64) bool {
	bound := v.fresh.MaxAge()
	proof := v.fresh.Proof()
	return bound > 0 && (proof.Revision == 0 || proof.Age > time.Duration(ratio*float64(bound)))
}

func (v *verifier) slotClaims() []store.Condition {
	if v.directory == nil {
		return nil
	}
	return v.directory.Claims()
}

func (v *verifier) leasesDue() bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return time.Since(v.leasesChecked) > leaseRenewalAge
}

func (v *verifier) proofAgeMillis() int64 {
	age, _ := v.fresh.Age()
	return age.Milliseconds()
}

// recordClaims records the result of a query, sent at the given time, for the slots of this
// process. A nil conflict means that all claims hold; otherwise it contains the current rows.
func (v *verifier) recordClaims(claims []store.Condition, conflict *store.Conflict, sent time.Time) {
	if len(claims) == 0 {
		return
	}
	if conflict == nil {
		v.directory.ConfirmClaims(claims, sent)
	} else {
		v.directory.HandleConflict(claims, conflict, sent)
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if sent.After(v.leasesChecked) {
		v.leasesChecked = sent
	}
}

// applyRow applies the configuration row returned by a query that was sent at the given time.
func (v *verifier) applyRow(row store.Row, sent time.Time) {
	if row.Version == 0 {
		return // deleted by the operator: the current configuration stays in force
	}
	if row.Version > v.currentRow().Version {
		v.server.applyConfigurations([]store.Row{row})
	}
	v.fresh.AddProof(row.Version, sent)
}

// adoptProof adopts the proof of another node, received for a request that was sent at the given
// time. The stated age is taken as the age at that time, which never makes the proof look newer
// than it is.
func (v *verifier) adoptProof(proof staleness.Proof, sent time.Time) {
	if proof.Revision != 0 {
		v.fresh.AddProof(proof.Revision, sent.Add(-proof.Age))
	}
}

// proofRequest requests a node's proof, and its configuration if that is newer than Revision.
type proofRequest struct{ Revision store.Version }

// proofAnswer contains a node's freshness proof and its evacuated zones.
type proofAnswer struct {
	Proof       staleness.Proof
	Row         store.Row // current configuration of the answering node, if newer than the requester's
	Evacuations evacuation.Snapshot
}

// answerProof answers the proof request of another node.
func (v *verifier) answerProof(request proofRequest) proofAnswer {
	answer := proofAnswer{Proof: v.fresh.Proof(), Evacuations: v.evacuations.Snapshot()}
	if row := v.currentRow(); row.Version > request.Revision {
		answer.Row = row
	}
	return answer
}

// requestFromPeer requests a proof and the evacuated zones from a slot owner, or from any recent
// peer if there is no known owner. It reports whether the proof was newer than this node's.
func (v *verifier) requestFromPeer(ctx context.Context) bool {
	if v.peerClient == nil || v.directory == nil {
		return false
	}
	owners := v.directory.Owners()
	if len(owners) == 0 {
		owners = v.server.budgets.RecentPeers()
	}
	if len(owners) == 0 || time.Since(v.lastPeerRequest) < peerRequestInterval {
		return false
	}
	v.lastPeerRequest = time.Now()
	before, _ := v.fresh.Age()
	had := v.fresh.Proof().Revision != 0
	answer, sent, err := v.requestProof(ctx, v.choosePeer(owners))
	if err == nil {
		v.evacuations.Merge(answer.Evacuations) // evacuations apply regardless of the age of the proof
	}
	v.lastPeerFailed = err != nil || answer.Proof.Revision == 0
	if v.lastPeerFailed {
		return false
	}
	if answer.Row.Version > v.currentRow().Version {
		v.server.applyConfigurations([]store.Row{answer.Row})
	}
	v.adoptProof(answer.Proof, sent)
	after, fresh := v.fresh.Age()
	return fresh && (!had || after < before)
}

// choosePeer returns a random owner in the node's region, or in any region after a request that
// returned no proof.
func (v *verifier) choosePeer(owners []budget.Holder) budget.Holder {
	if !v.lastPeerFailed {
		owners = locality.PreferOwnRegion(v.options.Settings.location(), owners, budget.Holder.Zone)
	}
	return owners[rand.IntN(len(owners))]
}

func (v *verifier) requestProof(ctx context.Context, owner budget.Holder) (proofAnswer, time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, v.peerClient.timeout(owner.Process, minProofTimeout, maxProofTimeout))
	defer cancel()
	sent := time.Now()
	answer, err := v.peerClient.Proof(ctx, owner, proofRequest{Revision: v.currentRow().Version})
	return answer, sent, err
}

// handleProofsAndLimits registers the handlers of proof requests and of permit requests for tenants'
// limits.
func (p *peers) handleProofsAndLimits(allocator *quota.Allocator, verifier *verifier) {
	peer.Handle(p.mux, methodQuotaPermit, func(_ context.Context, request quota.Request) (quota.Answer, error) {
		return allocator.Answer(request), nil
	})
	peer.Handle(p.mux, methodProof, func(_ context.Context, request proofRequest) (proofAnswer, error) {
		return verifier.answerProof(request), nil
	})
}
