package uptimereader

import (
	"time"

	"golang.org/x/sys/unix"
)

// systemUptime returns the system's uptime, and false if the system does not tell it.
func systemUptime() (uptime time.Duration, known bool) {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return 0, false
	}
	return time.Duration(now.Nano()), true
}
