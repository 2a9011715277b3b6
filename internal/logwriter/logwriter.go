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
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// AcceptedBytes returns how many bytes were taken.
func (w *Writer) AcceptedBytes() int64 { return w.total.Load() }

// Write takes a line. It never waits and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.waiting.Len()+len(line) > mostBytes {
		w.missing++
		w.dropped.Add(1)
		return len(line), nil
	}
	w.total.Add(int64(len(line)))
	return w.waiting.Write(line)
}

func (w *Writer) run() {
	defer close(w.done)
	ticker := w.clock.NewTicker(flushEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.Chan():
			w.flush()
		case <-w.stop:
			w.flush()
			return
		}
	}
}

func (w *Writer) flush() {
	w.mu.Lock()
	lines := bytes.Clone(w.waiting.Bytes())
	w.waiting.Reset()
	missing := w.missing
	w.missing = 0
	w.mu.Unlock()
	if missing > 0 {
		lines = fmt.Appendf(lines, `{"level":"WARN","msg":"lines dropped","count":%d}`+"\n", missing)
	}
	for len(lines) > 0 {
		piece := wholeLines(lines)
		// There is nowhere else to report it.
		_, _ = w.out.Write(lines[:piece])
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

func (w *Writer) close() {
	close(w.stop)
	select {
	case <-w.done:
	case <-w.clock.After(stopTimeout):
	}
}
