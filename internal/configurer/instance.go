package configurer

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/c2h5oh/datasize"
	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/validator"
)

//go:embed instance.json
var instanceSchemaText string

var instanceSchema = sync.OnceValues(func() (*validator.Schema, error) {
	return validator.Compile("instance", instanceSchemaText)
})

// Instance holds the settings of an instance.
type Instance struct {
	Name             string           `json:"name"`
	Region           string           `json:"region"`
	AvailabilityZone string           `json:"availability-zone"`
	Listen           Listen           `json:"listen"`
	Platform         netip.AddrPort   `json:"platform"`
	Tokens           TokenFiles       `json:"tokens"`
	FenceMode        string           `json:"fence-mode"`
	PartitionLease   modeler.Duration `json:"partition-lease"`
	TaskLease        modeler.Duration `json:"task-lease"`
	ClockBound       modeler.Duration `json:"clock-bound"`
	DurableRetention modeler.Duration `json:"keep-durable-answers"`
	QuickRetention   modeler.Duration `json:"keep-quick-answers"`
	MaxConnections   int              `json:"connections"`
	// Memory is the memory that the process may take; 0 means no limit.
	Memory   datasize.ByteSize `json:"memory"`
	Seed     uint64            `json:"seed"`
	LogLevel slog.Level        `json:"log-level"`
}

// Listen holds the addresses on which an instance listens. Port 0 selects any free port.
type Listen struct {
	Callers   netip.AddrPort `json:"callers"`
	Operators netip.AddrPort `json:"operators"`
	Mesh      netip.AddrPort `json:"mesh"`
}

// TokenFiles holds the paths of the files with the bearer tokens, relative to the settings file.
type TokenFiles struct {
	Callers   string `json:"callers-file"`
	Operators string `json:"operators-file"`
	Mesh      string `json:"mesh-file"`
}

// Defaults of an instance. A successor observes a partition lease for its full length before it takes
// the partition over, so the lease limits how long jobs wait for a successor. The take-over has to fit
// into the 7.6 s allowed for urgent jobs.
const (
	defaultPartitionLease   = 4 * time.Second
	defaultTaskLease        = 15 * time.Second
	defaultClockBound       = 500 * time.Millisecond
	defaultDurableRetention = 24 * time.Hour
	defaultQuickRetention   = 10 * time.Minute
	defaultMaxConnections   = 4096
)

// NewInstance returns the default settings.
func NewInstance() Instance {
	return Instance{
		FenceMode:        "compare-epochs",
		PartitionLease:   modeler.Duration(defaultPartitionLease),
		TaskLease:        modeler.Duration(defaultTaskLease),
		ClockBound:       modeler.Duration(defaultClockBound),
		DurableRetention: modeler.Duration(defaultDurableRetention),
		QuickRetention:   modeler.Duration(defaultQuickRetention),
		MaxConnections:   defaultMaxConnections,
		Seed:             1,
	}
}

// ReadInstance reads and validates the settings file of an instance.
func ReadInstance(file string) (Instance, validator.Faults) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Instance{}, validator.Faults{{File: file, Path: "$", Problem: err.Error(), Remedy: "give a readable settings file"}}
	}
	return ParseInstance(file, text)
}

// ParseInstance parses and validates the text of an instance's settings file.
func ParseInstance(file string, text []byte) (Instance, validator.Faults) {
	settings := NewInstance()
	schema, err := instanceSchema()
	if err != nil {
		return settings, validator.Faults{{File: file, Path: "$", Problem: err.Error(), Remedy: "report this as a bug"}}
	}
	if faults := schema.Decode(file, text, &settings); len(faults) > 0 {
		return settings, faults
	}
	return settings, settings.check(file)
}

