package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is one run of a request at a worker.
type run struct {
	id, worker, method, target string
	bodyHash                   string
	bodyBytes                  int
	at                         time.Time
	lastEvent                  string
	ended                      time.Time // zero: it has not ended
	whole                      bool      // all of its answer was sent
}

// worker is a stand-in of a worker. It answers streams of events on paths of streaming routes, and plain answers on others.
type worker struct {
	id, address, service, zone string
	slots                      int
	answer                     func(w *worker, out http.ResponseWriter, r *http.Request, body []byte) // sends the answer's body
	server                     *http.Server
	mutex                      sync.Mutex
	runs                       []*run
}

// start serves requests and records the worker in the store.
func (w *worker) start(t *table) error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(listener) }()
	w.list(t, "ready")
	return nil
}

// list writes the worker's entry in the store.
func (w *worker) list(t *table, state string) {
	t.put("servers", w.id, map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": w.slots, "state": state,
		"coldLeftMs": 0, "callSeq": 0, "stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
	})
}

func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		out.Header().Set("Instance-Id", w.id)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		out.Header().Set("Instance-Id", w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("Request-Id")
	if id == "" {
		out.Header().Set("Not-Executed", "1")
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	sum := sha256.Sum256(body)
	begun := &run{id: id, worker: w.id, method: r.Method, target: r.RequestURI, bodyHash: hex.EncodeToString(sum[:8]), bodyBytes: len(body), at: time.Now(), lastEvent: r.Header.Get("Last-Event-Id")}
	w.mutex.Lock()
	w.runs = append(w.runs, begun)
	w.mutex.Unlock()
	out.Header().Set("Request-Id", id)
	out.Header().Set("Server-Stamp", "stamp."+w.id+"."+id)
	defer func() {
		w.mutex.Lock()
		begun.ended = time.Now()
		w.mutex.Unlock()
	}()
	w.answer(w, out, r, body)
	w.mutex.Lock()
	begun.whole = r.Context().Err() == nil
	w.mutex.Unlock()
}

// allRuns returns copies of the runs of a request at all workers; an empty id means all requests.
func allRuns(workers []*worker, id string) (runs []run) {
	for _, w := range workers {
		w.mutex.Lock()
		for _, one := range w.runs {
			if id == "" || one.id == id {
				runs = append(runs, *one)
			}
		}
		w.mutex.Unlock()
	}
	return runs
}

// describeRuns says where and when the runs of a request began, for the record.
func describeRuns(s *system, runs []run) string {
	if len(runs) == 0 {
		return "ran nowhere"
	}
	text := "ran at"
	for _, one := range runs {
		text += fmt.Sprintf(" %s from %.3f s", one.worker, one.at.Sub(s.begun).Seconds())
	}
	return text
}

// noteRuns writes all runs of all workers to the record.
func noteRuns(s *system) {
	for _, one := range allRuns(s.workers, "") {
		s.note("run: %s %s %s, a body of %d bytes, after event %q, at %s from %.3f s; whole answer sent: %v", one.id, one.method, one.target, one.bodyBytes, one.lastEvent, one.worker, one.at.Sub(s.begun).Seconds(), one.whole)
	}
}

const streamEvents = 10

// eventData is the data of an event of a request's stream.
func eventData(id string, event int) string { return fmt.Sprintf("piece %d of %s", event, id) }

// streamOutput is what a whole stream adds to a conversation: the data of each event, followed by a line feed.
func streamOutput(id string) (output []byte) {
	for event := 1; event <= streamEvents; event++ {
		output = append(output, eventData(id, event)+"\n"...)
	}
	return output
}

// streamAnswer sends a stream of events with ascending ids, from the one after Last-Event-Id. pause returns the time before an event.
func streamAnswer(pause func(r *http.Request, event int) time.Duration) func(*worker, http.ResponseWriter, *http.Request, []byte) {
	return func(_ *worker, out http.ResponseWriter, r *http.Request, _ []byte) {
		out.Header().Set("Content-Type", "text/event-stream")
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		for event := last + 1; event <= streamEvents; event++ {
			select {
			case <-time.After(pause(r, event)):
			case <-r.Context().Done():
				panic(http.ErrAbortHandler)
			}
			fmt.Fprintf(out, "id: %d\ndata: %s\n\n", event, eventData(r.Header.Get("Request-Id"), event))
			_ = http.NewResponseController(out).Flush()
		}
	}
}

// steadyPause is the usual pause before an event.
func steadyPause(_ *http.Request, event int) time.Duration {
	if event == 1 {
		return 40 * time.Millisecond
	}
	return 20 * time.Millisecond
}
