package peer

import (
	"context"
	"reflect"

	"github.com/cloverwheel/cloverwheel/internal/fault"
)

// Address is the host:port of a node's internal listener; the host is an IP address.
type Address string

// Transport sends encoded messages to other nodes. Errors returned by the remote
// handler arrive as *fault.Error. A transport failure is reported as
// fault.Unavailable, with RanNo if the request certainly did not reach the peer and
// with RanUnknown otherwise.
type Transport interface {
	// Call sends one request and waits for one response.
	Call(ctx context.Context, to Address, method string, request []byte) ([]byte, error)
	// Stream sends one request and passes each response item to receive until
	// the handler returns, receive fails, or ctx ends.
	Stream(ctx context.Context, to Address, method string, request []byte, receive func(item []byte) error) error
}

// CallHandler handles one encoded request and returns the encoded response.
type CallHandler func(ctx context.Context, request []byte) ([]byte, error)

// StreamHandler handles one encoded request and sends any number of items. send
// blocks while the receiver is slow and fails once it has disconnected.
type StreamHandler func(ctx context.Context, request []byte, send func(item []byte) error) error

// Mux holds the handlers of one node by method name. All handlers must be
// registered before serving starts.
type Mux struct {
	calls   map[string]CallHandler
	streams map[string]StreamHandler
}

// NewMux returns an empty Mux.
func NewMux() *Mux {
	return &Mux{calls: map[string]CallHandler{}, streams: map[string]StreamHandler{}}
}

// ServeCall runs the handler of method. An unknown method is a fault.Invalid.
func (m *Mux) ServeCall(ctx context.Context, method string, request []byte) ([]byte, error) {
	handler, ok := m.calls[method]
	if !ok {
		return nil, unknownMethod(method)
	}
	return handler(ctx, request)
}

// ServeStream runs the streaming handler of method. An unknown method is a
// fault.Invalid.
func (m *Mux) ServeStream(ctx context.Context, method string, request []byte, send func([]byte) error) error {
	handler, ok := m.streams[method]
	if !ok {
		return unknownMethod(method)
	}
	return handler(ctx, request, send)
}

func unknownMethod(method string) error {
	return fault.Newf(fault.Invalid, "run the same version on all nodes", "unknown peer method %q", method)
}

// Handle registers a typed request handler for method.
func Handle[Request, Response any](m *Mux, method string, handle func(context.Context, Request) (Response, error)) {
	registerType(reflect.TypeFor[Request]())
	registerType(reflect.TypeFor[Response]())
	m.calls[method] = func(ctx context.Context, payload []byte) ([]byte, error) {
		var request Request
		if err := Decode(payload, &request); err != nil {
			return nil, err
		}
		response, err := handle(ctx, request)
		if err != nil {
			return nil, err
		}
		return Encode(response)
	}
}

// HandleStream registers a typed streaming handler for method.
func HandleStream[Request, Item any](m *Mux, method string, handle func(context.Context, Request, func(Item) error) error) {
	registerType(reflect.TypeFor[Request]())
	registerType(reflect.TypeFor[Item]())
	m.streams[method] = func(ctx context.Context, payload []byte, send func([]byte) error) error {
		var request Request
		if err := Decode(payload, &request); err != nil {
			return err
		}
		return handle(ctx, request, func(item Item) error {
			encoded, err := Encode(item)
			if err != nil {
				return err
			}
			return send(encoded)
		})
	}
}

// Invoke calls method on the node at to and returns its typed response.
func Invoke[Response, Request any](ctx context.Context, t Transport, to Address, method string, request Request) (Response, error) {
	var response Response
	payload, err := Encode(request)
	if err != nil {
		return response, err
	}
	answer, err := t.Call(ctx, to, method, payload)
	if err != nil {
		return response, err
	}
	return response, Decode(answer, &response)
}

// InvokeStream calls a streaming method on the node at to and passes each typed
// item to receive. An error of receive ends the stream and is returned.
func InvokeStream[Item, Request any](ctx context.Context, t Transport, to Address, method string, request Request, receive func(Item) error) error {
	payload, err := Encode(request)
	if err != nil {
		return err
	}
	return t.Stream(ctx, to, method, payload, func(encoded []byte) error {
		var item Item
		if err := Decode(encoded, &item); err != nil {
			return err
		}
		return receive(item)
	})
}
