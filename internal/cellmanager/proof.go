package cellmanager

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"dotterelpost.example/dotterelpost/internal/cellscheduler"
	"dotterelpost.example/dotterelpost/internal/configprovider"
	"dotterelpost.example/dotterelpost/internal/connector"
	"dotterelpost.example/dotterelpost/internal/tablewatcher"
)

const (
	// clockDriftPercent is subtracted from a limit: the clock of this machine may be that much slower than
	// the one by which the limit counts.
	clockDriftPercent = 2
	// minWatchesPerLimit is how many watches of the configuration that wait for a change end within a
	// limit.
	minWatchesPerLimit = 3
	// renewalPercent is the part of a limit after which the configuration is confirmed beside the watch. In
	// undisturbed operation the configuration gets no older than two watches: a watch is sent when the one
	// before it is answered, and counts from then.
	renewalPercent = 75
	// renewalTimeout bounds one such call. renewalPause is the time between two of them.
	renewalTimeout = 800 * time.Millisecond
	renewalPause   = 300 * time.Millisecond
	// transferStall is how long a configuration that arrives may pause before it is requested again.
	transferStall = time.Second
)

// keyState is what the manager knows about how recent its configuration is.
type keyState struct {
	denials *cellscheduler.DenialRecorder
	// renewing is set while the configuration is confirmed beside the watch.
	renewing atomic.Bool
	// version is the version of the last answer that confirmed the configuration. receivedAt is the uptime
	// at which a part of an answer to the watch last arrived.
	version    atomic.Int64
	receivedAt atomic.Int64
	// invalidVersion is the version of the row that was last logged as invalid.
	invalidVersion atomic.Int64

	mu sync.Mutex
	// unreadable is set while the newest configuration row that was read can't be used. unreadableAt is the
	// uptime at which this was last found.
	unreadable   bool
	unreadableAt time.Duration
}

// rowOutcome is what an answer of the store told about the configuration row.
type rowOutcome int

const (
	// rowUnchanged means that the row has not changed since the last answer.
	rowUnchanged rowOutcome = iota
	// rowCurrent means that the row holds the active configuration or a newer one, which is active now.
	rowCurrent
	// rowOutdated means that an answer with a newer version of the row was processed earlier.
	rowOutdated
	// rowUnreadable means that there is no row, or one that can't be decoded.
	rowUnreadable
)

// watchConfiguration starts to watch the configuration row.
func (m *Manager) watchConfiguration() {
	outcome := rowUnchanged
	m.group.Go(func() {
		ctx := connector.WithReceived(m.ctx, func(int) { m.keys.receivedAt.Store(int64(m.Uptime.Uptime())) })
		tablewatcher.Watch(ctx, tablewatcher.Options{
			Store: m.store, Clock: m.Clock, Log: m.Log, Table: m.Decoders.ConfigurationTable,
			WatchTimeout: m.configurationWatchTimeout(), ResyncInterval: resyncInterval, Uptime: m.Uptime,
			Apply: func(rows []connector.Row, snapshot bool) { outcome = m.applyConfiguration(rows, snapshot) },
			Confirmed: func(sentAt time.Duration, version int64) {
				m.confirmConfiguration(outcome, sentAt)
				m.keys.version.Store(version)
				outcome = rowUnchanged
			},
		})
	})
}

// applyConfiguration applies the configuration row if it is among the rows. complete is set if the row
// must be among them.
func (m *Manager) applyConfiguration(rows []connector.Row, complete bool) rowOutcome {
	outcome := rowUnchanged
	if complete {
		outcome = rowUnreadable
	}
	for _, row := range rows {
		if row.Key != m.Decoders.ConfigurationKey {
			continue
		}
		if row.Value == nil {
			outcome = rowUnreadable
			continue
		}
		configuration, err := m.Decoders.Configuration(row.Value)
		if err != nil {
			if m.keys.invalidVersion.Swap(row.Version) != row.Version {
				m.Log.Error("invalid configuration row", "row", row.Key, "version", row.Version, "error", err)
			}
			outcome = rowUnreadable
			continue
		}
		outcome = rowCurrent
		if !m.configuration.Apply(configuration) {
			if configuration.Version < m.configuration.Version() {
				outcome = rowOutdated
			}
			continue
		}
		m.Log.Info("rules applied", "version", configuration.Version, "queues", len(configuration.Queues), "services", len(configuration.Services), "teams", len(configuration.Teams), "bytes", len(row.Value))
		for _, service := range configuration.Services {
			m.trackCell(service.Name)
		}
	}
	return outcome
}

// confirmConfiguration records that the store has answered a call that was sent at the uptime sentAt. A
// row that could not be read stays the newest one known until a call that was sent later has read
// a valid one.
func (m *Manager) confirmConfiguration(outcome rowOutcome, sentAt time.Duration) {
	k := &m.keys
	k.mu.Lock()
	defer k.mu.Unlock()
	switch outcome {
	case rowUnreadable:
		k.unreadable, k.unreadableAt = true, m.Uptime.Uptime()
		return
	case rowCurrent:
		k.unreadable = k.unreadable && sentAt <= k.unreadableAt
	case rowOutdated:
		return
	case rowUnchanged:
	}
	if !k.unreadable {
		m.configuration.Confirm(sentAt)
	}
}

// clockUptime derives the uptime from a clock, which does not count the time for which the machine was
// suspended.
type clockUptime struct {
	clock     clockwork.Clock
	startedAt time.Time
}

