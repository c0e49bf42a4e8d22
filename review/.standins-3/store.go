package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// rowKey names a row of the store.
type rowKey struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

// row is a row of the store as it is sent.
type row struct {
	rowKey
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver,omitempty"`
	Gone    bool   `json:"gone,omitempty"`
}

// store is the platform's store in memory: rows with versions, conditional transactions and a feed.
type store struct {
	mutex   sync.Mutex
	parts   map[[2]string]map[string]row // by table and part, then by key
	history map[string][]row             // changes by table
	changed map[string]chan struct{}     // closed at the next change of a table
	version uint64
	begun   time.Time
	server  *http.Server
	address string
	reads   limit // calls that nodes may make; more get 429
	writes  limit
	calls   map[string]int // answered calls by kind
}

// limit is a number of calls in a second, over all callers.
type limit struct {
	perSecond float64 // 0: none
	left      float64
	at        time.Time
}

// take counts a call and reports whether it is inside the limit.
func (l *limit) take(now time.Time) bool {
	if l.perSecond == 0 {
		return true
	}
	const window = 0.1 // seconds for which unused calls may be saved up
	l.left = min(l.left+l.perSecond*now.Sub(l.at).Seconds(), l.perSecond*window)
	l.at = now
	if l.left < 1 {
		return false
	}
	l.left--
	return true
}

// admit counts a call of a node and answers it with 429 if there are too many.
func (s *store) admit(w http.ResponseWriter, l *limit, kind string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !l.take(time.Now()) {
		s.calls[kind+" 429"]++
		w.WriteHeader(http.StatusTooManyRequests)
		return false
	}
	s.calls[kind]++
	return true
}

// counts returns the calls so far.
func (s *store) counts() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return fmt.Sprint(s.calls)
}

// newStore serves an empty store at a free port.
func newStore(ip string) *store {
	s := &store{parts: map[[2]string]map[string]row{}, history: map[string][]row{}, changed: map[string]chan struct{}{}, calls: map[string]int{}, begun: time.Now()}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /cloverwheel/rows-tx", s.commit)
	mux.HandleFunc("GET /cloverwheel/rows-get", s.get)
	mux.HandleFunc("GET /cloverwheel/rows-feed", s.feed)
	listener, err := net.Listen("tcp", ip+":0")
	must(err)
	s.address = listener.Addr().String()
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(listener) }()
	return s
}

// put writes rows without a condition, as the operator and the workers do.
func (s *store) put(rows ...row) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.apply(rows, nil)
}

// remove drops rows.
func (s *store) remove(keys ...rowKey) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.apply(nil, keys)
}

func (s *store) apply(put []row, remove []rowKey) uint64 {
	if len(put)+len(remove) == 0 {
		return s.version
	}
	s.version++
	for _, r := range put {
		r.Version, r.Gone = s.version, false
		rows := s.part(r.Table, r.Part)
		rows[r.Key] = r
		s.note(r)
	}
	for _, key := range remove {
		delete(s.part(key.Table, key.Part), key.Key)
		s.note(row{rowKey: key, Version: s.version, Gone: true})
	}
	return s.version
}

// part returns the rows of a part. The caller holds the mutex.
func (s *store) part(table, part string) map[string]row {
	name := [2]string{table, part}
	if s.parts[name] == nil {
		s.parts[name] = map[string]row{}
	}
	return s.parts[name]
}

// note records a change for the feeds of its table. The caller holds the mutex.
func (s *store) note(r row) {
	s.history[r.Table] = append(s.history[r.Table], r)
	if changed := s.changed[r.Table]; changed != nil {
		close(changed)
		delete(s.changed, r.Table)
	}
}

func (s *store) answer(w http.ResponseWriter, status int, fields map[string]any) {
	fields["now_ms"] = time.Since(s.begun).Milliseconds()
	body, err := json.Marshal(fields)
	must(err)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Expected []row    `json:"expectedRevision"`
		Put      []row    `json:"put"`
		Remove   []rowKey `json:"remove"`
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(body, &call) != nil || len(body) > 1<<20 || len(call.Expected)+len(call.Put)+len(call.Remove) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !s.admit(w, &s.writes, "writes") {
		return
	}
	time.Sleep(4 * time.Millisecond)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current, holds := []row{}, true
	for _, expected := range call.Expected {
		known := s.part(expected.Table, expected.Part)[expected.Key]
		holds = holds && known.Version == expected.Version
		if known.Version > 0 {
			current = append(current, known)
		}
	}
	if !holds {
		s.answer(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": s.version})
		return
	}
	s.answer(w, http.StatusOK, map[string]any{"ver": s.apply(call.Put, call.Remove)})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, _ := strconv.Atoi(query.Get("limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	if !s.admit(w, &s.reads, "reads") {
		return
	}
	time.Sleep(4 * time.Millisecond)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	rows, from, to := []row{}, query.Get("from"), query.Get("targetVersion")
	for key, known := range s.part(query.Get("table"), query.Get("part")) {
		if key >= from && (to == "" || key < to) {
			rows = append(rows, known)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more := len(rows) > limit
	rows = rows[:min(len(rows), limit)]
	s.answer(w, http.StatusOK, map[string]any{"rows": rows, "more": more, "ver": s.version})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	if !s.admit(w, &s.reads, "feeds") {
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	table := query.Get("table")
	for over := false; ; {
		s.mutex.Lock()
		changes := s.history[table]
		first := sort.Search(len(changes), func(index int) bool { return changes[index].Version > after })
		if first < len(changes) || over {
			s.answer(w, http.StatusOK, map[string]any{"rows": append([]row{}, changes[first:]...), "ver": s.version})
			s.mutex.Unlock()
			return
		}
		if s.changed[table] == nil {
			s.changed[table] = make(chan struct{})
		}
		changed := s.changed[table]
		s.mutex.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}
