package simcluster

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/peer"
)

// Latencies, one way.
const (
	withinZone   = 200 * time.Microsecond
	betweenZones = 1500 * time.Microsecond
)

// Addresses of what no zone holds.
const (
	platformAddress = "platform"
	callersAddress  = "callers"
)

// lateLimit bounds the work on a message that arrives after its sender gave up.
const lateLimit = 5 * time.Second

// place is one process: a start of a node, an engine, the platform or callers.
type place struct {
	zone   string
	paused bool
	life   context.Context // ends with the process
	die    context.CancelFunc
}

// network connects all processes. A message over a cut link waits until the
// link heals, as TCP would repeat it; one that its sender gave up on arrives
// then all the same.
type network struct {
	*peer.MemoryNetwork

	mutex     sync.Mutex
	places    map[string]*place
	cut       map[string]bool // zones, from each other
	isolated  map[string]bool // zones, from the platform
	duplicate bool            // every message between nodes arrives twice
	changed   chan struct{}   // closed at the next change
	listeners map[string]*listener
	closed    context.Context
	close     context.CancelFunc
}

func newNetwork() *network {
	n := &network{
		MemoryNetwork: peer.NewMemoryNetwork(),
		places:        map[string]*place{},
		cut:           map[string]bool{},
		isolated:      map[string]bool{},
		changed:       make(chan struct{}),
		listeners:     map[string]*listener{},
	}
	n.closed, n.close = context.WithCancel(context.Background())
	n.SetFaultInjector(n.judge)
	n.add(platformAddress, "")
	n.add(callersAddress, "")
	return n
}

// add makes a process reachable. One of the same address is replaced.
func (n *network) add(address, zone string) {
	life, die := context.WithCancel(n.closed)
	n.change(func() { n.places[address] = &place{zone: zone, life: life, die: die} })
}

// change applies a change and wakes all messages that wait for one.
func (n *network) change(apply func()) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	apply()
	close(n.changed)
	n.changed = make(chan struct{})
}

func (n *network) kill(address string) {
	n.change(func() { n.places[address].die() })
}

func (n *network) setPaused(address string, paused bool) {
	n.change(func() { n.places[address].paused = paused })
}

func (n *network) setCut(zone string, cut bool) {
	n.change(func() { n.cut[zone] = cut })
}

// isolate cuts a zone off from the others and the platform.
func (n *network) isolate(zone string, isolated bool) {
	n.change(func() { n.cut[zone], n.isolated[zone] = isolated, isolated })
}

func (n *network) setDuplicate(duplicate bool) {
	n.change(func() { n.duplicate = duplicate })
}

func (n *network) judge(from, to peer.Address, _ string) peer.InjectedFault {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	verdict := peer.InjectedFault{Delay: betweenZones, Duplicate: n.duplicate}
	sender, receiver := n.places[string(from)], n.places[string(to)]
	if sender != nil && receiver != nil && sender.zone == receiver.zone {
		verdict.Delay = withinZone
	}
	return verdict
}

// open reports whether messages pass, and else what to wait for. Callers reach
// every zone.
func (n *network) open(from, to string) (bool, <-chan struct{}) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	a, b := n.places[from], n.places[to]
	apart := a.zone != b.zone && a.zone != "" && b.zone != "" && (n.cut[a.zone] || n.cut[b.zone])
	isolated := (from == platformAddress || to == platformAddress) && (n.isolated[a.zone] || n.isolated[b.zone])
	return !a.paused && !b.paused && !apart && !isolated, n.changed
}

// both returns a context that ends with the caller's or either process.
func (n *network) both(ctx context.Context, from, to string) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, address := range []string{from, to} {
		known := n.places[address]
		if known == nil {
			cancel()
			continue
		}
		context.AfterFunc(known.life, cancel)
	}
	return ctx, cancel
}

func (n *network) dead(address string) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	known := n.places[address]
	return known == nil || known.life.Err() != nil
}

