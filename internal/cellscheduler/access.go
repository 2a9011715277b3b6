package cellscheduler

import (
	"context"
	"expvar"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"dotterelpost.example/dotterelpost/internal/authenticator"
	"dotterelpost.example/dotterelpost/internal/steptracker"
)

// Caller tells on whose behalf a call is made. The zero value is any caller of a deployment without
// teams: it may do everything.
type Caller struct {
	// Team is the team whose key the caller has, or empty if the called queue is public and the caller
	// has none.
	Team string
	// Key is the digest of that key. ConfigurationVersion is the version that names Team as its holder.
	Key                  authenticator.Digest
	ConfigurationVersion int64
	// PublicQueue is the name of the called queue if it is public, or empty.
	PublicQueue string
}

// Anonymous reports whether the caller has no key of a team.
func (c *Caller) Anonymous() bool { return c.Team == "" }

// mayAccess reports whether the caller may see, repeat and cancel a job. The jobs of a public queue are
// open to all that call that queue.
func (c *Caller) mayAccess(p *steptracker.Progress) bool {
	switch {
	case *c == Caller{}, c.PublicQueue != "" && c.PublicQueue == p.Queue:
		return true
	case c.Anonymous():
		return false
	default:
		return p.Team == "" || p.Team == c.Team
	}
}

// DenialCause is the reason why a call was denied.
type DenialCause string

// The causes of denials.
const (
	NoKey      DenialCause = "no-key"
	UnknownKey DenialCause = "unknown-key"
	OtherTeam  DenialCause = "other-team"
	// ConfigurationAge means that the newest configuration that this instance knows is too old to
	// tell which queues and keys are valid.
	ConfigurationAge DenialCause = "configuration-age"
)

// UnauthorizedError reports that a call carried no valid key. The call had no effect.
type UnauthorizedError struct{ Cause DenialCause }

func (e *UnauthorizedError) Error() string {
	if e.Cause == NoKey {
		return "the queue needs a key"
	}
	return "the key is not valid"
}

// ForbiddenError reports that a call is about a job of another team. The call had no effect.
type ForbiddenError struct{ ID string }

func (e *ForbiddenError) Error() string { return "the key gives no access to job " + e.ID }

// UnverifiedKeyError reports that the key of a repeated submission can't be verified for now. The job
// may have been accepted earlier.
type UnverifiedKeyError struct{ ID string }

func (e *UnverifiedKeyError) Error() string {
	return "the key can't be verified for now, and job " + e.ID + " may have been accepted"
}

const (
	// unprovenRetryAfter is the Retry-After time while an instance can't tell which queues and keys are
	// valid. It attempts to confirm the configuration more often.
	unprovenRetryAfter = time.Second
	// unprovenRetryJitter is the maximum random addition to unprovenRetryAfter.
	unprovenRetryJitter = 500 * time.Millisecond
)

// UnprovenConfigurationError returns the refusal of a call whose queue or key can't be verified because the
// configuration may be out of date.
func UnprovenConfigurationError() *RefusedError {
	return &RefusedError{
		Reason: "the configuration of this instance may be out of date", Unavailable: true,
		RetryAfter: unprovenRetryAfter + time.Duration(rand.Int64N(int64(unprovenRetryJitter))),
	}
}

// Access is what a scheduler needs to check callers again. Its zero value checks no key's age and records
// nothing.
type Access struct {
	// KeysProven reports whether the configuration is recent enough to tell which keys are valid. It
	// may be nil.
	KeysProven func() bool
	// Denials may be nil.
	Denials *DenialRecorder
}

