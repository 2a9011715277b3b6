package cellmanager

import (
	"log/slog"
	"sync"

	"dotterelpost.example/dotterelpost/internal/elector"
)

// unreadyReason is the reason why an instance should receive no new connections, or empty if it is ready.
type unreadyReason string

const (
	noConfiguration       unreadyReason = "no-configuration"
	leaving               unreadyReason = "leaving"
	unprovenConfiguration unreadyReason = "unproven-configuration"
	noOwner               unreadyReason = "no-owner"
)

// readinessLog logs each change of the readiness.
type readinessLog struct {
	mu      sync.Mutex
	checked bool
	reason  unreadyReason
}

func (l *readinessLog) record(log *slog.Logger, reason unreadyReason, status []any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.checked && l.reason == reason {
		return
	}
	l.checked, l.reason = true, reason
	log.Info("readiness", append([]any{"ready", reason == "", "reason", reason}, status...)...)
}

// Ready reports whether this instance can serve callers: it has a configuration, can tell which queues there are
// and which keys are valid, and knows a live owner of every service's cell.
func (m *Manager) Ready() bool {
	reason := m.unreadyReason()
	status := m.configurationStatus()
	m.readiness.record(m.Log, reason, []any{"version", status.Version, "configuration-age-ms", status.AgeMillis, "store-silence-ms", m.store.SinceAnswer().Milliseconds()})
	return reason == ""
}

func (m *Manager) unreadyReason() unreadyReason {
	configuration, proven := m.ProvenConfiguration()
	switch {
	case configuration == nil:
		return noConfiguration
	case m.leaving.Load():
		return leaving
	case !proven, !m.canVerifyKeys():
		return unprovenConfiguration
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, service := range configuration.Services {
		c := m.cells[service.Name]
		if c == nil || c.scheduler == nil && (c.ownership.Owner == "" || m.Clock.Since(m.ownerLastConfirmed(c)) > elector.HeartbeatTimeout) {
			return noOwner
		}
	}
	return ""
}
