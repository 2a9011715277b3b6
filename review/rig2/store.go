package main

import (
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The limits and times of the store, as the settings of a small deployment give them.
const (
	rowBytes     = 65536
	maxEntries   = 100
	maxCallBytes = 1 << 20
	readTime     = 4 * time.Millisecond
	transactTime = 8 * time.Millisecond
	maxRowsRead  = 500
)

// row is a row of the store on the wire.
type row struct {
	Table   string  `json:"table"`
	Part    string  `json:"part"`
	Key     string  `json:"key"`
	Value   *string `json:"value,omitempty"`
	Version int64   `json:"row_version"`
	Removed bool    `json:"removed,omitempty"`
}

func (r *row) name() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

type rowsReply struct {
	Rows    []row `json:"rows"`
	HasMore bool  `json:"has_more"`
	Version int64 `json:"row_version"`
	Now     int64 `json:"now_ms"`
}

// store is a stand-in for the platform's store. It keeps its whole history.
type store struct {
	server *httptest.Server
	began  time.Time

	mu      sync.Mutex
	rows    map[string]row
	history map[string][]row
	version int64
	changed chan struct{}
	// refused counts the transactions that break a limit of the page.
	refused int
}

func newStore() *store {
	s := &store{began: time.Now(), rows: make(map[string]row), history: make(map[string][]row), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", s.serveTransact)
	mux.HandleFunc("GET /v1/rows-get", s.serveRead)
	mux.HandleFunc("GET /v1/rows-feed", s.serveFeed)
	s.server = httptest.NewServer(mux)
	return s
}

func (s *store) address() string { return s.server.Listener.Addr().String() }

// put writes a row as the operator or an executor.
func (s *store) put(table, key, text string) {
	value := base64.StdEncoding.EncodeToString([]byte(text))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(row{Table: table, Key: key, Value: &value, Version: s.version})
}

// drop removes a row as the platform.
func (s *store) drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	gone := row{Table: table, Key: key, Removed: true}
	if _, found := s.rows[gone.name()]; found {
		s.version++
		gone.Version = s.version
		s.write(gone)
	}
}

// value returns the value of a row, empty if there is none.
func (s *store) value(table, part, key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	wanted := row{Table: table, Part: part, Key: key}
	found, stored := s.rows[wanted.name()]
	if !stored {
		return ""
	}
	text, err := base64.StdEncoding.DecodeString(*found.Value)
	if err != nil {
		return ""
	}
	return string(text)
}

// write stores a row. The mutex must be held.
func (s *store) write(r row) {
	if r.Removed {
		delete(s.rows, r.name())
	} else {
		s.rows[r.name()] = r
	}
	s.history[r.Table] = append(s.history[r.Table], r)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) reply(rows []row, more bool) rowsReply {
	if rows == nil {
		rows = []row{}
	}
	return rowsReply{Rows: rows, HasMore: more, Version: s.version, Now: time.Since(s.began).Milliseconds()}
}

func writeJSON(out http.ResponseWriter, status int, body any) {
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_ = json.NewEncoder(out).Encode(body)
}

type transaction struct {
	Expected []row `json:"expected_revision"`
	Writes   []row `json:"writes"`
	Remove   []row `json:"remove"`
}

// fault returns the status of a transaction that breaks a limit of the page, or 0.
func (t *transaction) fault() int {
	if len(t.Expected)+len(t.Writes)+len(t.Remove) > maxEntries {
		return http.StatusBadRequest
	}
	parts := make(map[string]bool)
	for _, entries := range [][]row{t.Expected, t.Writes, t.Remove} {
		for i := range entries {
			parts[entries[i].Part] = true
		}
	}
	if len(parts) > 1 {
		return http.StatusBadRequest
	}
	for _, entries := range [][]row{t.Writes, t.Remove} {
		for i := range entries {
			if entries[i].Table == "op" || entries[i].Table == "servers" {
				return http.StatusForbidden
			}
		}
	}
	for i := range t.Writes {
		if t.Writes[i].Value == nil || base64.StdEncoding.DecodedLen(len(*t.Writes[i].Value)) > rowBytes+2 {
			return http.StatusBadRequest
		}
	}
	return 0
}

func (s *store) serveTransact(out http.ResponseWriter, r *http.Request) {
	time.Sleep(transactTime)
	data, err := io.ReadAll(io.LimitReader(r.Body, maxCallBytes+1))
	var t transaction
	if err != nil || len(data) > maxCallBytes || json.Unmarshal(data, &t) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if status := t.fault(); status != 0 {
		s.refused++
		out.WriteHeader(status)
		return
	}
	met := true
	var current []row
	for i := range t.Expected {
		stored, found := s.rows[t.Expected[i].name()]
		if found {
			current = append(current, stored)
		}
		met = met && stored.Version == t.Expected[i].Version
	}
	if !met {
		writeJSON(out, http.StatusPreconditionFailed, s.reply(current, false))
		return
	}
	s.version++
	for _, written := range t.Writes {
		written.Version = s.version
		s.write(written)
	}
	for _, removed := range t.Remove {
		s.write(row{Table: removed.Table, Part: removed.Part, Key: removed.Key, Version: s.version, Removed: true})
	}
	writeJSON(out, http.StatusOK, s.reply(nil, false))
}

func (s *store) serveRead(out http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit > maxRowsRead {
		limit = maxRowsRead
	}
	s.mu.Lock()
	var found []row
	for _, stored := range s.rows {
		end := query.Get("target")
		if stored.Table == query.Get("table") && stored.Part == query.Get("part") && stored.Key >= query.Get("from") && (end == "" || stored.Key < end) {
			found = append(found, stored)
		}
	}
	slices.SortFunc(found, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	more := len(found) > limit
	answer := s.reply(found[:min(limit, len(found))], more)
	s.mu.Unlock()
	writeJSON(out, http.StatusOK, answer)
}

func (s *store) serveFeed(out http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	query := r.URL.Query()
	after, err := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("wait_ms"))
	if err != nil || waitErr != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		var rows []row
		for _, change := range s.history[query.Get("table")] {
			if change.Version > after {
				rows = append(rows, change)
			}
		}
		answer, changed := s.reply(rows, false), s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			writeJSON(out, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(out, http.StatusOK, answer)
			return
		case <-r.Context().Done():
			return
		}
	}
}