// pass waits until the link is open, at most until ctx ends.
func (n *network) pass(ctx context.Context, from, to string) error {
	for ctx.Err() == nil {
		open, changed := n.open(from, to)
		if open {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// exchange sends a request, which do carries out at the receiver, and waits for
// its answer. A request that its sender gives up on may still arrive.
func (n *network) exchange(ctx context.Context, from, to string, do func(context.Context) error) error {
	if n.dead(from) || n.dead(to) {
		return unreachable(to, fault.RanNo)
	}
	ctx, cancel := n.both(ctx, from, to)
	defer cancel()
	if n.pass(ctx, from, to) != nil {
		go n.deliverLate(from, to, do)
		return unreachable(to, fault.RanUnknown)
	}
	err := do(ctx)
	if n.pass(ctx, to, from) != nil {
		return unreachable(to, fault.RanUnknown)
	}
	return err
}

func (n *network) deliverLate(from, to string, do func(context.Context) error) {
	ctx, cancel := n.both(context.Background(), to, to)
	defer cancel()
	if n.pass(ctx, from, to) != nil {
		return
	}
	ctx, cancel = context.WithTimeout(ctx, lateLimit)
	defer cancel()
	_ = do(ctx)
}

func unreachable(to string, ran fault.Ran) error {
	return fault.Newf(fault.Unavailable, "try another", "%s is unreachable", to).WithRan(ran)
}

// Transport implements node.Network.
func (n *network) Transport(from peer.Address) peer.Transport {
	return &transport{network: n, from: string(from), inner: n.MemoryNetwork.Transport(from)}
}

// transport is one node's way to the others.
type transport struct {
	network *network
	from    string
	inner   peer.Transport
}

// Call implements peer.Transport.
func (t *transport) Call(ctx context.Context, to peer.Address, method string, request []byte) ([]byte, error) {
	var answer []byte
	var mutex sync.Mutex // a late delivery may come beside the return
	err := t.network.exchange(ctx, t.from, string(to), func(ctx context.Context) error {
		got, err := t.inner.Call(ctx, to, method, request)
		mutex.Lock()
		defer mutex.Unlock()
		answer = got
		return err
	})
	mutex.Lock()
	defer mutex.Unlock()
	return answer, err
}

// Stream implements peer.Transport.
func (t *transport) Stream(ctx context.Context, to peer.Address, method string, request []byte, receive func([]byte) error) error {
	return t.network.exchange(ctx, t.from, string(to), func(arrived context.Context) error {
		return t.inner.Stream(arrived, to, method, request, func(item []byte) error {
			if ctx.Err() != nil || t.network.pass(arrived, string(to), t.from) != nil {
				return unreachable(string(to), fault.RanUnknown)
			}
			return receive(item)
		})
	})
}

// Listen implements node.Network.
func (n *network) Listen(address string) (net.Listener, error) {
	l := &listener{network: n, name: address, arrivals: make(chan net.Conn)}
	l.open, l.shut = context.WithCancel(n.closed)
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.listeners[address] = l
	return l, nil
}

// own says which process the listener at a public address belongs to.
func (n *network) own(public, internal string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.listeners[public].internal = internal
	n.listeners[public].process = n.places[internal].life
}

// dial connects a caller with a node.
func (n *network) dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mutex.Lock()
	l := n.listeners[address]
	n.mutex.Unlock()
	caller, node := net.Pipe()
	if l == nil || l.open.Err() != nil {
		return nil, refused(address)
	}
	gated := &conn{Conn: node, listener: l}
	gated.open, gated.shut = context.WithCancel(l.process)
	context.AfterFunc(gated.open, func() { _ = node.Close() })
	select {
	case l.arrivals <- gated:
		return caller, nil
	case <-l.open.Done():
		return nil, refused(address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func refused(address string) error {
	return &net.OpError{Op: "dial", Net: "memory", Err: errors.New("connection refused by " + address)}
}

// listener is a node's door for callers.
type listener struct {
	network  *network
	name     string // address that callers know
	internal string // of the node's process
	process  context.Context
	arrivals chan net.Conn
	open     context.Context
	shut     context.CancelFunc
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case arrived := <-l.arrivals:
		return arrived, nil
	case <-l.open.Done():
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.shut()
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return address(l.name) }

type address string

func (a address) Network() string { return "memory" }
func (a address) String() string  { return string(a) }

// conn is a node's end of a caller's connection. It stands still while the node
// is paused and breaks when the node dies.
type conn struct {
	net.Conn
	listener *listener
	open     context.Context
	shut     context.CancelFunc
}

// Read implements net.Conn.
func (c *conn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if c.listener.network.pass(c.open, callersAddress, c.listener.internal) != nil {
		return 0, net.ErrClosed
	}
	return count, err
}

// Write implements net.Conn.
func (c *conn) Write(buffer []byte) (int, error) {
	if c.listener.network.pass(c.open, c.listener.internal, callersAddress) != nil {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(buffer)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.shut()
	return c.Conn.Close()
}
