// Package logwriter writes log lines without ever making their writer wait: lines go into a bounded
// buffer that one goroutine empties. What does not fit is dropped and counted, and a line says so.
//
// # Usage
//
//	out, stop := logwriter.New(os.Stdout, clock)
//	log := slog.New(slog.NewJSONHandler(out, nil))
//
// The clean-up function writes what is left, unless the reader takes nothing any more.
package logwriter

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// mostBytes bounds the lines that wait, and so their memory.
	mostBytes = 1 << 20
	// flushEvery bounds the age of a line that waits. Lines are written together because each write
	// is a system call.
	flushEvery = 200 * time.Millisecond
	// stopTimeout bounds the last write.
	stopTimeout = 500 * time.Millisecond
)

// Writer is a writer of lines. It is safe for concurrent use.
type Writer struct {
	out     io.Writer
	clock   clockwork.Clock
	dropped atomic.Int64
	total   atomic.Int64
	stop    chan struct{}
	done    chan struct{}

	mu      sync.Mutex
	waiting bytes.Buffer
	missing int64
}

// New returns a writer and the function that ends it.
func New(out io.Writer, clock clockwork.Clock) (*Writer, func()) {
	s := &Writer{out: out, clock: clock, stop: make(chan struct{}), done: make(chan struct{})}
	go s.run()
	return s, s.close
}

// Dropped returns how many lines were dropped.
func (s *Writer) Dropped() int64 { return s.dropped.Load() }

// Bytes returns how many bytes were taken.
func (s *Writer) Bytes() int64 { return s.total.Load() }

// Write takes a line. It never waits and never fails.
func (s *Writer) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting.Len()+len(line) > mostBytes {
		s.missing++
		s.dropped.Add(1)
		return len(line), nil
	}
	s.total.Add(int64(len(line)))
	return s.waiting.Write(line)
}

func (s *Writer) run() {
	defer close(s.done)
	ticker := s.clock.NewTicker(flushEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.Chan():
			s.flush()
		case <-s.stop:
			s.flush()
			return
		}
	}
}

func (s *Writer) flush() {
	s.mu.Lock()
	lines := bytes.Clone(s.waiting.Bytes())
	s.waiting.Reset()
	missing := s.missing
	s.missing = 0
	s.mu.Unlock()
	if missing > 0 {
		lines = fmt.Appendf(lines, `{"level":"WARN","msg":"lines dropped","count":%d}`+"\n", missing)
	}
	for len(lines) > 0 {
		piece := wholeLines(lines)
		// There is nowhere else to report it.
		_, _ = s.out.Write(lines[:piece])
		lines = lines[piece:]
	}
}

// mostAtOnce is the size up to which a pipe takes a write whole, so that the lines of several writers
// of one pipe do not mix.
const mostAtOnce = 4096

// wholeLines is the length of the lines that fit into one write; a longer line goes alone.
func wholeLines(lines []byte) int {
	if len(lines) <= mostAtOnce {
		return len(lines)
	}
	if end := bytes.LastIndexByte(lines[:mostAtOnce], '\n'); end >= 0 {
		return end + 1
	}
	if end := bytes.IndexByte(lines, '\n'); end >= 0 {
		return end + 1
	}
	return len(lines)
}

func (s *Writer) close() {
	close(s.stop)
	select {
	case <-s.done:
	case <-s.clock.After(stopTimeout):
	}
}
