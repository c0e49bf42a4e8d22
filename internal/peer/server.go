package peer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/rotisserie/eris"

	"github.com/cloverwheel/cloverwheel/internal/fault"
)

// overloadRetryAfter is the retry delay suggested to callers rejected for overload.
const overloadRetryAfter = 100 * time.Millisecond

// maxHeaderBytes limits the size of a request's headers.
const maxHeaderBytes = 16 << 10

// Server dispatches requests from other nodes to a Mux. It rejects unauthenticated
// requests before it reads the body.
type Server struct {
	options Options
	mux     *Mux
	http    *http.Server
	metrics *metrics
	calls   atomic.Int64
	streams atomic.Int64
}

// NewServer returns a server that dispatches requests to handlers.
func NewServer(options Options, handlers *Mux) *Server {
	options = options.withDefaults()
	protocols := &http.Protocols{}
	s := &Server{options: options, mux: handlers, metrics: newMetrics("server", options.Registerer)}
	s.http = &http.Server{
		Handler:           s.Handler(),
		Protocols:         protocols,
		ReadHeaderTimeout: options.MaxCallDuration,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          newErrorLog(options.Log),
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams:          maxConcurrentStreams,
			SendPingTimeout:               pingAfterIdle,
			PingTimeout:                   pingTimeout,
			MaxReceiveBufferPerStream:     streamWindow,
			MaxReceiveBufferPerConnection: connectionWindow,
		},
	}
	if options.TLS == nil {
		protocols.SetUnencryptedHTTP2(true)
		return s
	}
	protocols.SetHTTP2(true)
	s.http.TLSConfig = options.TLS.serverConfig()
	registerTLS(options.TLS, options.Registerer)
	return s
}

// Handler returns the HTTP handler, for use with another listener or server.
func (s *Server) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(pathCall+"{method}", s.authorize(s.serveCall)).Methods(http.MethodPost)
	router.HandleFunc(pathStream+"{method}", s.authorize(s.serveStream)).Methods(http.MethodPost)
	return router
}

// Serve accepts connections until Shutdown or Close is called, and then returns nil.
func (s *Server) Serve(listener net.Listener) error {
	err := s.serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrap(err, "serve peers")
}

func (s *Server) serve(listener net.Listener) error {
	if s.options.TLS != nil {
		return s.http.ServeTLS(listener, "", "")
	}
	return s.http.Serve(listener)
}

// Shutdown stops accepting connections and waits for requests in progress until
// ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Close closes all connections at once.
func (s *Server) Close() error { return s.http.Close() }

// authorize rejects unauthenticated requests and unsupported protocol versions.
func (s *Server) authorize(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !s.authenticated(r) {
			s.options.Log.WithField("remote", r.RemoteAddr).Warn("peer_refused_key")
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		if s.rejectVersion(w, r) {
			return
		}
		next(w, r)
	}
}

// authenticated reports whether the request carries an accepted key. If no keys are
// configured, a verified TLS client certificate is required instead.
func (s *Server) authenticated(r *http.Request) bool {
	if s.options.Keys.empty() {
		return s.options.TLS != nil && r.TLS != nil && len(r.TLS.VerifiedChains) > 0
	}
	return s.options.Keys.accepts(firstValue(r.Header, headerKey))
}

// acceptedRequest is a request of another node that was admitted and read.
type acceptedRequest struct {
	ctx    context.Context // ends with the time that the caller or this node allows
	method string
	body   []byte
}

// serveAccepted runs a handler for a request, unless the limit on those in progress is reached or the request is invalid. longest
// limits the handler's time.
func (s *Server) serveAccepted(w http.ResponseWriter, r *http.Request, active *atomic.Int64, limit int, longest time.Duration, handle func(acceptedRequest)) {
	release, ok := s.admit(w, active, limit)
	if !ok {
		return
	}
	defer release()
	body, ok := s.readRequest(w, r)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeLeft(r, longest))
	defer cancel()
	handle(acceptedRequest{ctx: ctx, method: mux.Vars(r)["method"], body: body})
}

func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	s.serveAccepted(w, r, &s.calls, s.options.MaxCalls, s.options.MaxCallDuration, func(request acceptedRequest) { s.answerCall(w, r, request) })
}

// answerCall runs a call and writes its answer.
func (s *Server) answerCall(w http.ResponseWriter, r *http.Request, request acceptedRequest) {
	method := request.method
	answer, err := s.runCall(request.ctx, method, request.body)
	s.metrics.done(s.methodLabel(method), err)
	if err != nil {
		writeFault(w, http.StatusUnprocessableEntity, fault.From(err))
		return
	}
	if short, hash := elideSchema(answer); hash != 0 && formatHash(hash) == firstValue(r.Header, headerResponseSchema) {
		answer = short
	}
	s.metrics.sent.WithLabelValues(s.methodLabel(method)).Add(float64(len(answer)))
	w.Header()["Content-Length"] = []string{strconv.Itoa(len(answer))}
	_, _ = w.Write(answer) // on failure the caller sees a truncated response
}

