package member

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/peer"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

const testZones = 4

// cluster is many services over one memory network in virtual time.
type cluster struct {
	t       *testing.T
	network *peer.MemoryNetwork
	mutex   sync.Mutex
	running map[id.Node]*process
	cut     func(from, to peer.Address) bool

	listDown atomic.Bool // the platform's list of machines
}

// process is one start of a node.
type process struct {
	service *Service
	cancel  context.CancelFunc
	done    chan error
}

func newCluster(t *testing.T, nodes int) *cluster {
	c := &cluster{t: t, network: peer.NewMemoryNetwork(), running: map[id.Node]*process{}}
	c.network.SetFaultInjector(func(from, to peer.Address, _ string) peer.InjectedFault {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		return peer.InjectedFault{Delay: time.Millisecond, Drop: c.cut != nil && c.cut(from, to)}
	})
	for i := range nodes {
		c.start(i, nil)
	}
	return c
}

func nodeName(number int) id.Node { return id.Node(fmt.Sprintf("node-%03d", number)) }

func addressOf(node id.Node) peer.Address { return peer.Address(node + ":1") }

func zoneOf(number int) string { return fmt.Sprintf("zone-%d", number%testZones) }

func (c *cluster) start(number int, rider Rider) *process {
	node := nodeName(number)
	mux := peer.NewMux()
	service := New(Options{
		Self: Member{
			Node: node, Incarnation: NewIncarnation(time.Now()), Address: addressOf(node), Zone: zoneOf(number), Region: "north",
		},
		Transport: c.network.Transport(addressOf(node)),
		Mux:       mux,
		Seeds:     c.seeds,
		Random:    uint64(number + 1),
	})
	if rider != nil {
		service.AddRider("test", rider)
	}
	ctx, cancel := context.WithCancel(context.Background())
	started := &process{service: service, cancel: cancel, done: make(chan error, 1)}
	c.mutex.Lock()
	c.running[node] = started
	c.mutex.Unlock()
	c.network.Attach(addressOf(node), mux)
	go func() { started.done <- service.Run(ctx) }()
	return started
}

func (c *cluster) seeds(context.Context) ([]peer.Address, error) {
	if c.listDown.Load() {
		return nil, errors.New("the list is down")
	}
	var addresses []peer.Address
	for i := range 3 {
		addresses = append(addresses, addressOf(nodeName(i)))
	}
	return addresses, nil
}

// kill ends a process without a word.
func (c *cluster) kill(number int) {
	node := nodeName(number)
	c.network.Attach(addressOf(node), nil)
	c.mutex.Lock()
	killed := c.running[node]
	delete(c.running, node)
	c.mutex.Unlock()
	killed.cancel()
	<-killed.done
}

// setCut drops what the predicate names; nil heals everything.
func (c *cluster) setCut(cut func(from, to peer.Address) bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.cut = cut
}

// separate cuts one group of nodes from the rest, in both directions.
func separate(inside func(peer.Address) bool) func(from, to peer.Address) bool {
	return func(from, to peer.Address) bool { return inside(from) != inside(to) }
}

func inZone(zone string, nodes int) func(peer.Address) bool {
	inside := map[peer.Address]bool{}
	for i := range nodes {
		inside[addressOf(nodeName(i))] = zoneOf(i) == zone
	}
	return func(address peer.Address) bool { return inside[address] }
}

func (c *cluster) stopAll() {
	for _, p := range c.running {
		p.cancel()
	}
	for _, p := range c.running {
		require.NoError(c.t, <-p.done)
	}
}

// await passes virtual time until the condition holds on every running node.
func (c *cluster) await(within time.Duration, what string, condition func(*View) bool) time.Duration {
	c.t.Helper()
	return c.poll(within, what, func() bool { return c.all(condition) })
}

// awaitAny passes virtual time until the condition holds on some running node.
func (c *cluster) awaitAny(within time.Duration, what string, condition func(*View) bool) time.Duration {
	c.t.Helper()
	return c.poll(within, what, func() bool {
		return !c.all(func(view *View) bool { return !condition(view) })
	})
}

func (c *cluster) poll(within time.Duration, what string, condition func() bool) time.Duration {
	c.t.Helper()
	begun := time.Now()
	for {
		synctest.Wait()
		if condition() {
			return time.Since(begun)
		}
		if time.Since(begun) > within {
			require.Fail(c.t, "not in time: "+what)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (c *cluster) all(condition func(*View) bool) bool {
	for _, p := range c.running {
		if !condition(p.service.View()) {
			return false
		}
	}
	return true
}

// sees counts the members in a state.
func sees(view *View, state State) int {
	count := 0
	for _, m := range view.Members {
		if m.State == state {
			count++
		}
	}
	return count
}

func healthy(nodes int) func(*View) bool {
	return func(view *View) bool { return len(view.Members) == nodes && sees(view, Alive) == nodes }
}
