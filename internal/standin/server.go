package standin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/rotisserie/eris"

	"github.com/cloverwheel/cloverwheel/internal/httpjson"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/outside"
)

// FaultsPath is the administrative endpoint of every stand-in: GET shows the
// faults in force and PUT replaces them.
const FaultsPath = "/admin/faults"

const (
	maxRequest    = 64 << 20
	headerTimeout = 10 * time.Second
	anyPort       = "127.0.0.1:0"
)

// Server is a stand-in listening on loopback.
type Server struct {
	listener net.Listener
	server   *http.Server
}

// Serve starts serving handler at address; empty chooses a free loopback port.
func Serve(address string, handler http.Handler) (*Server, error) {
	if address == "" {
		address = anyPort
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", address)
	}
	s := &Server{listener: listener, server: &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}}
	go func() {
		if err := s.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			_ = s.Close()
		}
	}()
	return s, nil
}

// Address returns host:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close breaks all connections and stops listening.
func (s *Server) Close() error { return s.server.Close() }

// answer sends value or err. An answer that is to be lost breaks the connection.
func answer(w http.ResponseWriter, value any, err error) {
	if err == nil {
		httpjson.Write(w, value)
		return
	}
	if lost(err) {
		panic(http.ErrAbortHandler)
	}
	httpjson.WriteError(w, err)
}

// post serves a JSON request by a function.
func post[Request any](handle func(context.Context, Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var request Request
		if err := httpjson.Read(w, r, maxRequest, &request); err != nil {
			httpjson.WriteError(w, err)
			return
		}
		value, err := handle(r.Context(), request)
		answer(w, value, err)
	}
}

// empty is the answer to commands.
type empty struct{}

// handleFaults adds the administrative endpoint of a switch.
func handleFaults(router *mux.Router, faults *Switch) {
	router.HandleFunc(FaultsPath, func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, faults.Faults())
	}).Methods(http.MethodGet)
	router.HandleFunc(FaultsPath, post(func(_ context.Context, wanted Faults) (any, error) {
		faults.SetFaults(wanted)
		return wanted, nil
	})).Methods(http.MethodPut)
}

func requestParameter(r *http.Request) id.Request {
	return id.Request(r.URL.Query().Get(outside.RequestParameter))
}