func (s *Server) runCall(ctx context.Context, method string, request []byte) (answer []byte, err error) {
	defer s.recoverPanic(method, &err)
	answer, err = s.mux.ServeCall(ctx, method, request)
	if err == nil && len(answer) > s.options.MaxResponse {
		return nil, tooLargeError("response", uint64(len(answer)), s.options.MaxResponse).WithRan(fault.RanYes)
	}
	return answer, err
}

func (s *Server) serveStream(w http.ResponseWriter, r *http.Request) {
	s.serveAccepted(w, r, &s.streams, s.options.MaxStreams, s.options.MaxStreamDuration, func(request acceptedRequest) { s.answerStream(w, request) })
}

// answerStream runs a stream's handler and writes its items.
func (s *Server) answerStream(w http.ResponseWriter, request acceptedRequest) {
	method := request.method
	stream := newItemWriter(w, s.options.MaxItem)
	err := s.runStream(request.ctx, method, request.body, stream.send)
	s.metrics.done(s.methodLabel(method), err)
	s.metrics.sent.WithLabelValues(s.methodLabel(method)).Add(float64(stream.sent))
	stream.finish(err)
}

func (s *Server) runStream(ctx context.Context, method string, request []byte, send func([]byte) error) (err error) {
	defer s.recoverPanic(method, &err)
	return s.mux.ServeStream(ctx, method, request, send)
}

// admit reserves one of limit slots, or rejects the request as overloaded.
func (s *Server) admit(w http.ResponseWriter, active *atomic.Int64, limit int) (release func(), ok bool) {
	if active.Add(1) > int64(limit) {
		active.Add(-1)
		writeFault(w, http.StatusServiceUnavailable, fault.Newf(fault.Overloaded, "retry later or try another node",
			"limit of %d concurrent peer messages is reached", limit).WithRetryAfter(overloadRetryAfter))
		return nil, false
	}
	s.metrics.active.Inc()
	return func() {
		s.metrics.active.Dec()
		active.Add(-1)
	}, true
}

// readRequest reads the whole body. Its length must be declared and within the limit.
func (s *Server) readRequest(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	if r.ContentLength <= 0 {
		writeFault(w, http.StatusLengthRequired, fault.New(fault.Invalid, "peer request without a length", "run the same version on all nodes"))
		return nil, false
	}
	if r.ContentLength > int64(s.options.MaxRequest) {
		writeFault(w, http.StatusRequestEntityTooLarge, tooLargeError("request", uint64(r.ContentLength), s.options.MaxRequest))
		return nil, false
	}
	request, err := readSized(r.Body, int(r.ContentLength))
	if err != nil {
		writeFault(w, http.StatusBadRequest, fault.New(fault.Invalid, "peer request body was truncated", "send the request again"))
		return nil, false
	}
	s.metrics.received.WithLabelValues(s.methodLabel(mux.Vars(r)["method"])).Add(float64(len(request)))
	whole, _, known := restoreSchema(request)
	if !known {
		writeFault(w, http.StatusPreconditionRequired, fault.New(fault.Invalid, "unknown peer schema", "send the message with its schema"))
		return nil, false
	}
	return whole, true
}

// recoverPanic turns a handler's panic into a typed error.
func (s *Server) recoverPanic(method string, err *error) {
	cause := recover()
	if cause == nil {
		return
	}
	s.options.Log.WithField("method", method).WithField("cause", cause).WithField("stack", string(debug.Stack())).Error("peer_handler_panic")
	*err = fault.Newf(fault.Internal, "report it with the log lines around it", "handler of %s panicked: %v", method, cause).
		WithRan(fault.RanUnknown)
}

// methodLabel returns the metric label for a method. Unregistered methods share one
// label, so that the number of time series stays bounded.
func (s *Server) methodLabel(method string) string {
	if s.mux.calls[method] == nil && s.mux.streams[method] == nil {
		return "unknown"
	}
	return method
}

// timeLeft returns the time until the caller's deadline, at most limit.
func timeLeft(r *http.Request, limit time.Duration) time.Duration {
	milliseconds, err := strconv.ParseInt(firstValue(r.Header, headerDeadline), 10, 64)
	if err != nil || milliseconds <= 0 || milliseconds > limit.Milliseconds() {
		return limit
	}
	return time.Duration(milliseconds) * time.Millisecond
}

// firstValue is http.Header.Get for a key that is already in canonical form.
func firstValue(header http.Header, key string) string {
	if values := header[key]; len(values) > 0 {
		return values[0]
	}
	return ""
}
