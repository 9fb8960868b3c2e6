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

// Times of the platform's store, as in the settings of a small deployment.
const (
	storeTxTime   = 8 * time.Millisecond
	storeReadTime = 4 * time.Millisecond
	storeMaxRows  = 500
)

// storeRow is a row of the platform's store.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowName struct{ table, part, key string }

// store is a stand-in of the platform's metadata store. It keeps its whole history.
type store struct {
	address string
	began   time.Time

	mu      sync.Mutex
	rows    map[rowName]storeRow
	history []storeRow
	ver     int64
	changed chan struct{} // closed and replaced by each transaction

	partMu sync.Mutex
	parts  map[string]*sync.Mutex // held during a transaction of a partition
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), began: time.Now(), rows: make(map[rowName]storeRow), changed: make(chan struct{}), parts: make(map[string]*sync.Mutex)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", s.tx)
	mux.HandleFunc("GET /v1/rows-get", s.get)
	mux.HandleFunc("GET /v1/rows-feed", s.feed)
	srv := &http.Server{Handler: mux}
	go func() { _ = srv.Serve(l) }() // ends with the process
	return s, nil
}

func (s *store) reply(w http.ResponseWriter, status int, rows []storeRow, more bool, ver int64) {
	if rows == nil {
		rows = []storeRow{}
	}
	writeJSON(w, status, map[string]any{"rows": rows, "hasMore": more, "ver": ver, "nowMs": time.Since(s.began).Milliseconds()})
}

// apply makes one transaction. The caller holds s.mu.
func (s *store) apply(puts, removes []storeRow) int64 {
	s.ver++
	for _, r := range removes {
		name := rowName{r.Table, r.Part, r.Key}
		if _, ok := s.rows[name]; ok {
			delete(s.rows, name)
			s.history = append(s.history, storeRow{Table: r.Table, Part: r.Part, Key: r.Key, Ver: s.ver, Deleted: true})
		}
	}
	for _, r := range puts {
		r.Ver = s.ver
		s.rows[rowName{r.Table, r.Part, r.Key}] = r
		s.history = append(s.history, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.ver
}

// put writes a row of the operator or of a worker.
func (s *store) put(table, key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err) // the values are this program's own
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]storeRow{{Table: table, Key: key, Value: b}}, nil)
}

// remove drops a row of the operator or of a worker.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []storeRow{{Table: table, Key: key}})
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var body struct {
		ExpectedRev []storeRow `json:"expectedRev"`
		Puts        []storeRow `json:"puts"`
		Remove      []storeRow `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	part := ""
	for _, list := range [...][]storeRow{body.ExpectedRev, body.Puts, body.Remove} {
		for _, e := range list {
			if e.Table == "op" || e.Table == "servers" {
				w.WriteHeader(http.StatusForbidden)
				return
			}
			part = e.Part
		}
	}
	s.partMu.Lock()
	turn := s.parts[part]
	if turn == nil {
		turn = new(sync.Mutex)
		s.parts[part] = turn
	}
	s.partMu.Unlock()
	turn.Lock()
	defer turn.Unlock()
	time.Sleep(storeTxTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict := false
	var current []storeRow
	for _, e := range body.ExpectedRev {
		now, ok := s.rows[rowName{e.Table, e.Part, e.Key}]
		if ok {
			current = append(current, now)
		}
		conflict = conflict || now.Ver != e.Ver
	}
	if conflict {
		s.reply(w, http.StatusPreconditionFailed, current, false, s.ver)
		return
	}
	s.reply(w, http.StatusOK, nil, false, s.apply(body.Puts, body.Remove))
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeReadTime)
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > storeMaxRows || limit <= 0 {
		limit = storeMaxRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []storeRow
	for name, row := range s.rows {
		if name.table == q.Get("table") && name.part == q.Get("part") && name.key >= q.Get("from") && (q.Get("to") == "" || name.key < q.Get("to")) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(a, b int) bool { return rows[a].Key < rows[b].Key })
	more := len(rows) > limit
	s.reply(w, http.StatusOK, rows[:min(limit, len(rows))], more, s.ver)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeReadTime)
	q := r.URL.Query()
	since, err := strconv.ParseInt(q.Get("dependsOn"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(q.Get("waitMs"))
	if err != nil {
		wait = 0
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		first := sort.Search(len(s.history), func(n int) bool { return s.history[n].Ver > since })
		var rows []storeRow
		for _, row := range s.history[first:] {
			if row.Table == q.Get("table") {
				rows = append(rows, row)
			}
		}
		changed, ver := s.changed, s.ver
		s.mu.Unlock()
		if len(rows) > 0 || wait == 0 {
			s.reply(w, http.StatusOK, rows, false, ver)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

// writeJSON answers a call.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // a caller that has gone needs no answer
}
