package member

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/semaphore"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/peer"
)

// Bounds of what a Service does at once.
const (
	maxSends        = 64   // requests in progress; gossip beyond it is left out
	riderLimit      = 1024 // bytes of all riders' payloads in one message
	joinAttempts    = 3    // seeds asked at once
	joinRetry       = time.Second
	farewellTimeout = 500 * time.Millisecond
)

// Options configures a Service.
type Options struct {
	Self      Member // with NewIncarnation's result; State is ignored
	Transport peer.Transport
	Mux       *peer.Mux
	// Seeds lists addresses of nodes, such as the platform's machine list. It is
	// a hint: this node's own address and dead ones may be among them.
	Seeds      func(ctx context.Context) ([]peer.Address, error)
	Timing     Timing
	Random     uint64                // seed of all random choices; 0 takes the incarnation
	Log        log.Interface         // nil discards
	Registerer prometheus.Registerer // nil registers nothing
}

// Service runs the membership protocol of one node.
type Service struct {
	options Options
	timing  Timing
	log     log.Interface
	riders  []namedRider
	sends   *semaphore.Weighted

	publishing  sync.Mutex // held while a view is shown, so that views keep their order
	mutex       sync.Mutex // guards what follows
	core        *Core
	subscribers []func(*View)
	view        atomic.Pointer[View]
	running     atomic.Bool
	joined      chan struct{}
	joinOnce    sync.Once
}

type namedRider struct {
	name  string
	rider Rider
}

// New returns a service whose handlers are registered on the options' Mux.
func New(options Options) *Service {
	if options.Log == nil {
		options.Log = &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	}
	if options.Random == 0 {
		options.Random = uint64(options.Self.Incarnation)
	}
	s := &Service{
		options: options,
		timing:  options.Timing.withDefaults(),
		log:     options.Log.WithField("node", options.Self.Node),
		sends:   semaphore.NewWeighted(maxSends),
		joined:  make(chan struct{}),
	}
	s.core = NewCore(options.Self, s.timing, options.Random, time.Now())
	s.view.Store(s.core.View())
	registerMetrics(options.Registerer, s)
	peer.Handle(options.Mux, MethodPing, s.handlePing)
	peer.Handle(options.Mux, MethodRelay, s.handleRelay)
	peer.Handle(options.Mux, MethodSync, s.handleSync)
	return s
}

// AddRider lets rider's updates travel under name. It must be called before Run.
func (s *Service) AddRider(name string, rider Rider) {
	s.riders = append(s.riders, namedRider{name: name, rider: rider})
}

// View returns the present picture of the cluster; it is never nil.
func (s *Service) View() *View { return s.view.Load() }

// Subscribe calls observe with each new view, from one goroutine at a time.
// observe must not block. It should be called before Run.
func (s *Service) Subscribe(observe func(*View)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.subscribers = append(s.subscribers, observe)
}

// Joined is closed once this node has exchanged tables with another one.
func (s *Service) Joined() <-chan struct{} { return s.joined }

// Hasten spreads riders' news in a burst instead of with the usual probes.
func (s *Service) Hasten() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.core.Hasten()
}

// Stats returns the protocol's counters.
func (s *Service) Stats() Stats {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.core.Stats()
}

// Lookup returns what is known of a node; unlike the view it knows the dead.
func (s *Service) Lookup(node id.Node) (Member, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.core.Lookup(node)
}

// Run takes part in the cluster until ctx ends, and then returns nil. It fails
// with fault.Conflict when a later process runs under the same node name.
func (s *Service) Run(ctx context.Context) error {
	s.running.Store(true)
	ctx, cancel := context.WithCancel(ctx)
	var seeking sync.WaitGroup
	seeking.Go(func() { s.seek(ctx) })
	defer s.awaitSends()
	defer seeking.Wait()
	defer cancel()
	ticker := time.NewTicker(s.timing.GossipInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			s.farewell()
			return nil
		case <-ticker.C:
			if err := s.tick(ctx); err != nil {
				return err
			}
		}
	}
}

// awaitSends waits for all requests in progress; no further ones can start.
func (s *Service) awaitSends() {
	_ = s.sends.Acquire(context.Background(), maxSends) // it fails only with its context
}

func (s *Service) tick(ctx context.Context) error {
	s.mutex.Lock()
	sends := s.core.Tick(time.Now())
	superseded := s.core.Superseded()
	s.mutex.Unlock()
	s.publish()
	if superseded {
		return fault.Newf(fault.Conflict, "stop one of them, or mend this machine's clock",
			"a later process runs under the node name %s", s.options.Self.Node)
	}
	s.dispatch(ctx, sends)
	return nil
}

// publish replaces the view if it has changed and tells the subscribers.
func (s *Service) publish() {
	s.publishing.Lock()
	defer s.publishing.Unlock()
	s.mutex.Lock()
	if !s.core.TakeChanged() {
		s.mutex.Unlock()
		return
	}
	view := s.core.View()
	subscribers := slices.Clone(s.subscribers)
	s.mutex.Unlock()
	previous := s.view.Swap(view)
	s.logChanges(previous, view)
	for _, observe := range subscribers {
		observe(view)
	}
}

// Leave announces that this node stops and waits until the news has been passed
// on, or until ctx ends. Probes are still answered afterwards; end Run's context
// when the node has drained.
func (s *Service) Leave(ctx context.Context) error {
	s.mutex.Lock()
	s.core.Leave()
	s.core.Hasten()
	s.mutex.Unlock()
	ticker := time.NewTicker(s.timing.GossipInterval)
	defer ticker.Stop()
	for s.running.Load() && s.announcing() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fault.New(fault.DeadlinePassed, "leaving was not announced in time", "others will notice the stop by probes")
		}
	}
	return nil
}

func (s *Service) announcing() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.core.Announcing()
}

// farewell tells a few members that a node which has announced its stop is gone.
func (s *Service) farewell() {
	s.running.Store(false)
	s.mutex.Lock()
	var sends []Send
	if s.core.Self().Leaves {
		sends = s.core.Farewell()
	}
	s.mutex.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), farewellTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, send := range sends {
		group.Go(func() { s.perform(ctx, send) })
	}
	group.Wait()
}

func (s *Service) handlePing(_ context.Context, message Message) (Message, error) {
	s.deliver(message.Riders)
	s.mutex.Lock()
	answer := s.core.HandlePing(time.Now(), message)
	s.mutex.Unlock()
	answer.Riders = s.collect()
	return answer, nil
}

func (s *Service) handleSync(_ context.Context, request SyncRequest) (SyncAnswer, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.core.HandleSync(time.Now(), request), nil
}

func (s *Service) handleRelay(ctx context.Context, request RelayRequest) (RelayAnswer, error) {
	s.mutex.Lock()
	send, ok := s.core.RelayPing(request)
	s.mutex.Unlock()
	if !ok {
		return RelayAnswer{}, nil
	}
	result := s.perform(ctx, send)
	return RelayAnswer{Reached: result == reached, Refused: result == refused}, nil
}
