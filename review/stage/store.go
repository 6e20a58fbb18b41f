//go:build review

package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits and latencies of the platform's store as PROTOCOL.md and the settings of a small site state them.
const (
	maxRowBytes    = 65536
	maxTxEntries   = 100
	maxPageRows    = 500
	maxPageBytes   = 1 << 20
	maxPartsPage   = 1000
	readLatency    = 4 * time.Millisecond
	txLatency      = 8 * time.Millisecond
	feedHistory    = 20 * time.Second
	maxFeedWait    = 30 * time.Second
	reservedPrefix = "op"
)

type rowKey struct{ table, part, key string }

type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"schema_version"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r *storeRow) id() rowKey { return rowKey{r.Table, r.Part, r.Key} }

type storeChange struct {
	row storeRow
	at  time.Time
}

// store is a stand-in for the platform's metadata store.
type store struct {
	record *record
	began  time.Time

	mu        sync.Mutex
	version   uint64
	rows      map[rowKey]storeRow
	history   []storeChange
	forgotten uint64
	changed   chan struct{}
	// down is set while each call is refused with 503, of which nothing was done.
	down bool
	// partLocks serialize the transactions of a part.
	partLocks map[string]*sync.Mutex
	tooLarge  int
}

func newStore(r *record) *store {
	return &store{record: r, began: time.Now(), rows: map[rowKey]storeRow{}, changed: make(chan struct{}), partLocks: map[string]*sync.Mutex{}}
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// put writes a row as the operator.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(storeRow{Table: table, Key: key, Value: value, Version: s.version})
	s.announce()
}

func (s *store) apply(r storeRow) {
	if r.Deleted {
		if _, present := s.rows[r.id()]; !present {
			return
		}
		delete(s.rows, r.id())
	} else {
		s.rows[r.id()] = r
	}
	s.history = append(s.history, storeChange{r, time.Now()})
}

// announce wakes the waiting feeds and drops history that is too old.
func (s *store) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
	for len(s.history) > 0 && time.Since(s.history[0].at) > feedHistory {
		s.forgotten = s.history[0].row.Version
		s.history = s.history[1:]
	}
}

func (s *store) nowMS() int64 { return 1000 + time.Since(s.began).Milliseconds() }

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A client that has left gets no answer.
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isDown() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	q := r.URL.Query()
	switch r.Method + " " + r.URL.Path {
	case "POST /rows-tx":
		s.transaction(w, r)
	case "GET /rows-get":
		time.Sleep(readLatency)
		s.get(w, q.Get("table"), q.Get("part"), q.Get("source"), q.Get("target"), q.Get("limit"))
	case "GET /rows-parts":
		time.Sleep(readLatency)
		s.parts(w, q.Get("table"), q.Get("after"))
	case "GET /rows-feed":
		time.Sleep(readLatency)
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		waitMS, _ := strconv.Atoi(q.Get("wait_ms"))
		s.feed(w, r, q.Get("table"), after, min(time.Duration(waitMS)*time.Millisecond, maxFeedWait))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) get(w http.ResponseWriter, table, part, source, target, limitText string) {
	limit, err := strconv.Atoi(limitText)
	if err != nil || limit < 1 || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for id := range s.rows {
		if id.table == table && id.part == part && id.key >= source && (target == "" || id.key < target) {
			keys = append(keys, id.key)
		}
	}
	sort.Strings(keys)
	out, bytes, more := []storeRow{}, 0, false
	for _, key := range keys {
		row := s.rows[rowKey{table, part, key}]
		if len(out) == limit || (len(out) > 0 && bytes+len(row.Value) > maxPageBytes) {
			more = true
			break
		}
		out, bytes = append(out, row), bytes+len(row.Value)
	}
	reply(w, http.StatusOK, map[string]any{"rows": out, "has_more": more, "schema_version": s.version, "now_ms": s.nowMS()})
}

