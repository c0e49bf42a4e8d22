package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits and times of the platform's store, as the pages give them.
const (
	maxTransactionEntries = 100
	maxTransactionBytes   = 1 << 20
	maxRowBytes           = 65536
	maxPageRows           = 500
	maxPageBytes          = 1 << 20
	storeLatency          = 4 * time.Millisecond
)

// row is a row as it is sent.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver,omitempty"`
	Gone    bool   `json:"gone,omitempty"`
}

type rowKey struct{ table, part, key string }

func (r row) id() rowKey { return rowKey{r.Table, r.Part, r.Key} }

type transaction struct {
	Expected []row `json:"expectedRevision"`
	Put      []row `json:"put"`
	Remove   []row `json:"remove"`
	Across   bool  `json:"across"`
}

type page struct {
	Rows    []row  `json:"rows"`
	More    bool   `json:"more"`
	Version uint64 `json:"ver"`
	Now     int64  `json:"now_ms"`
}

// table is a stand-in of the platform's store. It loses nothing and keeps its whole history.
type table struct {
	started time.Time
	mutex   sync.Mutex
	rows    map[rowKey]row
	history []row
	version uint64
	changed chan struct{} // closed at each change
}

func newTable() *table {
	return &table{started: time.Now(), rows: map[rowKey]row{}, changed: make(chan struct{})}
}

// serve serves the store at an address.
func (t *table) serve(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() { _ = (&http.Server{Handler: t}).Serve(listener) }()
	return nil
}

func (t *table) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "POST /cloverwheel/rows-tx":
		time.Sleep(storeLatency)
		t.commit(out, r)
	case "GET /cloverwheel/rows-get":
		time.Sleep(storeLatency)
		t.get(out, r)
	case "GET /cloverwheel/rows-feed":
		t.feed(out, r)
	default:
		out.WriteHeader(http.StatusNotFound)
	}
}

func (t *table) commit(out http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var change transaction
	if len(body) > maxTransactionBytes || json.Unmarshal(body, &change) != nil || !change.valid() {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, written := range append(change.Put, change.Remove...) {
		if written.Table == "servers" {
			out.WriteHeader(http.StatusForbidden)
			return
		}
	}
	version, conflict := t.apply(change)
	if conflict != nil {
		t.write(out, http.StatusPreconditionFailed, page{Rows: conflict, Version: version})
		return
	}
	t.write(out, http.StatusOK, page{Version: version})
}

// valid reports whether a transaction keeps to the limits of the store.
func (c transaction) valid() bool {
	entries := append(append(append([]row{}, c.Expected...), c.Put...), c.Remove...)
	for _, entry := range entries {
		if len(entry.Table) > 200 || len(entry.Part) > 200 || len(entry.Key) > 200 || len(entry.Value) > maxRowBytes {
			return false
		}
		if !c.Across && entry.Part != entries[0].Part {
			return false
		}
	}
	return len(entries) <= maxTransactionEntries
}

// apply applies a transaction, or returns the current rows of its conditions if one of them does not hold.
func (t *table) apply(change transaction) (version uint64, conflict []row) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	holds := true
	current := []row{}
	for _, condition := range change.Expected {
		known, ok := t.rows[condition.id()]
		holds = holds && known.Version == condition.Version
		if ok {
			current = append(current, known)
		}
	}
	if !holds {
		return t.version, current
	}
	t.version++
	for _, put := range change.Put {
		put.Version, put.Gone = t.version, false
		t.rows[put.id()] = put
		t.history = append(t.history, put)
	}
	for _, removed := range change.Remove {
		if _, ok := t.rows[removed.id()]; !ok {
			continue
		}
		delete(t.rows, removed.id())
		t.history = append(t.history, row{Table: removed.Table, Part: removed.Part, Key: removed.Key, Version: t.version, Gone: true})
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return t.version, nil
}

func (t *table) get(out http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, _ := strconv.Atoi(query.Get("limit"))
	if limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	t.mutex.Lock()
	found := []row{}
	for id, known := range t.rows {
		below := query.Get("targetVersion") == "" || id.key < query.Get("targetVersion")
		if id.table == query.Get("table") && id.part == query.Get("part") && id.key >= query.Get("from") && below {
			found = append(found, known)
		}
	}
	version := t.version
	t.mutex.Unlock()
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key }) // ascending by bytes
	answer := page{Rows: []row{}, Version: version}
	bytes := 0
	for _, one := range found {
		bytes += len(one.Value)
		if len(answer.Rows) == limit || len(answer.Rows) > 0 && bytes > maxPageBytes {
			answer.More = true
			break
		}
		answer.Rows = append(answer.Rows, one)
	}
	t.write(out, http.StatusOK, answer)
}

func (t *table) feed(out http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timer := time.NewTimer(time.Duration(min(wait, 30_000)) * time.Millisecond)
	defer timer.Stop()
	for {
		t.mutex.Lock()
		answer := page{Rows: []row{}, Version: t.version}
		for _, one := range t.history {
			if one.Table == query.Get("table") && one.Version > after {
				answer.Rows = append(answer.Rows, one)
			}
		}
		changed := t.changed
		t.mutex.Unlock()
		if len(answer.Rows) > 0 {
			t.write(out, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			t.write(out, http.StatusOK, answer)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (t *table) write(out http.ResponseWriter, status int, answer page) {
	answer.Now = time.Since(t.started).Milliseconds()
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_ = json.NewEncoder(out).Encode(answer)
}

// put writes a row for the operator or a worker. It returns when the store has it, which is the acknowledgement.
func (t *table) put(tableName, key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	t.apply(transaction{Put: []row{{Table: tableName, Key: key, Value: encoded}}})
}

// remove removes a row.
func (t *table) remove(tableName, key string) {
	t.apply(transaction{Remove: []row{{Table: tableName, Key: key}}})
}
