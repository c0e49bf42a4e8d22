package forward

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cloverwheel/cloverwheel/internal/backend"
	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/evacuation"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/history"
	"github.com/cloverwheel/cloverwheel/internal/httpconn"
	"github.com/cloverwheel/cloverwheel/internal/locality"
	"github.com/cloverwheel/cloverwheel/internal/route"
	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/store/storetest"
)

// errReset is the error of a connection that breaks after the request was written.
var errReset = errors.New("connection reset")

// script is what a worker does with a call.
type script func(ctx context.Context, call Call) (*Answer, error)

// sent is a call as a worker received it.
type sent struct {
	worker string
	resume string
	body   string
	tenant string
	left   time.Duration
}

// fixture is a forwarder with scripted workers and a store in memory.
type fixture struct {
	t         *testing.T
	forwarder *Forwarder
	workers   *backend.Registry
	table     *storetest.Table
	tracker   *evacuation.Tracker

	mutex     sync.Mutex
	scripts   map[string]script
	calls     []sent
	reachable bool            // workers accept connections
	ended     map[string]bool // workers whose process has ended: their addresses refuse connections
	missEvery int             // every n-th connection fails all the same; 0: none
	dialError error           // error of failed connections; nil: an unspecific one
	dials     int             // test connections opened by the watchdog
}

func newFixture(t *testing.T, routes ...route.Route) *fixture {
	f := &fixture{t: t, table: storetest.New(), scripts: map[string]script{}, ended: map[string]bool{}, tracker: evacuation.New(nil)}
	f.workers = backend.NewRegistry(backend.Options{Zone: "z", Dial: f.dial, Zones: testPlaces, Evacuated: f.tracker.Evacuated})
	logger := &log.Logger{Handler: discard.New(), Level: log.InfoLevel}
	table := store.Store(f.table)
	f.forwarder = New(Options{
		Workers:   f.workers,
		Transport: f,
		Budgets:   budget.NewAccounts(budget.Options{Store: table, Self: budget.Holder{Process: "n"}}),
		History:   history.New(history.Options{Store: table, CacheBytes: 1 << 20}),
		Metrics:   NewMetrics(prometheus.NewRegistry()),
		Logger:    logger,
	})
	if len(routes) > 0 {
		services := []route.Service{{Name: "s", TokensPerEvent: 10}}
		f.forwarder.SetConfiguration(route.New(1, routes, services, route.Limits{}))
	}
	return f
}

func (f *fixture) dial(_ context.Context, address string) (net.Conn, error) {
	f.mutex.Lock()
	f.dials++
	dials, ended := f.dials, f.ended[address]
	f.mutex.Unlock()
	if ended {
		return nil, syscall.ECONNREFUSED
	}
	if !f.reachable || f.missEvery > 0 && dials%f.missEvery == 0 {
		return nil, cmp.Or(f.dialError, errors.New("no connections in this test"))
	}
	ours, _ := net.Pipe()
	return ours, nil
}

// dialCount returns the number of test connections opened by the watchdog.
func (f *fixture) dialCount() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.dials
}

// testPlaces has two zones in one region and one in another.
var testPlaces = locality.NewMap(map[string]string{"z": "one", "y": "one", "x": "other"})

// worker adds a worker of service s in zone z.
func (f *fixture) worker(id string, does script) { f.workerAt(id, "z", does) }

func (f *fixture) workerAt(id, zone string, does script) {
	f.scripts[id] = does
	f.workers.Put(backend.Record{ID: id, Service: "s", Address: id, Zone: zone, Slots: 4})
}

// Send implements Transport.
func (f *fixture) Send(ctx context.Context, worker *backend.Worker, call Call) (*Answer, error) {
	id := worker.Record().ID
	f.mutex.Lock()
	f.calls = append(f.calls, sent{worker: id, resume: call.LastEventID, body: string(bytes.Join(call.Body, nil)), tenant: call.Tenant, left: call.TimeLeft})
	does, ended := f.scripts[id], f.ended[id]
	f.mutex.Unlock()
	if ended {
		return nil, errors.Join(httpconn.ErrNotWritten, syscall.ECONNREFUSED)
	}
	return does(ctx, call)
}

func (f *fixture) sent() []sent {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append([]sent(nil), f.calls...)
}

