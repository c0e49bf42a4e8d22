package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is a request as a worker got it.
type arrival struct {
	id, path, lastEvent, previous, worker string
	body                                  string
	at                                    time.Time
}

// worker is one process of a worker, inside this program.
type worker struct {
	id, service, zone, version, address string
	system                              *system
	server                              *http.Server
	handle                              func(*worker, http.ResponseWriter, *http.Request, arrival)

	quiet atomic.Bool // its runs are not noted one by one

	mutex    sync.Mutex
	state    string
	slow     bool
	crashed  bool
	arrivals []arrival
}

// startWorker starts a worker at a free port and lists it.
func (s *system) startWorker(id, service, zone, version string, handle func(*worker, http.ResponseWriter, *http.Request, arrival)) *worker {
	w := &worker{id: id, service: service, zone: zone, version: version, system: s, state: "ready", handle: handle}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	w.address = listener.Addr().String()
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve)}
	go func() { _ = w.server.Serve(listener) }()
	s.workers = append(s.workers, w)
	w.list()
	return w
}

// list writes the worker's entry.
func (w *worker) list() {
	w.mutex.Lock()
	text, err := json.Marshal(map[string]any{"service": w.service, "address": w.address, "zone": w.zone, "version": w.version, "slots": 12, "state": w.state,
		"coldLeftMs": 0, "callSeq": 0})
	w.mutex.Unlock()
	must(err)
	w.system.store.put(row{rowKey: rowKey{Table: "servers", Key: w.id}, Value: text})
}

// crash ends the worker at once: its connections are closed and its address refuses new ones.
func (w *worker) crash() {
	w.mutex.Lock()
	crashed := w.crashed
	w.crashed = true
	w.mutex.Unlock()
	if !crashed {
		_ = w.server.Close()
	}
}

func (w *worker) setSlow(slow bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.slow = slow
}

func (w *worker) isSlow() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.slow
}

// got returns the requests that the worker got.
func (w *worker) got() []arrival {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return append([]arrival(nil), w.arrivals...)
}

func (w *worker) serve(out http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		out.Header().Set("Instance-Id", w.id)
		return
	}
	out.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		out.Header().Set("Instance-Id", w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	a := arrival{id: r.Header.Get("Request-Id"), path: r.RequestURI, lastEvent: r.Header.Get("Last-Event-Id"), previous: r.Header.Get("Previous-Turn"),
		worker: w.id, body: string(body), at: time.Now()}
	w.mutex.Lock()
	w.arrivals = append(w.arrivals, a)
	w.mutex.Unlock()
	w.say("worker %s runs %s %s (previous turn %q, last event %q) body %q", w.id, a.id, a.path, a.previous, a.lastEvent, short(a.body))
	w.handle(w, out, r, a)
}

// say writes a line of the record.
func (w *worker) say(format string, words ...any) {
	if !w.quiet.Load() {
		w.system.note(format, words...)
	}
}

func short(text string) string {
	if len(text) > 160 {
		return text[:120] + "..." + text[len(text)-30:]
	}
	return text
}

// stamp is the signature of the worker's answers.
func (w *worker) stamp(out http.ResponseWriter) { out.Header().Set("Server-Stamp", "3e1b.07."+w.id) }

// eventData is the data of an event: alike in each run of the same body.
func eventData(body string, number int) string {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(body))
	return fmt.Sprintf("%08x/%d", sum.Sum32(), number)
}

// stream is a worker's stream of events.
type stream struct {
	events int
	gap    time.Duration // between events
	slowBy int           // factor while the worker is slow
	// beat is the silence after which a slow worker sends a comment line, so that nobody takes its connection for dead; 0: never.
	beat time.Duration
}

func (s stream) handle(w *worker, out http.ResponseWriter, r *http.Request, a arrival) {
	w.stamp(out)
	out.Header().Set("Content-Type", "text/event-stream")
	flusher := out.(http.Flusher)
	last, _ := strconv.Atoi(a.lastEvent)
	for number := last + 1; number <= s.events; number++ {
		rest := s.gap
		if w.isSlow() {
			rest *= time.Duration(s.slowBy)
		}
		for rest > 0 {
			pause := rest
			if s.beat > 0 && pause > s.beat {
				pause = s.beat
			}
			select {
			case <-time.After(pause):
			case <-r.Context().Done():
				w.say("worker %s: %s ends after event %d, the connection is closed", w.id, a.id, number-1)
				return
			}
			if rest -= pause; rest > 0 {
				fmt.Fprint(out, ": waiting for the next token\n\n")
				flusher.Flush()
			}
		}
		fmt.Fprintf(out, "id: %d\ndata: %s\n\n", number, eventData(a.body, number))
		flusher.Flush()
	}
	w.say("worker %s: %s is whole", w.id, a.id)
}
