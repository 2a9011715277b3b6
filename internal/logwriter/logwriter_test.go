package logwriter_test

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"dotterelpost.example/dotterelpost/internal/logwriter"
)

// writeRecorder records the data of each write.
type writeRecorder struct{ writes [][]byte }

func (r *writeRecorder) Write(text []byte) (int, error) {
	r.writes = append(r.writes, bytes.Clone(text))
	return len(text), nil
}

// TestWritesContainWholeLines checks that each write ends with a line and is at most 4096 bytes long.
func TestWritesContainWholeLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &writeRecorder{}
		log, stop := logwriter.New(out, clockwork.NewRealClock())
		line := strings.Repeat("x", 300) + "\n"
		for range 100 {
			if _, err := log.Write([]byte(line)); err != nil {
				t.Fatal(err)
			}
		}
		stop()
		total := 0
		for _, write := range out.writes {
			if len(write) > 4096 || write[len(write)-1] != '\n' {
				t.Errorf("a write of %d bytes is too long or ends within a line", len(write))
			}
			total += len(write)
		}
		if total != 100*len(line) {
			t.Errorf("%d bytes were written, want %d", total, 100*len(line))
		}
	})
}

// blockedWriter blocks each write until unblock is closed.
type blockedWriter struct{ unblock chan struct{} }

func (w blockedWriter) Write([]byte) (int, error) { <-w.unblock; return 0, nil }

// TestBlockedOutputDoesNotBlockWriters writes more lines than fit into the buffer while the output is
// blocked. Writers must not wait, and the excess lines must be dropped and counted.
func TestBlockedOutputDoesNotBlockWriters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		unblock := make(chan struct{})
		log, stop := logwriter.New(blockedWriter{unblock}, clockwork.NewRealClock())
		line := []byte(strings.Repeat("x", 999) + "\n")
		start := time.Now()
		for range 5000 {
			if _, err := log.Write(line); err != nil {
				t.Fatal(err)
			}
		}
		<-time.After(time.Second)
		for range 5000 {
			if _, err := log.Write(line); err != nil {
				t.Fatal(err)
			}
		}
		if time.Since(start) > time.Second {
			t.Error("a writer was blocked")
		}
		if log.Dropped() < 7000 {
			t.Errorf("%d lines dropped, want at least 7000", log.Dropped())
		}
		stop()
		close(unblock)
	})
}