// denySubmission returns the error for a submission that its caller is not allowed, or nil. The call may
// have waited since its key was verified, so the key is verified again, unless this instance knows
// only an older configuration than the one that verified it.
func (c *Scheduler) denySubmission(caller Caller, definition *steptracker.Job) error {
	j, known := c.jobs[definition.ID]
	if known && !caller.mayAccess(j.progress) {
		return c.forbid(caller, j)
	}
	if caller.Anonymous() || caller.PublicQueue != "" {
		return nil
	}
	if c.Access.KeysProven != nil && !c.Access.KeysProven() {
		c.Access.Denials.Record(Denial{Job: definition.ID, Queue: definition.Queue, Team: caller.Team, Cause: ConfigurationAge})
		if known {
			return &UnverifiedKeyError{ID: definition.ID}
		}
		return UnprovenConfigurationError()
	}
	configuration := c.Configuration.Current()
	if configuration == nil || configuration.Version < caller.ConfigurationVersion || !configuration.HasTeams() {
		return nil
	}
	if team, held := configuration.TeamOf(caller.Key); !held || team != caller.Team {
		c.Access.Denials.Record(Denial{Job: definition.ID, Queue: definition.Queue, Team: caller.Team, Cause: UnknownKey, Version: configuration.Version})
		return &UnauthorizedError{Cause: UnknownKey}
	}
	return nil
}

func (c *Scheduler) forbid(caller Caller, j *job) error {
	c.Access.Denials.Record(Denial{Job: j.id, Queue: j.progress.Queue, Team: caller.Team, Cause: OtherTeam, Version: caller.ConfigurationVersion})
	return &ForbiddenError{ID: j.id}
}

// Submit submits a job on behalf of a caller that may do everything.
func (c *Scheduler) Submit(ctx context.Context, definition *steptracker.Job) (SubmitResult, error) {
	return c.SubmitFor(ctx, Caller{}, definition)
}

// State returns the state of a job on behalf of a caller that may do everything.
func (c *Scheduler) State(ctx context.Context, id string) (steptracker.State, error) {
	return c.StateFor(ctx, Caller{}, id)
}

// Cancel cancels a job on behalf of a caller that may do everything.
func (c *Scheduler) Cancel(ctx context.Context, id string) error {
	return c.CancelFor(ctx, Caller{}, id)
}

// Denial is a call that was denied.
type Denial struct {
	// Job is empty if the call was not about a job, Team if the caller had no valid key.
	Job, Queue, Team string
	Cause            DenialCause
	// Version is the version of the configuration that was decided by.
	Version int64
	// Age is the age of the configuration, if that is the cause.
	Age time.Duration
}

// DenialRecorder counts denied calls and logs them, at a bounded rate: callers without a valid key must not
// be able to fill the log. It may be used concurrently, and a nil recorder records nothing.
type DenialRecorder struct {
	log     *slog.Logger
	clock   clockwork.Clock
	metrics *Metrics
	limiter *rate.Limiter
	// unlogged counts the denials since the last line that were not logged.
	unlogged atomic.Int64
}

const (
	// maxDenialLines is the number of log lines a second about denied calls.
	maxDenialLines = 50
	// maxDenialBurst is how many such lines are logged at once.
	maxDenialBurst = 100
)

// NewDenialRecorder returns a recorder.
func NewDenialRecorder(log *slog.Logger, clock clockwork.Clock, metrics *Metrics) *DenialRecorder {
	return &DenialRecorder{log: log, clock: clock, metrics: metrics, limiter: rate.NewLimiter(maxDenialLines, maxDenialBurst)}
}

// Record records a denied call.
func (r *DenialRecorder) Record(d Denial) {
	if r == nil {
		return
	}
	r.metrics.CallDenied(d.Cause)
	if !r.limiter.AllowN(r.clock.Now(), 1) {
		r.unlogged.Add(1)
		return
	}
	r.log.Info("denied", "job", d.Job, "queue", d.Queue, "cause", string(d.Cause), "team", d.Team, "version", d.Version,
		"configuration-age-ms", d.Age.Milliseconds(), "unlogged", r.unlogged.Swap(0))
}

// CallDenied counts a denied call.
func (m *Metrics) CallDenied(cause DenialCause) { m.root.Add("denied-"+string(cause), 1) }

// ConfigurationStatus describes the active configuration.
type ConfigurationStatus struct {
	Version int64 `json:"version"`
	// AgeMillis is the time since the configuration was known to be the newest one, -1 if it never was.
	AgeMillis int64 `json:"age-ms"`
}

// PublishConfiguration adds the status of the active configuration to the metrics.
func (m *Metrics) PublishConfiguration(status func() ConfigurationStatus) {
	m.root.Set("configuration", expvar.Func(func() any { return status() }))
}
