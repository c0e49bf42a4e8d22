package outside

import (
	"context"
	"net/http"
	"net/url"

	"github.com/cloverwheel/cloverwheel/internal/httpjson"
)

// TablePath is where the table service keeps its rows:
// GET ?key= reads one row, GET ?prefix= lists, PUT writes by compare-and-set.
const TablePath = "/v1/rows"

// Parameters of the queries of the table service and the object store.
const (
	KeyParameter    = "key"
	PrefixParameter = "prefix"
)

// RowBody is a row on the wire. In a write, Version is the version expected.
type RowBody struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value,omitempty"`
	Change  string `json:"change,omitempty"`
}

// RowsBody is the answer to a listing.
type RowsBody struct {
	Rows []RowBody `json:"rows"`
}

type httpTable struct{ client *httpjson.Client }

// NewHTTPTable returns a client of the table service.
func NewHTTPTable(options Options) Table {
	return &httpTable{client: options.client("table service")}
}

// Get implements Table.
func (t *httpTable) Get(ctx context.Context, key string) (Row, error) {
	query := url.Values{KeyParameter: {key}}
	var body RowBody
	err := t.client.Call(ctx, httpjson.Request{Method: http.MethodGet, Path: TablePath, Query: query}, &body)
	return Row(body), err
}

// CompareAndSet implements Table.
func (t *httpTable) CompareAndSet(ctx context.Context, key string, version uint64, value []byte, change string) (Row, error) {
	write := RowBody{Key: key, Version: version, Value: value, Change: change}
	var body RowBody
	err := t.client.Call(ctx, httpjson.Request{Method: http.MethodPut, Path: TablePath, Body: write}, &body)
	return Row(body), err
}

// List implements Table.
func (t *httpTable) List(ctx context.Context, prefix string) ([]Row, error) {
	query := url.Values{PrefixParameter: {prefix}}
	var body RowsBody
	if err := t.client.Call(ctx, httpjson.Request{Method: http.MethodGet, Path: TablePath, Query: query}, &body); err != nil {
		return nil, err
	}
	rows := make([]Row, len(body.Rows))
	for i, row := range body.Rows {
		rows[i] = Row(row)
	}
	return rows, nil
}
