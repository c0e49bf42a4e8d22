package server

import (
	"net"
	"net/http"

	"github.com/cloverwheel/cloverwheel/internal/deadconn"
	"github.com/cloverwheel/cloverwheel/internal/inbound"
)

const (
	// maxControlHeaderBytes bounds the heads of readiness checks and operators' requests.
	maxControlHeaderBytes = 4 << 10
	// maxReadinessConnections and maxOperatorConnections bound the connections at the addresses for readiness checks and operators. They
	// come on top of those of clients, so that a node can always be asked whether it is ready.
	maxReadinessConnections = 256
	maxOperatorConnections  = 64
)

// controlServer serves readiness checks or operators. Its connections are bounded apart from those of clients.
type controlServer struct {
	http        *http.Server
	connections *inbound.Connections
}

// newControlServer returns a server for readiness checks or operators, named listener in logs and metrics.
func (s *Server) newControlServer(listener string, limit int, handler http.Handler) controlServer {
	connections := inbound.New(inbound.Options{
		Listener:     listener,
		Limit:        limit,
		CountRefused: func(reason inbound.Reason) { s.options.Metrics.RefusedEarly(listener, reason) },
		Logger:       s.options.Logger,
	})
	return controlServer{connections: connections, http: &http.Server{
		Handler:           inbound.WithoutBodies(handler),
		ConnContext:       inbound.WithConnection,
		ConnState:         connections.TrackState,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxControlHeaderBytes,
		ErrorLog:          newErrorLog(s.options.Logger),
	}}
}

// listen bounds the connections of a listener.
func (c controlServer) listen(listener net.Listener) net.Listener {
	return c.connections.Listen(listener, deadconn.Guard{})
}

// serve serves at a listener until the server is closed.
func (c controlServer) serve(listener net.Listener) error { return c.http.Serve(c.listen(listener)) }
