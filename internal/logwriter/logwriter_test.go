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

// pieces keeps what each write brought.
type pieces struct{ writes [][]byte }

func (p *pieces) Write(text []byte) (int, error) {
	p.writes = append(p.writes, bytes.Clone(text))
	return len(text), nil
}

func TestLinesStayWholeAndInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &pieces{}
		log, stop := logwriter.New(out, clockwork.NewRealClock())
		line := strings.Repeat("x", 300) + "\n"
		for range 100 {
			if _, err := log.Write([]byte(line)); err != nil {
				t.Fatal(err)
			}
		}
		stop()
		total := 0
		for _, piece := range out.writes {
			if len(piece) > 4096 || piece[len(piece)-1] != '\n' {
				t.Errorf("a write of %d bytes ends within a line", len(piece))
			}
			total += len(piece)
		}
		if total != 100*len(line) {
			t.Errorf("%d bytes came out, want %d", total, 100*len(line))
		}
	})
}

// stuck never takes anything.
type stuck struct{ forever chan struct{} }

func (s stuck) Write([]byte) (int, error) { <-s.forever; return 0, nil }

// TestReaderThatNeverReads: writing goes on, lines are dropped and counted, and memory is bounded.
func TestReaderThatNeverReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		forever := make(chan struct{})
		log, stop := logwriter.New(stuck{forever}, clockwork.NewRealClock())
		line := []byte(strings.Repeat("x", 999) + "\n")
		began := time.Now()
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
		if time.Since(began) > time.Second {
			t.Error("a writer was kept waiting")
		}
		if log.Dropped() < 7000 {
			t.Errorf("%d lines dropped", log.Dropped())
		}
		stop()
		close(forever)
	})
}
