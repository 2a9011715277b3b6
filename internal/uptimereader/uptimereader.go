// Package uptimereader reads the time since the machine started, including the time for which it was
// suspended.
//
// # Usage
//
//	reader := uptimereader.New(clock)
//	sentAt := reader.Uptime()
//	…
//	age := reader.Uptime() - sentAt
//
// The monotonic clock stands still while a machine is suspended, so an age that it measures may be too
// short. The uptime neither stands still nor jumps with the time of day.
package uptimereader

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// Reader reads the uptime of the machine. It may be used concurrently.
type Reader struct {
	clock     clockwork.Clock
	startedAt time.Time
}

// New returns a reader. The clock is used where the system does not tell the uptime.
func New(clock clockwork.Clock) *Reader {
	return &Reader{clock: clock, startedAt: clock.Now()}
}

// Uptime returns the time since an arbitrary moment before the reader was created.
func (r *Reader) Uptime() time.Duration {
	if uptime, known := systemUptime(); known {
		return uptime
	}
	return r.clock.Since(r.startedAt)
}
