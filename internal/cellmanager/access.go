package cellmanager

import (
	"encoding/json"

	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/internal/authenticator"
	"dotterelpost.example/dotterelpost/internal/cellscheduler"
	"dotterelpost.example/dotterelpost/internal/configprovider"
	"dotterelpost.example/dotterelpost/internal/messenger"
	"dotterelpost.example/dotterelpost/internal/steptracker"
)

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
	age, recent := m.recentEnough(confirmedAt, confirmed, m.settings.RevocationLimit)
	_, proven := m.recentEnough(confirmedAt, confirmed, m.settings.ConfigurationLimit)
	caller := cellscheduler.Caller{ConfigurationVersion: configuration.Version, Key: authenticator.DigestOf(credential)}
	denial := cellscheduler.Denial{Job: id, Queue: queue.Name, Version: configuration.Version}
	if recent {
		caller.Team, _ = configuration.TeamOf(caller.Key)
	}
	switch {
	case queue.Public:
		caller.PublicQueue = queue.Name
		return caller, nil
	case recent && caller.Team != "":
		return caller, nil
	case !recent || !proven:
		// A newer version may have added the key.
		denial.Cause, denial.Age = cellscheduler.ConfigurationAge, age
		m.keys.denials.Record(denial)
		return cellscheduler.Caller{}, cellscheduler.UnprovenConfigurationError()
	case credential == "":
		denial.Cause = cellscheduler.NoKey
	default:
		denial.Cause = cellscheduler.UnknownKey
	}
	m.keys.denials.Record(denial)
	return cellscheduler.Caller{}, &cellscheduler.UnauthorizedError{Cause: denial.Cause}
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
	Via    *wirePath   `json:"via,omitempty"`
}

func encodeJobCall(job *steptracker.Job, caller cellscheduler.Caller, via *wirePath) ([]byte, error) {
	wire := encodeCaller(caller)
	if wire != nil && !caller.Anonymous() {
		wire.Key = caller.Key[:]
	}
	body, err := json.Marshal(jobCall{Job: *job, Caller: wire, Via: via})
	if err != nil {
		return nil, errors.Wrap(err, "encode job")
	}
	return body, nil
}

func decodeJobCall(call *messenger.Call) (*steptracker.Job, cellscheduler.Caller, *wirePath, error) {
	var decoded jobCall
	if err := json.Unmarshal(call.GetJob(), &decoded); err != nil {
		return nil, cellscheduler.Caller{}, nil, &badCallError{Reason: err.Error()}
	}
	caller, err := decoded.Caller.caller()
	return &decoded.Job, caller, decoded.Via, err
}

// callerCall is the content of a call that has a caller and no job.
type callerCall struct {
	Caller *wireCaller `json:"caller,omitempty"`
	Via    *wirePath   `json:"via,omitempty"`
}

// encodeCallerCall returns nil if the deployment has no teams and the call has no path.
func encodeCallerCall(caller cellscheduler.Caller, via *wirePath) ([]byte, error) {
	wire := encodeCaller(caller)
	if wire == nil && via == nil {
		return nil, nil
	}
	body, err := json.Marshal(callerCall{Caller: wire, Via: via})
	if err != nil {
		return nil, errors.Wrap(err, "encode caller")
	}
	return body, nil
}

func decodeCallerCall(call *messenger.Call) (cellscheduler.Caller, *wirePath, error) {
	if len(call.GetJob()) == 0 {
		return cellscheduler.Caller{}, nil, nil
	}
	var decoded callerCall
	if err := json.Unmarshal(call.GetJob(), &decoded); err != nil {
		return cellscheduler.Caller{}, nil, &badCallError{Reason: err.Error()}
	}
	caller, err := decoded.Caller.caller()
	return caller, decoded.Via, err
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