// check returns the faults that the schema can't express.
func (s *Instance) check(file string) validator.Faults {
	var faults validator.Faults
	addresses := []struct {
		path    string
		address netip.AddrPort
	}{
		{"$.listen.callers", s.Listen.Callers},
		{"$.listen.operators", s.Listen.Operators},
		{"$.listen.mesh", s.Listen.Mesh},
		{"$.platform", s.Platform},
	}
	for i, current := range addresses {
		for _, other := range addresses[:i] {
			if current.address == other.address && current.address.Port() != 0 {
				faults = append(faults, validator.Fault{
					File: file, Path: current.path,
					Problem: fmt.Sprintf("%s stands at %s too", current.address, other.path), Remedy: "give each its own port",
				})
			}
		}
	}
	if s.Platform.Port() == 0 {
		faults = append(faults, validator.Fault{File: file, Path: "$.platform", Problem: "port 0 can't be connected to", Remedy: "give the platform's port"})
	}
	faults = append(faults, s.checkLeases(file)...)
	return faults
}

func (s *Instance) checkLeases(file string) validator.Faults {
	const minPartitionLease = 200 * time.Millisecond
	var faults validator.Faults
	if time.Duration(s.PartitionLease) < minPartitionLease {
		faults = append(faults, validator.Fault{
			File: file, Path: "$.partition-lease",
			Problem: fmt.Sprintf("%s is too short for the lease to be renewed in time", time.Duration(s.PartitionLease)), Remedy: "give at least " + minPartitionLease.String(),
		})
	}
	if s.TaskLease <= s.PartitionLease {
		faults = append(faults, validator.Fault{
			File: file, Path: "$.task-lease",
			Problem: fmt.Sprintf("%s is not longer than the partition lease of %s", time.Duration(s.TaskLease), time.Duration(s.PartitionLease)),
			Remedy:  "make it at least three times as long, or a take-over ends running tasks",
		})
	}
	return faults
}

// Secrets holds the bearer tokens: those of callers and operators by name, and that of the mesh.
type Secrets struct {
	Callers   map[string]string
	Operators map[string]string
	Mesh      string
}

// ReadSecrets reads the token files that the settings name. File is the settings file, to which their
// paths are relative.
func ReadSecrets(settings Instance, file string) (Secrets, validator.Faults) {
	var secrets Secrets
	var faults validator.Faults
	read := func(path, name string, decode func(text []byte) error) {
		if !filepath.IsAbs(name) {
			name = filepath.Join(filepath.Dir(file), name)
		}
		text, err := os.ReadFile(name)
		if err == nil {
			err = decode(text)
		}
		if err != nil {
			faults = append(faults, validator.Fault{File: file, Path: path, Problem: err.Error(), Remedy: "give a readable token file, see docs/operators/settings.md"})
		}
	}
	read("$.tokens.callers-file", settings.Tokens.Callers, func(text []byte) error {
		return decodeTokens(text, &secrets.Callers)
	})
	read("$.tokens.operators-file", settings.Tokens.Operators, func(text []byte) error {
		return decodeTokens(text, &secrets.Operators)
	})
	read("$.tokens.mesh-file", settings.Tokens.Mesh, func(text []byte) error {
		secrets.Mesh = strings.TrimSpace(string(text))
		return checkToken("mesh", secrets.Mesh)
	})
	return secrets, faults
}

// TokenError reports that a token is invalid. It never contains the token.
type TokenError struct {
	Name   string
	Reason string
}

func (e *TokenError) Error() string { return fmt.Sprintf("token of %q: %s", e.Name, e.Reason) }

// minTokenBytes is the minimum length of a token.
const minTokenBytes = 16

func checkToken(name, token string) error {
	if len(token) < minTokenBytes {
		return &TokenError{Name: name, Reason: fmt.Sprintf("it has fewer than %d characters", minTokenBytes)}
	}
	return nil
}

func decodeTokens(text []byte, tokens *map[string]string) error {
	if err := json.Unmarshal(text, tokens); err != nil {
		return errors.Wrap(err, "parse token file as a JSON object of names and tokens")
	}
	for name, token := range *tokens {
		if err := checkToken(name, token); err != nil {
			return err
		}
	}
	return nil
}