func (u clockUptime) Uptime() time.Duration { return u.clock.Since(u.startedAt) }

// proofLimit returns the shortest of the limits on the age of a configuration, or 0 if there is none.
func (m *Manager) proofLimit() time.Duration {
	limit := m.settings.ConfigurationLimit
	if revocation := m.settings.RevocationLimit; limit == 0 || revocation > 0 && revocation < limit {
		limit = revocation
	}
	return limit
}

// configurationWatchTimeout returns how long a watch of the configuration waits for a change.
func (m *Manager) configurationWatchTimeout() time.Duration {
	if m.proofLimit() == 0 {
		return watchTimeout
	}
	return min(watchTimeout, m.proofLimit()/minWatchesPerLimit)
}

// recentEnough reports whether a configuration that was the newest one at an uptime is younger than a limit, and
// returns its age. A limit of 0 allows any age.
func (m *Manager) recentEnough(confirmedAt time.Duration, confirmed bool, limit time.Duration) (age time.Duration, recent bool) {
	age = m.Uptime.Uptime() - confirmedAt
	return age, limit == 0 || confirmed && age <= limit*(100-clockDriftPercent)/100
}

// keysProven reports whether keys can be verified now.
func (m *Manager) keysProven() bool {
	_, confirmedAt, confirmed := m.configuration.Confirmed()
	_, recent := m.recentEnough(confirmedAt, confirmed, m.settings.RevocationLimit)
	return recent
}

// ProvenConfiguration returns the active configuration, or nil if there is none, and whether each version that was
// acknowledged longer ago than the configuration limit is known not to be newer. If it is not proven, it does not
// show that a queue or a key does not exist, nor that a queue still does.
func (m *Manager) ProvenConfiguration() (configuration *configprovider.Configuration, proven bool) {
	configuration, confirmedAt, confirmed := m.configuration.Confirmed()
	_, proven = m.recentEnough(confirmedAt, confirmed, m.settings.ConfigurationLimit)
	return configuration, proven
}

// RefuseUnproven records that a call was refused because the configuration is not proven, and returns the error.
func (m *Manager) RefuseUnproven(queue, id string) error {
	status := m.configurationStatus()
	m.keys.denials.Record(cellscheduler.Denial{
		Job: id, Queue: queue, Version: status.Version, Cause: cellscheduler.ConfigurationAge, Age: time.Duration(status.AgeMillis) * time.Millisecond,
	})
	return cellscheduler.UnprovenConfigurationError()
}

// configurationStatus returns the status of the active configuration for the metrics.
func (m *Manager) configurationStatus() cellscheduler.ConfigurationStatus {
	_, confirmedAt, confirmed := m.configuration.Confirmed()
	status := cellscheduler.ConfigurationStatus{Version: m.configuration.Version(), AgeMillis: -1}
	if confirmed {
		status.AgeMillis = (m.Uptime.Uptime() - confirmedAt).Milliseconds()
	}
	return status
}

// renewProof confirms the configuration beside the watch if that has not happened for long. The watch may
// wait for an answer on a dead connection, so the call also uses a peer. While the watch receives a configuration,
// another call would only slow it down.
func (m *Manager) renewProof() {
	configuration, confirmedAt, confirmed := m.configuration.Confirmed()
	limit := m.proofLimit()
	if limit == 0 || configuration == nil {
		return
	}
	age, recent := m.recentEnough(confirmedAt, confirmed, limit)
	if recent && age <= limit*renewalPercent/100 {
		return
	}
	if m.Uptime.Uptime()-time.Duration(m.keys.receivedAt.Load()) < transferStall {
		return
	}
	if m.store.Unavailable() && len(m.peersWithStore()) == 0 {
		// The store answers no instance. Its first answer to a probe ends the outage.
		return
	}
	if !m.keys.renewing.CompareAndSwap(false, true) {
		return
	}
	m.group.Go(func() {
		defer m.keys.renewing.Store(false)
		if err := m.confirmByChanges(); err != nil {
			m.Log.Warn("configuration could not be confirmed", "version", configuration.Version, "age-ms", age.Milliseconds(), "error", err)
		}
		m.sleep(renewalPause)
	})
}

// confirmByChanges asks for the changes since the last answer, on more than one way. The answer is small unless the
// configuration has changed. If the store has discarded that part of its history, the row is read.
func (m *Manager) confirmByChanges() error {
	sentAt := m.Uptime.Uptime()
	after := m.keys.version.Load()
	changes, err := m.store.ChangesHedged(m.ctx, renewalTimeout, m.Decoders.ConfigurationTable, after)
	var compacted *connector.CompactedError
	if errors.As(err, &compacted) {
		return m.readConfiguration()
	}
	if err != nil {
		return err
	}
	outcome := m.applyConfiguration(changes.Rows, false)
	if changes.Version < after {
		// The answer is older than the last one and proves nothing.
		return nil
	}
	m.confirmConfiguration(outcome, sentAt)
	return nil
}

// readConfiguration reads the configuration row once, on more than one way.
func (m *Manager) readConfiguration() error {
	sentAt, newest := m.Uptime.Uptime(), m.keys.version.Load()
	changes, err := m.store.SnapshotHedged(m.ctx, renewalTimeout, m.Decoders.ConfigurationTable, "")
	if err != nil {
		return err
	}
	if changes.Version < newest {
		// A store that has discarded its history may answer with an earlier state.
		return nil
	}
	m.confirmConfiguration(m.applyConfiguration(changes.Rows, true), sentAt)
	return nil
}
