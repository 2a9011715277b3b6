// Package logwriter provides a writer of log lines that never blocks. Lines go into a bounded buffer that
// a goroutine flushes to the output. Lines that do not fit into the buffer are dropped and counted, and
// a log line reports their number.
//
// # Usage
//
//	out, stop := logwriter.New(os.Stdout, clock)
//	log := slog.New(slog.NewJSONHandler(out, nil))
//
// The stop function flushes the buffer. It returns within half a second even if the output is blocked.
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
	// maxBufferedBytes limits the memory taken by buffered lines.
	maxBufferedBytes = 1 << 20
	// flushInterval is the longest time for which a line is buffered. Lines are written in batches
	// because each write is a system call.
	flushInterval = 200 * time.Millisecond
	// stopTimeout limits how long stopping waits for the last flush.
	stopTimeout = 500 * time.Millisecond
)

// Writer is a non-blocking writer of log lines. It is safe for concurrent use.
type Writer struct {
	out      io.Writer
	clock    clockwork.Clock
	dropped  atomic.Int64
	accepted atomic.Int64
	stop     chan struct{}
	done     chan struct{}

	mu     sync.Mutex
	buffer bytes.Buffer
	// unreported counts the lines dropped since the last flush.
	unreported int64
}

// New returns a Writer to the given output and the function that stops it.
func New(out io.Writer, clock clockwork.Clock) (*Writer, func()) {
	w := &Writer{out: out, clock: clock, stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w, w.close
}

// Dropped returns the number of dropped lines.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// AcceptedBytes returns the number of bytes accepted into the buffer.
func (w *Writer) AcceptedBytes() int64 { return w.accepted.Load() }

// Write buffers a line, or drops it if the buffer is full. It never blocks on the output and never fails.
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
		// An error is ignored because there is no other place to report it.
		_, _ = w.out.Write(lines[:n])
		lines = lines[n:]
	}
}

// maxAtomicWriteBytes is the size up to which a write to a pipe is atomic, so that lines of several
// writers to the same pipe are not interleaved.
const maxAtomicWriteBytes = 4096

// nextWriteLen returns the length of the complete lines that fit into one atomic write. A line that is
// too long for one is written alone.
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
