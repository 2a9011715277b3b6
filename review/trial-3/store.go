package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// rowBytes, maxEntries, maxCallBytes and maxPage are the limits that PROTOCOL states for the store.
	rowBytes     = 65536
	maxEntries   = 100
	maxCallBytes = 1_000_000
	maxPage      = 500
	readTime     = 4 * time.Millisecond
	transactTime = 8 * time.Millisecond
)

// row is a row of the store.
type row struct {
	Table   string  `json:"table"`
	Part    string  `json:"part"`
	Key     string  `json:"key"`
	Value   *string `json:"value,omitempty"`
	Version int64   `json:"row_version"`
	Removed bool    `json:"removed,omitempty"`
}

type rowKey struct{ table, part, key string }

func (r *row) id() rowKey { return rowKey{r.Table, r.Part, r.Key} }

// store is a small stand-in of the platform's metadata store with the limits of PROTOCOL.
type store struct {
	address string
	refused atomic.Int64

	mu      sync.Mutex
	rows    map[rowKey]row
	history []row
	version int64
	changed chan struct{}
	parts   map[string]*sync.Mutex
	onError func(reason string)
}

func newStore(onError func(string)) (*store, error) {
	s := &store{rows: make(map[rowKey]row), changed: make(chan struct{}), parts: make(map[string]*sync.Mutex), onError: onError}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", s.transact)
	mux.HandleFunc("GET /v1/rows-get", s.read)
	mux.HandleFunc("GET /v1/rows-feed", s.feed)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	return s, nil
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Writing fails only if the peer has left.
	_ = json.NewEncoder(w).Encode(body)
}

type rowsReply struct {
	Rows    []row `json:"rows"`
	More    bool  `json:"has_more"`
	Version int64 `json:"row_version"`
	Now     int64 `json:"now_ms"`
}

func (s *store) refuse(w http.ResponseWriter, reason string) {
	s.refused.Add(1)
	s.onError(reason)
	reply(w, http.StatusBadRequest, map[string]string{"error": reason})
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Expected []row `json:"expected_revision"`
		Writes   []row `json:"writes"`
		Remove   []row `json:"remove"`
	}
	body := http.MaxBytesReader(w, r.Body, maxCallBytes)
	if err := json.NewDecoder(body).Decode(&call); err != nil {
		s.refuse(w, "the call is larger than 1 MB or malformed")
		return
	}
	if len(call.Expected)+len(call.Writes)+len(call.Remove) > maxEntries {
		s.refuse(w, "more than 100 entries")
		return
	}
	part := ""
	for _, entry := range slices.Concat(call.Expected, call.Writes, call.Remove) {
		part = entry.Part
	}
	for i := range call.Writes {
		written := &call.Writes[i]
		value, err := base64.StdEncoding.DecodeString(*written.Value)
		if err != nil || len(value) > rowBytes {
			s.refuse(w, "the value of "+written.Table+"/"+written.Part+"/"+written.Key+" has "+strconv.Itoa(len(value))+" bytes, row_bytes is "+strconv.Itoa(rowBytes))
			return
		}
	}
	s.mu.Lock()
	order := s.parts[part]
	if order == nil {
		order = &sync.Mutex{}
		s.parts[part] = order
	}
	s.mu.Unlock()
	order.Lock()
	time.Sleep(transactTime)
	order.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := rowsReply{Rows: []row{}}
	met := true
	for _, expected := range call.Expected {
		current, found := s.rows[expected.id()]
		if found {
			answer.Rows = append(answer.Rows, current)
		}
		met = met && current.Version == expected.Version
	}
	if !met {
		answer.Version = s.version
		reply(w, http.StatusPreconditionFailed, answer)
		return
	}
	s.apply(call.Writes, call.Remove)
	reply(w, http.StatusOK, rowsReply{Rows: []row{}, Version: s.version})
}

// apply writes and removes rows in one transaction. The mutex must be held.
func (s *store) apply(writes, remove []row) {
	s.version++
	for _, written := range writes {
		written.Version = s.version
		s.rows[written.id()] = written
		s.history = append(s.history, written)
	}
	for _, removed := range remove {
		delete(s.rows, removed.id())
		s.history = append(s.history, row{Table: removed.Table, Part: removed.Part, Key: removed.Key, Version: s.version, Removed: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row for the operator or an executor.
func (s *store) put(table, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	encoded := base64.StdEncoding.EncodeToString(text)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Value: &encoded}}, nil)
}

// get returns the value of a row, or nil.
func (s *store) get(table, part, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, exists := s.rows[rowKey{table, part, key}]
	if !exists {
		return nil
	}
	value, err := base64.StdEncoding.DecodeString(*found.Value)
	if err != nil {
		return nil
	}
	return value
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit > maxPage {
		limit = maxPage
	}
	s.mu.Lock()
	answer := rowsReply{Rows: []row{}, Version: s.version}
	for id, stored := range s.rows {
		if id.table == query.Get("table") && id.part == query.Get("part") && id.key >= query.Get("from") && (query.Get("target") == "" || id.key < query.Get("target")) {
			answer.Rows = append(answer.Rows, stored)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(answer.Rows, func(a, b row) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	size := 0
	for i := range answer.Rows {
		if size += len(*answer.Rows[i].Value); i >= limit || size > maxCallBytes {
			answer.Rows, answer.More = answer.Rows[:i], true
			break
		}
	}
	reply(w, http.StatusOK, answer)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	query := r.URL.Query()
	after, err := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("wait_ms"))
	if err != nil || waitErr != nil {
		s.refuse(w, "malformed feed")
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		answer := rowsReply{Rows: []row{}, Version: s.version}
		from, _ := slices.BinarySearchFunc(s.history, after+1, func(r row, version int64) int { return int(r.Version - version) })
		for _, changed := range s.history[from:] {
			if changed.Table == query.Get("table") {
				answer.Rows = append(answer.Rows, changed)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(answer.Rows) > 0 {
			reply(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, answer)
			return
		case <-r.Context().Done():
			return
		}
	}
}