// serve serves a request for /p/x and returns what the client received.
func (f *fixture) serve(ctx context.Context, change func(*Request)) *client {
	request := &Request{ID: "r1", Method: http.MethodPost, Target: "/p/x", Host: "h", Path: "/p/x", Header: http.Header{}, Body: []byte("in"), Timeout: 3 * time.Second}
	if change != nil {
		change(request)
	}
	got := &client{begun: time.Now()}
	f.forwarder.Serve(ctx, request, got)
	got.took = time.Since(got.begun)
	return got
}

// client is a Responder that records the answer.
type client struct {
	begun        time.Time
	took         time.Duration
	status       int
	body         bytes.Buffer
	ended        bool
	aborted      bool
	refusal      *fault.Error
	finalAnswers int
	onEvent      func()
	failWrites   bool
}

func (c *client) Answer(status int, _ http.Header, body []byte) error {
	c.finalAnswers++
	if c.failWrites {
		return errReset
	}
	c.status, c.ended = status, true
	c.body.Write(body)
	return nil
}

func (c *client) WriteHead(status int, _ http.Header, _ int64) error {
	c.status = status
	return nil
}

func (c *client) Write(raw []byte) error {
	if c.onEvent != nil {
		c.onEvent()
	}
	if c.failWrites {
		return errReset
	}
	c.body.Write(raw)
	return nil
}

func (c *client) End() {
	c.finalAnswers++
	c.ended = true
}

func (c *client) Abort() {
	c.finalAnswers++
	c.aborted = true
}

func (c *client) Refuse(refusal *fault.Error) {
	c.finalAnswers++
	c.refusal = refusal
}

// answers is a worker that answers at once.
func answers(status int, body string) script {
	return func(context.Context, Call) (*Answer, error) {
		return answer(status, false, strings.NewReader(body)), nil
	}
}

func answer(status int, stream bool, body io.Reader) *Answer {
	return &Answer{Status: status, Header: http.Header{}, Length: -1, Stream: stream, Body: body, Close: func(bool) {}}
}

// declines is a worker that answers that it did not run the call.
func declines(context.Context, Call) (*Answer, error) {
	declined := answer(http.StatusServiceUnavailable, false, strings.NewReader(""))
	declined.Declined = true
	return declined, nil
}

// resets is a worker whose connection breaks after the call was written.
func resets(context.Context, Call) (*Answer, error) { return nil, errReset }

// ends is a worker whose process ends when it gets a call.
func (f *fixture) ends(id string) script {
	return func(context.Context, Call) (*Answer, error) {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		f.ended[id] = true
		return nil, io.ErrUnexpectedEOF
	}
}

// refusesConnections is a worker that accepts no connections.
func refusesConnections(context.Context, Call) (*Answer, error) {
	return nil, errors.Join(httpconn.ErrNotWritten, errReset)
}

// atConnectionLimit is a worker to which no further connections may be opened.
func atConnectionLimit(context.Context, Call) (*Answer, error) {
	return nil, errors.Join(httpconn.ErrNotWritten, httpconn.ErrConnectionLimit)
}

// hangs is a worker that never answers.
func hangs(ctx context.Context, _ Call) (*Answer, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// streams is a worker that sends the events up to last that follow the call's LastEventID. Unless
// breakAt is zero, the stream breaks after that event.
func streams(last, breakAt int) script {
	return func(_ context.Context, call Call) (*Answer, error) {
		first := 1
		if call.LastEventID != "" {
			_, _ = fmt.Sscan(call.LastEventID, &first)
			first++
		}
		var body strings.Builder
		for id := first; id <= last; id++ {
			if breakAt > 0 && id > breakAt {
				body.WriteString("id: 99\nda")
				break
			}
			body.WriteString(event(id))
		}
		return answer(http.StatusOK, true, strings.NewReader(body.String())), nil
	}
}

func event(id int) string { return fmt.Sprintf("id: %d\ndata: t%d\n\n", id, id) }

func events(last int) string {
	var all strings.Builder
	for id := 1; id <= last; id++ {
		all.WriteString(event(id))
	}
	return all.String()
}

func newHistory(table store.Store) *history.TurnStore {
	return history.New(history.Options{Store: table, CacheBytes: 1 << 20})
}
