package cellmanager

import (
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"dotterelpost.example/dotterelpost/internal/authenticator"
	"dotterelpost.example/dotterelpost/internal/cellscheduler"
	"dotterelpost.example/dotterelpost/internal/configprovider"
	"dotterelpost.example/dotterelpost/internal/connector"
	"dotterelpost.example/dotterelpost/internal/messenger"
	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/tablewatcher"
)

const (
	// clockDriftPercent is subtracted from the revocation limit: the clock of this machine may be that much
	// slower than the one by which the limit counts.
	clockDriftPercent = 2
	// minWatchesPerLimit is how many watches of the configuration that wait for a change end within the
	// revocation limit.
	minWatchesPerLimit = 5
	// renewalPercent is the part of the revocation limit after which the configuration is read again
	// beside the watch. In undisturbed operation the configuration gets no older than two watches: a
	// watch is sent when the one before it is answered, and counts from then.
	renewalPercent = 50
	// renewalTimeout bounds one such read. renewalPause is the time between two of them, and
	// lateRenewalPause that once keys can't be verified any more.
	renewalTimeout   = 800 * time.Millisecond
	renewalPause     = 300 * time.Millisecond
	lateRenewalPause = time.Second
)

// keyState is what the manager knows about how recent its configuration is.
type keyState struct {
	denials *cellscheduler.DenialRecorder
	// renewing is set while the configuration is read beside the watch.
	renewing atomic.Bool

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
		tablewatcher.Watch(m.ctx, tablewatcher.Options{
			Store: m.store, Clock: m.Clock, Log: m.Log, Table: m.Decoders.ConfigurationTable,
			WatchTimeout: m.configurationWatchTimeout(), ResyncInterval: resyncInterval, Uptime: m.Uptime,
			Apply: func(rows []connector.Row, snapshot bool) { outcome = m.applyConfiguration(rows, snapshot) },
			Confirmed: func(sentAt time.Duration) {
				m.confirmConfiguration(outcome, sentAt)
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
			m.Log.Error("invalid configuration row", "row", row.Key, "version", row.Version, "error", err)
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

// configurationWatchTimeout returns how long a watch of the configuration waits for a change.
func (m *Manager) configurationWatchTimeout() time.Duration {
	if m.settings.RevocationLimit == 0 {
		return watchTimeout
	}
	return min(watchTimeout, m.settings.RevocationLimit/minWatchesPerLimit)
}

// maxKeyAge returns how old the configuration may be by which keys are verified, or 0 if any age will do.
func (m *Manager) maxKeyAge() time.Duration {
	return m.settings.RevocationLimit * (100 - clockDriftPercent) / 100
}

// recentEnough reports whether a configuration that was the newest one at an uptime may be used to verify
// keys now, and returns its age.
func (m *Manager) recentEnough(confirmedAt time.Duration, confirmed bool) (age time.Duration, recent bool) {
	age = m.Uptime.Uptime() - confirmedAt
	return age, m.settings.RevocationLimit == 0 || confirmed && age <= m.maxKeyAge()
}

// keysProven reports whether keys can be verified now.
func (m *Manager) keysProven() bool {
	_, confirmedAt, confirmed := m.configuration.Confirmed()
	_, recent := m.recentEnough(confirmedAt, confirmed)
	return recent
}

// canVerifyKeys reports whether this instance can serve queues that need a key, if there are any.
func (m *Manager) canVerifyKeys() bool {
	configuration := m.configuration.Current()
	if configuration == nil || !configuration.HasTeams() {
		return true
	}
	for i := range configuration.Queues {
		if !configuration.Queues[i].Public {
			return m.keysProven()
		}
	}
	return true
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

// Authenticate returns the caller that a credential belongs to. id is the job that the call is about, if any.
// It must be called when nothing that delays the call is left to wait for. The error is a
// *cellscheduler.UnauthorizedError, or a *cellscheduler.RefusedError if the configuration may be out of date.
func (m *Manager) Authenticate(queue *configprovider.Queue, id, credential string) (cellscheduler.Caller, error) {
	configuration, confirmedAt, confirmed := m.configuration.Confirmed()
	if configuration == nil || !configuration.HasTeams() {
		return cellscheduler.Caller{}, nil
	}
	if current := configuration.Queue(queue.Name); current != nil {
		queue = current
	}
	age, recent := m.recentEnough(confirmedAt, confirmed)
	caller := cellscheduler.Caller{ConfigurationVersion: configuration.Version, Key: authenticator.DigestOf(credential)}
	denial := cellscheduler.Denial{Job: id, Queue: queue.Name, Version: configuration.Version}
	if recent {
		caller.Team, _ = configuration.TeamOf(caller.Key)
	}
	switch {
	case queue.Public:
		caller.PublicQueue = queue.Name
		return caller, nil
	case !recent:
		denial.Cause, denial.Age = cellscheduler.ConfigurationAge, age
		m.keys.denials.Record(denial)
		return cellscheduler.Caller{}, cellscheduler.UnprovenConfigurationError()
	case caller.Team != "":
		return caller, nil
	case credential == "":
		denial.Cause = cellscheduler.NoKey
	default:
		denial.Cause = cellscheduler.UnknownKey
	}
	m.keys.denials.Record(denial)
	return cellscheduler.Caller{}, &cellscheduler.UnauthorizedError{Cause: denial.Cause}
}

// renewProof reads the configuration beside the watch if it has not been confirmed for long. The watch may
// wait for an answer on a dead connection, so the read also uses a peer.
func (m *Manager) renewProof() {
	configuration, confirmedAt, confirmed := m.configuration.Confirmed()
	if m.settings.RevocationLimit == 0 || configuration == nil || !configuration.HasTeams() {
		return
	}
	age, recent := m.recentEnough(confirmedAt, confirmed)
	if recent && age <= m.settings.RevocationLimit*renewalPercent/100 {
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
		if err := m.readConfiguration(); err != nil {
			m.Log.Warn("configuration could not be confirmed", "version", configuration.Version, "age-ms", age.Milliseconds(), "error", err)
		}
		if m.keysProven() {
			m.sleep(renewalPause)
		} else {
			m.sleep(lateRenewalPause)
		}
	})
}

// readConfiguration reads the configuration row once, on more than one way.
func (m *Manager) readConfiguration() error {
	sentAt := m.Uptime.Uptime()
	rows, err := m.store.ReadHedged(m.ctx, renewalTimeout, m.Decoders.ConfigurationKey)
	if err != nil {
		return err
	}
	found := make([]connector.Row, 0, len(rows))
	for _, row := range rows {
		found = append(found, row)
	}
	m.confirmConfiguration(m.applyConfiguration(found, true), sentAt)
	return nil
}

// wireCaller is a caller as instances exchange it. Key is the digest of its key, which only submissions
// carry: the owner verifies no others again.
type wireCaller struct {
	Team                 string `json:"team,omitempty"`
	Key                  []byte `json:"key,omitempty"`
	ConfigurationVersion int64  `json:"configuration,omitempty"`
	PublicQueue          string `json:"public-queue,omitempty"`
}

// encodeCaller returns nil if the deployment has no teams.
func encodeCaller(caller cellscheduler.Caller) *wireCaller {
	if caller == (cellscheduler.Caller{}) {
		return nil
	}
	return &wireCaller{Team: caller.Team, ConfigurationVersion: caller.ConfigurationVersion, PublicQueue: caller.PublicQueue}
}

func (w *wireCaller) caller() (cellscheduler.Caller, error) {
	if w == nil {
		return cellscheduler.Caller{}, nil
	}
	caller := cellscheduler.Caller{Team: w.Team, ConfigurationVersion: w.ConfigurationVersion, PublicQueue: w.PublicQueue}
	if len(w.Key) != 0 && len(w.Key) != len(caller.Key) {
		return caller, &badCallError{Reason: "the digest of the key has a wrong length"}
	}
	copy(caller.Key[:], w.Key)
	return caller, nil
}

// jobCall is the job of a call with its caller. Without teams it is encoded like the job alone.
type jobCall struct {
	steptracker.Job
	Caller *wireCaller `json:"caller,omitempty"`
}

func encodeJobCall(job *steptracker.Job, caller cellscheduler.Caller) ([]byte, error) {
	wire := encodeCaller(caller)
	if wire != nil && !caller.Anonymous() {
		wire.Key = caller.Key[:]
	}
	body, err := json.Marshal(jobCall{Job: *job, Caller: wire})
	if err != nil {
		return nil, errors.Wrap(err, "encode job")
	}
	return body, nil
}

func decodeJobCall(call *messenger.Call) (*steptracker.Job, cellscheduler.Caller, error) {
	var decoded jobCall
	if err := json.Unmarshal(call.GetJob(), &decoded); err != nil {
		return nil, cellscheduler.Caller{}, &badCallError{Reason: err.Error()}
	}
	caller, err := decoded.Caller.caller()
	return &decoded.Job, caller, err
}

// callerCall is the content of a call that has a caller and no job.
type callerCall struct {
	Caller *wireCaller `json:"caller"`
}

// encodeCallerCall returns nil if the deployment has no teams.
func encodeCallerCall(caller cellscheduler.Caller) ([]byte, error) {
	wire := encodeCaller(caller)
	if wire == nil {
		return nil, nil
	}
	body, err := json.Marshal(callerCall{Caller: wire})
	if err != nil {
		return nil, errors.Wrap(err, "encode caller")
	}
	return body, nil
}

func decodeCallerCall(call *messenger.Call) (cellscheduler.Caller, error) {
	if len(call.GetJob()) == 0 {
		return cellscheduler.Caller{}, nil
	}
	var decoded callerCall
	if err := json.Unmarshal(call.GetJob(), &decoded); err != nil {
		return cellscheduler.Caller{}, &badCallError{Reason: err.Error()}
	}
	return decoded.Caller.caller()
}

// The values of messenger.Reply.Refusal for calls that are denied. Instances of versions that do not know
// them treat such a reply as a refusal because of load.
const (
	refusalNoKey      = "no-key"
	refusalUnknownKey = "unknown-key"
	refusalForbidden  = "forbidden"
)

// encodeDenial sets the reply for a call that was denied. It reports false for other errors.
func encodeDenial(reply *messenger.Reply, err error) bool {
	var unauthorized *cellscheduler.UnauthorizedError
	var forbidden *cellscheduler.ForbiddenError
	switch {
	case errors.As(err, &unauthorized) && unauthorized.Cause == cellscheduler.NoKey:
		reply.Refusal = refusalNoKey
	case errors.As(err, &unauthorized):
		reply.Refusal = refusalUnknownKey
	case errors.As(err, &forbidden):
		reply.Refusal, reply.Reason = refusalForbidden, forbidden.ID
	default:
		return false
	}
	reply.Error = messenger.ErrorKind_ERROR_KIND_REFUSED
	return true
}

// decodeDenial returns the error of a refusal if the call was denied, or nil.
func decodeDenial(reply *messenger.Reply) error {
	switch reply.GetRefusal() {
	case refusalNoKey:
		return &cellscheduler.UnauthorizedError{Cause: cellscheduler.NoKey}
	case refusalUnknownKey:
		return &cellscheduler.UnauthorizedError{Cause: cellscheduler.UnknownKey}
	case refusalForbidden:
		return &cellscheduler.ForbiddenError{ID: reply.GetReason()}
	default:
		return nil
	}
}

// isDenial reports whether a call was denied and had no effect.
func isDenial(err error) bool {
	var unauthorized *cellscheduler.UnauthorizedError
	var forbidden *cellscheduler.ForbiddenError
	return errors.As(err, &unauthorized) || errors.As(err, &forbidden)
}
