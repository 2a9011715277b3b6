//go:build !linux

package uptimereader

import "time"

// systemUptime reports that the uptime is not known.
func systemUptime() (uptime time.Duration, known bool) { return 0, false }
