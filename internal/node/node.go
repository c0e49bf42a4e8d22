package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"

	"github.com/cloverwheel/cloverwheel/internal/config"
	"github.com/cloverwheel/cloverwheel/internal/dispatch"
	"github.com/cloverwheel/cloverwheel/internal/engine"
	"github.com/cloverwheel/cloverwheel/internal/gateway"
	"github.com/cloverwheel/cloverwheel/internal/ledger"
	"github.com/cloverwheel/cloverwheel/internal/member"
	"github.com/cloverwheel/cloverwheel/internal/outside"
	"github.com/cloverwheel/cloverwheel/internal/peer"
	"github.com/cloverwheel/cloverwheel/internal/settings"
	"github.com/cloverwheel/cloverwheel/internal/shard"
	"github.com/cloverwheel/cloverwheel/internal/template"
	"github.com/cloverwheel/cloverwheel/internal/worker"
)

// DefaultDrainLimit bounds a planned stop.
const DefaultDrainLimit = 2 * time.Minute

// Platform holds the clients of the platform's services.
type Platform struct {
	Table    outside.Table
	Objects  outside.Objects
	Machines outside.Machines
	Tools    outside.Tools
	// Dial returns the client of an engine.
	Dial func(outside.Machine) engine.Client
}

// Options configure a Node. Settings and Platform are required.
type Options struct {
	Settings *settings.Settings
	Platform Platform
	// Initial is the configuration of a cluster that has none; nil: none.
	Initial *template.Configuration
	// Policy schedules calls; zero: worker.DefaultPolicy.
	Policy worker.Policy
	// DrainLimit bounds a planned stop; zero: DefaultDrainLimit.
	DrainLimit time.Duration
	// Network carries all messages in place of sockets; nil: TCP.
	Network Network
	Log     log.Interface // nil: log.Log
}

// Node is one cloverwheel process.
type Node struct {
	options  Options
	log      log.Interface
	self     member.Member
	registry *prometheus.Registry

	public  net.Listener
	peers   peerEndpoint
	callers *http.Server

	members    *member.Service
	host       *shard.Host
	locator    shard.Locator
	config     *config.Service
	ledger     *ledger.Service
	catalog    *worker.Catalog
	workers    *worker.Service
	placer     *worker.Placer
	dispatcher *dispatch.Dispatcher
	gateway    *gateway.Gateway

	draining   sync.Once
	drainBegun chan struct{}
}

// New opens the listeners and wires the node. Run serves; Close frees the
// listeners of a node that is not run.
func New(options Options) (*Node, error) {
	if options.Log == nil {
		options.Log = log.Log
	}
	if options.DrainLimit == 0 {
		options.DrainLimit = DefaultDrainLimit
	}
	n := &Node{
		options:    options,
		log:        options.Log.WithField("node", options.Settings.Node),
		registry:   prometheus.NewRegistry(),
		drainBegun: make(chan struct{}),
	}
	if err := n.listen(); err != nil {
		return nil, err
	}
	if err := n.wire(); err != nil {
		n.Close()
		return nil, err
	}
	return n, nil
}

// listen opens both listeners and settles what the node calls itself.
func (n *Node) listen() error {
	chosen := n.options.Settings
	var err error
	if n.peers, err = n.openPeers(); err != nil {
		return err
	}
	if n.public, err = n.listenPublic(chosen.Public); err != nil {
		n.peers.close()
		return eris.Wrapf(err, "listen for callers at %s; choose a free public address", chosen.Public)
	}
	address := chosen.Advertise
	if address == "" || address == chosen.Internal {
		address = n.InternalAddress()
	}
	n.self = member.Member{
		Node:        chosen.Node,
		Incarnation: member.NewIncarnation(time.Now()),
		Address:     peer.Address(address),
		Public:      n.public.Addr().String(),
		Zone:        chosen.Zone,
		Region:      chosen.Region,
		State:       member.Alive,
	}
	return nil
}

// PublicAddress returns host:port of the callers' listener.
func (n *Node) PublicAddress() string { return n.public.Addr().String() }

// InternalAddress returns host:port of the other nodes' listener.
func (n *Node) InternalAddress() string { return n.peers.address() }

// Close frees the listeners.
func (n *Node) Close() {
	n.peers.close()
	_ = n.public.Close()
}

// Ready reports whether the node knows the configuration and its peers.
func (n *Node) Ready() bool {
	return n.config.Fresh() == nil && n.config.Current().Version > 0
}

// Drain begins a planned stop; Run returns nil once it is done.
func (n *Node) Drain(context.Context) {
	n.draining.Do(func() { close(n.drainBegun) })
}
