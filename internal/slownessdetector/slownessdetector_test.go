package slownessdetector

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

func TestSlowOnlyIfAllRecentBeatsAreLong(t *testing.T) {
	p := New(clockwork.NewFakeClock())
	note := func(count int, took time.Duration) {
		for range count {
			p.record(took)
		}
	}
	note(20, 50*time.Microsecond)
	if p.Slow() {
		t.Error("a steady machine counts as slow")
	}
	note(windowSize-1, 400*time.Microsecond)
	if p.Slow() {
		t.Error("some interrupted beats make a machine slow")
	}
	note(1, 400*time.Microsecond)
	if !p.Slow() {
		t.Error("a machine eight times slower is not noticed")
	}
	note(1, 60*time.Microsecond)
	if p.Slow() {
		t.Error("a machine that is sound again counts as slow")
	}
}
