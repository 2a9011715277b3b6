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
	// maxBufferedBytes bounds the lines that wait, and so their memory.
	maxBufferedBytes = 1 << 20
	// flushInterval bounds the age of a line that waits. Lines are written together because each write
	// is a system call.
	flushInterval = 200 * time.Millisecond
	// stopTimeout bounds the last write.
	stopTimeout = 500 * time.Millisecond
)

// Writer is a writer of lines. It is safe for concurrent use.
type Writer struct {
	out      io.Writer
	clock    clockwork.Clock
	dropped  atomic.Int64
	accepted atomic.Int64
	stop     chan struct{}
	done     chan struct{}

	mu         sync.Mutex
	buffer     bytes.Buffer
	unreported int64
}

// New returns a writer and the function that ends it.
func New(out io.Writer, clock clockwork.Clock) (*Writer, func()) {
	w := &Writer{out: out, clock: clock, stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w, w.close
}

// Dropped returns how many lines were dropped.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// AcceptedBytes returns how many bytes were taken.
func (w *Writer) AcceptedBytes() int64 { return w.accepted.Load() }

// Write takes a line. It never waits and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.buffer.Len()+len(line) > maxBufferedBytes {
		w.unreported++
		w.dropped.Add(1)
		return len(line), nil
	}
	w.accepted.Add(int64(len(line)))
	return w.buffer.Write(line)
}

func (w *Writer) run() {
	defer close(w.done)
	ticker := w.clock.NewTicker(flushInterval)
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
	lines := bytes.Clone(w.buffer.Bytes())
	w.buffer.Reset()
	dropped := w.unreported
	w.unreported = 0
	w.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, `{"level":"WARN","msg":"lines dropped","count":%d}`+"\n", dropped)
	}
	for len(lines) > 0 {
		n := nextWriteLen(lines)
		// There is nowhere else to report it.
		_, _ = w.out.Write(lines[:n])
		lines = lines[n:]
	}
}

// maxAtomicWriteBytes is the size up to which a pipe takes a write whole, so that the lines of several writers
// of one pipe do not mix.
const maxAtomicWriteBytes = 4096

// nextWriteLen is the length of the lines that fit into one write; a longer line goes alone.
func nextWriteLen(lines []byte) int {
	if len(lines) <= maxAtomicWriteBytes {
		return len(lines)
	}
	if end := bytes.LastIndexByte(lines[:maxAtomicWriteBytes], '\n'); end >= 0 {
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
