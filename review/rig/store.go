package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits and times of the store, as DEPLOY.md gives them for a small deployment.
const (
	maxEntries   = 100
	maxCallBytes = 1_000_000
	maxRowBytes  = 65536
	readTime     = 4 * time.Millisecond
	transactTime = 8 * time.Millisecond
)

// storedRow is a row of the store as it goes over the wire.
type storedRow struct {
	Table   string  `json:"table"`
	Part    string  `json:"part"`
	Key     string  `json:"key"`
	Value   *string `json:"value,omitempty"`
	Version int64   `json:"row_version"`
	Removed bool    `json:"removed,omitempty"`
}

func (r *storedRow) name() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// store is a stand-in for the metadata store of the platform.
type store struct {
	address  string
	record   *record
	server   *http.Server
	mu       sync.Mutex
	rows     map[string]storedRow
	version  int64
	changed  chan struct{}
	started  time.Time
	rejected int
	// up is closed while calls are answered. Others wait and then get no answer.
	up chan struct{}
	// parts serialise the transactions of a part.
	parts map[string]*sync.Mutex
}

func newStore(rec *record) (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		address: listener.Addr().String(), record: rec, rows: make(map[string]storedRow), changed: make(chan struct{}),
		started: time.Now(), parts: make(map[string]*sync.Mutex), up: make(chan struct{}),
	}
	close(s.up)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", s.serveTransact)
	mux.HandleFunc("GET /v1/rows-get", s.serveRead)
	mux.HandleFunc("GET /v1/rows-feed", s.serveFeed)
	s.server = &http.Server{Handler: s.unlessDown(mux), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// silence makes the store answer no call until it is called with false.
func (s *store) silence(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if silent {
		s.up = make(chan struct{})
		return
	}
	close(s.up)
}

func (s *store) unlessDown(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		up := s.up
		s.mu.Unlock()
		select {
		case <-up:
			next.ServeHTTP(w, r)
			return
		default:
		}
		select {
		case <-up:
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler)
	})
}

func (s *store) close() { _ = s.server.Close() }

// put writes a row on behalf of the operator or an executor.
func (s *store) put(table, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		s.record.line("store: cannot encode %s/%s: %v", table, key, err)
		return
	}
	encoded := base64.StdEncoding.EncodeToString(text)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.writeLocked(storedRow{Table: table, Key: key, Value: &encoded, Version: s.version})
}

func (s *store) writeLocked(row storedRow) {
	s.rows[row.name()] = row
	close(s.changed)
	s.changed = make(chan struct{})
}

// owner returns the holder that the owner row of a cell names, to tell which process to disturb.
func (s *store) owner(cell string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	row := storedRow{Table: "owners", Part: cell, Key: "owner"}
	stored := s.rows[row.name()]
	if stored.Value == nil {
		return ""
	}
	text, err := base64.StdEncoding.DecodeString(*stored.Value)
	if err != nil {
		return ""
	}
	var value struct {
		Holder string `json:"holder"`
	}
	if json.Unmarshal(text, &value) != nil {
		return ""
	}
	return value.Holder
}

// rejections returns the number of transactions that broke a limit of the store.
func (s *store) rejections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rejected
}

func (s *store) part(name string) *sync.Mutex {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.parts[name] == nil {
		s.parts[name] = &sync.Mutex{}
	}
	return s.parts[name]
}

// limitBroken returns which limit a transaction breaks, or an empty string.
func limitBroken(size int64, entries int, writes []storedRow) string {
	if size > maxCallBytes {
		return "the call holds more than 1 MB"
	}
	if entries > maxEntries {
		return "the call holds more than 100 entries"
	}
	for _, row := range writes {
		if row.Value != nil && base64.StdEncoding.DecodedLen(len(*row.Value)) > maxRowBytes+2 {
			return "a value of " + strconv.Itoa(base64.StdEncoding.DecodedLen(len(*row.Value))) + " bytes exceeds row_bytes: " + row.Table + "/" + row.Part + "/" + row.Key
		}
	}
	return ""
}

func (s *store) serveTransact(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Expected []storedRow `json:"expected_revision"`
		Writes   []storedRow `json:"writes"`
		Remove   []storedRow `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if reason := limitBroken(r.ContentLength, len(call.Expected)+len(call.Writes)+len(call.Remove), call.Writes); reason != "" {
		s.mu.Lock()
		s.rejected++
		count := s.rejected
		s.mu.Unlock()
		if count <= 5 || count%50 == 0 {
			s.record.line("store: transaction rejected with 400 (number %d): %s", count, reason)
		}
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": reason})
		return
	}
	part := ""
	for _, rows := range [][]storedRow{call.Expected, call.Writes, call.Remove} {
		if len(rows) > 0 {
			part = rows[0].Part
		}
	}
	turn := s.part(part)
	turn.Lock()
	time.Sleep(transactTime / 2)
	turn.Unlock()
	time.Sleep(transactTime / 2)
	s.mu.Lock()
	defer s.mu.Unlock()
	met := true
	existing := []storedRow{}
	for _, expected := range call.Expected {
		current := s.rows[expected.name()]
		if current.Value == nil {
			current.Version = 0
		} else {
			existing = append(existing, current)
		}
		met = met && current.Version == expected.Version
	}
	if !met {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"rows": existing, "row_version": s.version, "now_ms": s.now()})
		return
	}
	s.version++
	for _, written := range call.Writes {
		written.Version = s.version
		s.writeLocked(written)
	}
	for _, removed := range call.Remove {
		s.writeLocked(storedRow{Table: removed.Table, Part: removed.Part, Key: removed.Key, Version: s.version, Removed: true})
	}
	writeJSON(w, http.StatusOK, map[string]any{"row_version": s.version, "now_ms": s.now()})
}

func (s *store) now() int64 { return time.Since(s.started).Milliseconds() }

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []storedRow{}
	for _, stored := range s.rows {
		end := query.Get("target")
		if stored.Value != nil && stored.Table == query.Get("table") && stored.Part == query.Get("part") && stored.Key >= query.Get("from") && (end == "" || stored.Key < end) {
			rows = append(rows, stored)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	size, count := 0, 0
	for count < len(rows) && count < limit && (count == 0 || size+len(*rows[count].Value) <= maxCallBytes) {
		size += len(*rows[count].Value)
		count++
	}
	writeJSON(w, http.StatusOK, map[string]any{"rows": rows[:count], "has_more": count < len(rows), "row_version": s.version, "now_ms": s.now()})
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	query := r.URL.Query()
	after, err := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("wait_ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		rows, version, changed := s.changesAfter(query.Get("table"), after)
		expired := false
		if len(rows) == 0 {
			select {
			case <-changed:
				continue
			case <-timeout:
				expired = true
			case <-r.Context().Done():
				return
			}
		}
		if expired || len(rows) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"rows": rows, "row_version": version, "now_ms": s.now()})
			return
		}
	}
}

func (s *store) changesAfter(table string, after int64) (rows []storedRow, version int64, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows = []storedRow{}
	for _, stored := range s.rows {
		if stored.Table == table && stored.Version > after {
			rows = append(rows, stored)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Version < rows[j].Version })
	return rows, s.version, s.changed
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Writing fails only if the peer has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}
