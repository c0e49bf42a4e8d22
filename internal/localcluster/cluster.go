package localcluster

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"github.com/cloverwheel/cloverwheel/internal/engine"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/node"
	"github.com/cloverwheel/cloverwheel/internal/outside"
	"github.com/cloverwheel/cloverwheel/internal/settings"
	"github.com/cloverwheel/cloverwheel/internal/standin"
	"github.com/cloverwheel/cloverwheel/internal/template"
	"github.com/cloverwheel/cloverwheel/internal/worker"
)

// Keys of a local cluster; it is reachable from this machine alone.
const (
	PeerKey     = "local-cluster-peer-key"
	OperatorKey = "local-cluster-operator-key"
)

// freeAddress lets the system choose a port on loopback.
const freeAddress = "127.0.0.1:0"

// readyPoll is the time between looks at whether all nodes are ready.
const readyPoll = 20 * time.Millisecond

// Options configure a Cluster.
type Options struct {
	Zones  []string // nodes are spread over them in turn
	Region string
	Nodes  int
	Shards uint32 // zero: the default of settings
	// Fleet holds the stand-ins. The cluster does not close it.
	Fleet *standin.Fleet
	// Initial makes the first configuration.
	Initial *template.Configuration
	Policy  worker.Policy // zero: the default
	Log     log.Interface // nil: log.Log
}

// Cluster is a set of nodes in this process.
type Cluster struct {
	options Options

	mutex sync.Mutex
	nodes map[id.Node]*running
	names []id.Node
	// public keeps a node's address over restarts, as callers know it.
	public map[id.Node]string
}

// running is one start of a node.
type running struct {
	node *node.Node
	stop context.CancelFunc
	done chan struct{}
	err  error // of Run, once done is closed
}

// Start starts all nodes and waits until they are ready or ctx ends.
func Start(ctx context.Context, options Options) (*Cluster, error) {
	c := &Cluster{options: options, nodes: map[id.Node]*running{}, public: map[id.Node]string{}}
	for i := range options.Nodes {
		name := id.Node(fmt.Sprintf("node-%d", i+1))
		c.names = append(c.names, name)
		if err := c.StartNode(name); err != nil {
			return nil, errors.Join(err, c.Close())
		}
	}
	if err := c.WaitReady(ctx); err != nil {
		return nil, errors.Join(err, c.Close())
	}
	return c, nil
}

// StartNode starts a node, also again after it was killed or drained.
func (c *Cluster) StartNode(name id.Node) error {
	n, err := node.New(node.Options{
		Settings: c.settings(name),
		Platform: c.platform(),
		Initial:  c.options.Initial,
		Policy:   c.options.Policy,
		Log:      c.options.Log,
	})
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	started := &running{node: n, stop: stop, done: make(chan struct{})}
	c.mutex.Lock()
	c.nodes[name] = started
	c.public[name] = n.PublicAddress()
	c.mutex.Unlock()
	go func() {
		defer close(started.done)
		started.err = n.Run(ctx)
	}()
	return nil
}

func (c *Cluster) settings(name id.Node) *settings.Settings {
	chosen := &settings.Settings{
		Node:         name,
		Internal:     freeAddress,
		Public:       c.publicAddress(name),
		Zone:         c.zone(name),
		Region:       c.options.Region,
		PeerKeys:     []string{PeerKey},
		OperatorKeys: []string{OperatorKey},
		Shards:       c.options.Shards,
		Replicas:     settings.DefaultReplicas,
	}
	if chosen.Shards == 0 {
		chosen.Shards = settings.DefaultShards
	}
	return chosen
}

func (c *Cluster) publicAddress(name id.Node) string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if known, ok := c.public[name]; ok {
		return known
	}
	return freeAddress
}

func (c *Cluster) zone(name id.Node) string {
	for i, known := range c.names {
		if known == name && len(c.options.Zones) > 0 {
			return c.options.Zones[i%len(c.options.Zones)]
		}
	}
	return "local"
}

func (c *Cluster) platform() node.Platform {
	fleet := c.options.Fleet
	transport := &http.Transport{MaxIdleConnsPerHost: 256}
	options := func(address string) outside.Options {
		return outside.Options{Address: address, Transport: transport}
	}
	return node.Platform{
		Table:    outside.NewHTTPTable(options(fleet.TableAddress())),
		Objects:  outside.NewHTTPObjects(options(fleet.ObjectsAddress())),
		Machines: outside.NewHTTPMachines(options(fleet.MachinesAddress())),
		Tools:    outside.NewHTTPTools(outside.Options{Transport: transport}),
		Dial: func(machine outside.Machine) engine.Client {
			return engine.NewHTTP(engine.HTTPOptions{Address: machine.Address, Transport: transport})
		},
	}
}

// WaitReady waits until all running nodes may serve.
func (c *Cluster) WaitReady(ctx context.Context) error {
	ticker := time.NewTicker(readyPoll)
	defer ticker.Stop()
	for !c.ready() {
		select {
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "wait for the nodes to become ready")
		case <-ticker.C:
		}
	}
	return nil
}

func (c *Cluster) ready() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, started := range c.nodes {
		if !started.node.Ready() {
			return false
		}
	}
	return true
}

// Addresses returns host:port of the callers' listeners of running nodes.
func (c *Cluster) Addresses() []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var addresses []string
	for _, name := range c.names {
		if started, ok := c.nodes[name]; ok {
			addresses = append(addresses, started.node.PublicAddress())
		}
	}
	return addresses
}

// Names returns the names of all nodes, running or not.
func (c *Cluster) Names() []id.Node { return c.names }

// Kill ends a node at once, without a drain, and forgets all it knew.
func (c *Cluster) Kill(name id.Node) {
	if started, ok := c.take(name); ok {
		started.stop()
		<-started.done
	}
}

// Drain stops a node in good order and returns Run's error.
func (c *Cluster) Drain(ctx context.Context, name id.Node) error {
	started, ok := c.take(name)
	if !ok {
		return eris.Errorf("no node %q runs", name)
	}
	started.node.Drain(ctx)
	select {
	case <-started.done:
		return started.err
	case <-ctx.Done():
		started.stop()
		return eris.Wrapf(ctx.Err(), "drain node %q", name)
	}
}

func (c *Cluster) take(name id.Node) (*running, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	started, ok := c.nodes[name]
	delete(c.nodes, name)
	return started, ok
}

// Close ends all nodes at once.
func (c *Cluster) Close() error {
	for _, name := range c.names {
		c.Kill(name)
	}
	return nil
}
