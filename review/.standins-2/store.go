package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storeRow is a row of the stand-in for the platform's metadata store.
type storeRow struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	Ver   uint64 `json:"ver,omitempty"`
	Gone  bool   `json:"gone,omitempty"`
}

type rowID struct{ table, part, key string }

func (r storeRow) id() rowID { return rowID{r.Table, r.Part, r.Key} }

// metadataStore is a stand-in for the platform's metadata store: linearizable, and it loses nothing.
type metadataStore struct {
	mutex   sync.Mutex
	ver     uint64
	rows    map[rowID]storeRow
	log     []storeRow    // all changes, oldest first
	changed chan struct{} // closed at the next change
	started time.Time
	address string
}

func startStore(ip string) (*metadataStore, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &metadataStore{ver: 1, rows: map[rowID]storeRow{}, changed: make(chan struct{}), started: time.Now(), address: listener.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /cloverwheel/rows-tx", s.transact)
	mux.HandleFunc("GET /cloverwheel/rows-get", s.get)
	mux.HandleFunc("GET /cloverwheel/rows-feed", s.feed)
	go http.Serve(listener, mux)
	return s, nil
}

// apply writes changes in one transaction. The caller holds the mutex.
func (s *metadataStore) apply(put, remove []storeRow) {
	s.ver++
	for _, row := range put {
		row.Ver, row.Gone = s.ver, false
		s.rows[row.id()] = row
		s.log = append(s.log, row)
	}
	for _, row := range remove {
		if _, ok := s.rows[row.id()]; ok {
			delete(s.rows, row.id())
			s.log = append(s.log, storeRow{Table: row.Table, Part: row.Part, Key: row.Key, Ver: s.ver, Gone: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row as the operator or a worker does. It returns when the store has acknowledged it.
func (s *metadataStore) put(table, key string, value any) time.Time {
	encoded, _ := json.Marshal(value)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.apply([]storeRow{{Table: table, Key: key, Value: encoded}}, nil)
	return time.Now()
}

// remove removes a row as a worker does.
func (s *metadataStore) remove(table, key string) time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.apply(nil, []storeRow{{Table: table, Key: key}})
	return time.Now()
}

func (s *metadataStore) answer(w http.ResponseWriter, status int, body map[string]any) {
	body["ver"] = s.ver
	body["now_ms"] = time.Since(s.started).Milliseconds()
	encoded, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(encoded)
}

func (s *metadataStore) transact(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Conditions []storeRow `json:"expectedRevision"`
		Put        []storeRow `json:"put"`
		Remove     []storeRow `json:"remove"`
		Across     bool       `json:"across"`
	}
	err := json.NewDecoder(r.Body).Decode(&call)
	time.Sleep(5 * time.Millisecond) // tx_ms
	s.mutex.Lock()
	defer s.mutex.Unlock()
	entries := append(append(append([]storeRow{}, call.Conditions...), call.Put...), call.Remove...)
	if err != nil || len(entries) == 0 || len(entries) > 100 {
		s.answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	for _, entry := range entries {
		if entry.Part != entries[0].Part && !call.Across {
			s.answer(w, http.StatusBadRequest, map[string]any{})
			return
		}
		if entry.Table == "servers" || entry.Table == "op" {
			s.answer(w, http.StatusForbidden, map[string]any{})
			return
		}
	}
	failed, current := false, []storeRow{}
	for _, condition := range call.Conditions {
		row, ok := s.rows[condition.id()]
		failed = failed || row.Ver != condition.Ver
		if ok {
			current = append(current, row)
		}
	}
	if failed {
		s.answer(w, http.StatusPreconditionFailed, map[string]any{"rows": current})
		return
	}
	s.apply(call.Put, call.Remove)
	s.answer(w, http.StatusOK, map[string]any{})
}

func (s *metadataStore) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit := 500
	if given, err := strconv.Atoi(query.Get("limit")); err == nil && given > 0 && given < limit {
		limit = given
	}
	time.Sleep(4 * time.Millisecond)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	rows := []storeRow{}
	for id, row := range s.rows {
		to := query.Get("targetVersion")
		if id.table == query.Get("table") && id.part == query.Get("part") && id.key >= query.Get("from") && (to == "" || id.key < to) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more := len(rows) > limit
	s.answer(w, http.StatusOK, map[string]any{"rows": rows[:min(limit, len(rows))], "more": more})
}

func (s *metadataStore) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mutex.Lock()
		rows := []storeRow{}
		for _, row := range s.log {
			if row.Ver > after && row.Table == query.Get("table") {
				rows = append(rows, row)
			}
		}
		changed := s.changed
		if len(rows) > 0 {
			s.answer(w, http.StatusOK, map[string]any{"rows": rows})
			s.mutex.Unlock()
			return
		}
		s.mutex.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			s.mutex.Lock()
			s.answer(w, http.StatusOK, map[string]any{"rows": []storeRow{}})
			s.mutex.Unlock()
			return
		}
	}
}
