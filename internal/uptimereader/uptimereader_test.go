package uptimereader_test

import (
	"runtime"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"dotterelpost.example/dotterelpost/internal/uptimereader"
)

// TestUptimeDoesNotFollowTheClock: where the system tells the uptime, a step of the clock does not change it.
func TestUptimeDoesNotFollowTheClock(t *testing.T) {
	if runtime.GOOS != "linux" {
		t.Skip("the system does not tell the uptime")
	}
	clock := clockwork.NewFakeClock()
	reader := uptimereader.New(clock)
	before := reader.Uptime()
	clock.Advance(1000 * time.Hour)
	if after := reader.Uptime(); after < before || after-before >= 1000*time.Hour || before <= 0 {
		t.Errorf("uptime %s before and %s after a step of the clock", before, after)
	}
}
