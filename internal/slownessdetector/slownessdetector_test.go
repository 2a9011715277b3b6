package slownessdetector

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

func TestSlowRequiresAllRecentMeasurementsToBeLong(t *testing.T) {
	detector := New(clockwork.NewFakeClock())
	record := func(count int, duration time.Duration) {
		for range count {
			detector.record(duration)
		}
	}
	record(20, 50*time.Microsecond)
	if detector.Slow() {
		t.Error("a machine with constant durations is reported as slow")
	}
	record(windowSize-1, 400*time.Microsecond)
	if detector.Slow() {
		t.Error("a machine with one short duration among the recent ones is reported as slow")
	}
	record(1, 400*time.Microsecond)
	if !detector.Slow() {
		t.Error("a machine that is eight times slower is not reported as slow")
	}
	record(1, 60*time.Microsecond)
	if detector.Slow() {
		t.Error("a machine that has recovered is reported as slow")
	}
}