func (s *store) parts(w http.ResponseWriter, table, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := map[string]bool{}
	for id := range s.rows {
		if id.table == table && (after == "" || id.part > after) {
			found[id.part] = true
		}
	}
	names := make([]string, 0, len(found))
	for name := range found {
		names = append(names, name)
	}
	sort.Strings(names)
	more := len(names) > maxPartsPage
	names = names[:min(len(names), maxPartsPage)]
	reply(w, http.StatusOK, map[string]any{"parts": names, "has_more": more, "schema_version": s.version, "now_ms": s.nowMS()})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request, table string, after uint64, wait time.Duration) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for waited := false; ; {
		s.mu.Lock()
		changed, version, down := s.changed, s.version, s.down
		gone := after < s.forgotten
		from, _ := slices.BinarySearchFunc(s.history, after, func(c storeChange, v uint64) int {
			if c.row.Version <= v {
				return -1
			}
			return 1
		})
		var rows []storeRow
		for _, c := range s.history[from:] {
			if c.row.Table == table {
				rows = append(rows, c.row)
			}
		}
		s.mu.Unlock()
		switch {
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(rows) > 0 || waited:
			if rows == nil {
				rows = []storeRow{}
			}
			reply(w, http.StatusOK, map[string]any{"rows": rows, "schema_version": version, "now_ms": s.nowMS()})
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			waited = true
		case <-r.Context().Done():
			return
		}
	}
}

type txBody struct {
	Precondition []storeRow `json:"precondition"`
	Put          []storeRow `json:"put"`
	Remove       []storeRow `json:"remove"`
}

// invalid returns why the store never applies a transaction, or an empty text.
func (t *txBody) invalid() string {
	if len(t.Precondition)+len(t.Put)+len(t.Remove) > maxTxEntries {
		return "more than 100 entries"
	}
	for i := range t.Put {
		if len(t.Put[i].Value) > maxRowBytes {
			return "the value of " + t.Put[i].Table + "/" + t.Put[i].Key + " has " + strconv.Itoa(len(t.Put[i].Value)) + " bytes, row_bytes is " + strconv.Itoa(maxRowBytes)
		}
	}
	part, first := "", true
	for _, rows := range [][]storeRow{t.Precondition, t.Put, t.Remove} {
		for i := range rows {
			if !first && rows[i].Part != part {
				return "entries of several parts"
			}
			part, first = rows[i].Part, false
		}
	}
	return ""
}

func (t *txBody) part() string {
	for _, rows := range [][]storeRow{t.Precondition, t.Put, t.Remove} {
		if len(rows) > 0 {
			return rows[0].Part
		}
	}
	return ""
}

func (s *store) lockOf(part string) *sync.Mutex {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.partLocks[part] == nil {
		s.partLocks[part] = &sync.Mutex{}
	}
	return s.partLocks[part]
}

func (s *store) transaction(w http.ResponseWriter, r *http.Request) {
	var t txBody
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{"error": err.Error()})
		return
	}
	if reason := t.invalid(); reason != "" {
		s.mu.Lock()
		s.tooLarge++
		n := s.tooLarge
		s.mu.Unlock()
		if n <= 5 || n%50 == 0 {
			s.record.add("store", "refuses transaction with 400 (refusal %d): %s", n, reason)
		}
		reply(w, http.StatusBadRequest, map[string]any{"error": reason})
		return
	}
	for i := range t.Put {
		if t.Put[i].Table == reservedPrefix || strings.HasPrefix(t.Put[i].Table, "servers") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	lock := s.lockOf(t.part())
	lock.Lock()
	defer lock.Unlock()
	time.Sleep(txLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	for i := range t.Precondition {
		if s.rows[t.Precondition[i].id()].Version != t.Precondition[i].Version {
			rows := []storeRow{}
			for j := range t.Precondition {
				if row, present := s.rows[t.Precondition[j].id()]; present {
					rows = append(rows, row)
				}
			}
			reply(w, http.StatusPreconditionFailed, map[string]any{"rows": rows, "schema_version": s.version, "now_ms": s.nowMS()})
			return
		}
	}
	s.version++
	for _, row := range t.Put {
		row.Version, row.Deleted = s.version, false
		s.apply(row)
	}
	for _, row := range t.Remove {
		s.apply(storeRow{Table: row.Table, Part: row.Part, Key: row.Key, Version: s.version, Deleted: true})
	}
	s.announce()
	reply(w, http.StatusOK, map[string]any{"schema_version": s.version, "now_ms": s.nowMS()})
}
