package outside

import (
	"context"
	"net/http"
	"net/url"

	"github.com/cloverwheel/cloverwheel/internal/httpjson"
)

// Paths of the object store: PUT, GET and DELETE ?key= move one object's
// bytes, and GET of the listing path takes ?prefix=.
const (
	ObjectPath     = "/v1/object"
	ObjectListPath = "/v1/objects"
)

// KeysBody is the answer to a listing of objects.
type KeysBody struct {
	Keys []string `json:"keys"`
}

type httpObjects struct{ client *httpjson.Client }

// NewHTTPObjects returns a client of the object store.
func NewHTTPObjects(options Options) Objects {
	return &httpObjects{client: options.client("object store")}
}

// Put implements Objects.
func (o *httpObjects) Put(ctx context.Context, key string, value []byte) error {
	if value == nil {
		value = []byte{}
	}
	return o.client.Call(ctx, objectRequest(http.MethodPut, key, value), nil)
}

// Get implements Objects.
func (o *httpObjects) Get(ctx context.Context, key string) ([]byte, error) {
	return o.client.Bytes(ctx, objectRequest(http.MethodGet, key, nil))
}

// List implements Objects.
func (o *httpObjects) List(ctx context.Context, prefix string) ([]string, error) {
	query := url.Values{PrefixParameter: {prefix}}
	var body KeysBody
	err := o.client.Call(ctx, httpjson.Request{Method: http.MethodGet, Path: ObjectListPath, Query: query}, &body)
	return body.Keys, err
}

// Delete implements Objects.
func (o *httpObjects) Delete(ctx context.Context, key string) error {
	return o.client.Call(ctx, objectRequest(http.MethodDelete, key, nil), nil)
}

func objectRequest(method, key string, value []byte) httpjson.Request {
	request := httpjson.Request{Method: method, Path: ObjectPath, Query: url.Values{KeyParameter: {key}}}
	if value != nil {
		request.Body = value
	}
	return request
}
