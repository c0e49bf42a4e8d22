package node

import (
	"net"

	"github.com/rotisserie/eris"

	"github.com/cloverwheel/cloverwheel/internal/peer"
)

// Network carries a node's messages in place of sockets, as tests of whole
// clusters in virtual time need it.
type Network interface {
	// Transport returns the transport of the node at an address.
	Transport(from peer.Address) peer.Transport
	// Attach makes mux reachable at an address; a nil mux ends that.
	Attach(address peer.Address, mux *peer.Mux)
	// Listen opens the callers' listener.
	Listen(address string) (net.Listener, error)
}

// peerEndpoint is where a node meets the other nodes.
type peerEndpoint interface {
	address() string
	transport() peer.Transport
	// handle sets the handlers; it comes before serve.
	handle(mux *peer.Mux)
	// serve answers other nodes until close.
	serve() error
	close()
}

// openPeers settles the address for other nodes.
func (n *Node) openPeers() (peerEndpoint, error) {
	chosen := n.options.Settings
	if network := n.options.Network; network != nil {
		return newNetworkPeers(network, peer.Address(chosen.Internal)), nil
	}
	options := peer.Options{Keys: peer.NewKeys(chosen.PeerKeys...), Log: n.log, Registerer: n.registry}
	if files := chosen.TLS.Internal; files.Certificate != "" {
		loaded, err := peer.LoadTLS(files.Certificate, files.Key, files.Authority)
		if err != nil {
			return nil, err
		}
		options.TLS = loaded
	}
	listener, err := net.Listen("tcp", chosen.Internal)
	if err != nil {
		return nil, eris.Wrapf(err, "listen for nodes at %s; choose a free internal address", chosen.Internal)
	}
	return &socketPeers{listener: listener, options: options, client: peer.NewHTTPTransport(options)}, nil
}

func (n *Node) listenPublic(address string) (net.Listener, error) {
	if network := n.options.Network; network != nil {
		return network.Listen(address)
	}
	return net.Listen("tcp", address)
}

// socketPeers meets other nodes over TCP.
type socketPeers struct {
	listener net.Listener
	options  peer.Options
	client   *peer.HTTPTransport
	server   *peer.Server // nil before handle
}

func (p *socketPeers) address() string           { return p.listener.Addr().String() }
func (p *socketPeers) transport() peer.Transport { return p.client }
func (p *socketPeers) handle(mux *peer.Mux)      { p.server = peer.NewServer(p.options, mux) }
func (p *socketPeers) serve() error              { return ignoreClosed(p.server.Serve(p.listener)) }

func (p *socketPeers) close() {
	if p.server != nil {
		_ = p.server.Close()
	}
	_ = p.listener.Close()
	p.client.Close()
}

// networkPeers meets other nodes over a Network.
type networkPeers struct {
	network Network
	own     peer.Address
	client  peer.Transport
	mux     *peer.Mux
}

func newNetworkPeers(network Network, own peer.Address) *networkPeers {
	return &networkPeers{network: network, own: own, client: network.Transport(own)}
}

func (p *networkPeers) address() string           { return string(p.own) }
func (p *networkPeers) transport() peer.Transport { return p.client }
func (p *networkPeers) handle(mux *peer.Mux)      { p.mux = mux }
func (p *networkPeers) close()                    { p.network.Attach(p.own, nil) }

func (p *networkPeers) serve() error {
	p.network.Attach(p.own, p.mux)
	return nil
}
