package cellmanager_test

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/internal/authenticator"
	"dotterelpost.example/dotterelpost/internal/cellmanager"
	"dotterelpost.example/dotterelpost/internal/configprovider"
	"dotterelpost.example/dotterelpost/internal/connector"
	"dotterelpost.example/dotterelpost/internal/messenger"
)

// limit is the revocation limit of the tests.
const limit = 5 * time.Second

// keyFaults are the faults of a cluster that matter to keys.
type keyFaults struct {
	revocationLimit time.Duration
	// configurationLimit is 0 unless a test sets it.
	configurationLimit time.Duration
	// The store does not answer the instances in hanging. If historyLost is set, it answers watches with
	// the loss of its history and refuses reads.
	hanging     map[string]bool
	historyLost bool
	// stale, if it is set, is what all reads return, and watches are answered with the loss of the history.
	stale map[string]connector.Row
	// staleVersion is the version of these reads.
	staleVersion int64
	// suspended is for how long the machines were suspended, by instance name.
	suspended map[string]time.Duration
	// configurationReads counts the calls about the configuration row beside watches and snapshots.
	configurationReads int
	// calls are the calls between instances. logs receives the logs of all instances if it is set.
	calls []*messenger.Call
	logs  *lockedBuffer
}

// lockedBuffer is a buffer for concurrent writers.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

// hangTime is the time after which a call to a hanging store times out.
const hangTime = 2500 * time.Millisecond

// hang lets a call time out and returns true if the store does not answer an instance.
func (c *cluster) hang(instance string) bool {
	c.mu.Lock()
	hanging := c.hanging[instance]
	c.mu.Unlock()
	if hanging {
		sleep(hangTime)
	}
	return hanging
}

func (c *cluster) lostHistory() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.historyLost
}

func (c *cluster) readsAreStale() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stale != nil
}

func (c *cluster) record(call *messenger.Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, &messenger.Call{Kind: call.GetKind(), Job: bytes.Clone(call.GetJob())})
}

func (c *cluster) logger() *slog.Logger {
	if c.logs == nil {
		return slog.New(slog.DiscardHandler)
	}
	return slog.New(slog.NewJSONHandler(c.logs, nil))
}

// machineUptime is the uptime of a machine that was suspended at times.
type machineUptime struct {
	cluster   *cluster
	instance  string
	startedAt time.Time
}

func (u *machineUptime) Uptime() time.Duration {
	u.cluster.mu.Lock()
	defer u.cluster.mu.Unlock()
	return time.Since(u.startedAt) + u.cluster.suspended[u.instance]
}

func (c *cluster) uptimeReader(instance string) cellmanager.UptimeReader {
	return &machineUptime{cluster: c, instance: instance, startedAt: time.Now()}
}

// configurationRow is the configuration row of the tests. Keys maps the keys to their teams.
type configurationRow struct {
	Version int64
	Teams   bool
	Keys    map[string]string
	// Service is the service of the queue q, empty for "desk". Services are the services beside "desk".
	Service  string
	Services []string
	// Padding makes the row as large as one with many queues.
	Padding string
}

// decodeConfiguration decodes a configuration row. "{}" is a configuration without teams.
func decodeConfiguration(text []byte) (*configprovider.Configuration, error) {
	var row configurationRow
	if err := json.Unmarshal(text, &row); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	configuration := &configprovider.Configuration{
		Version:  max(1, row.Version),
		Queues:   []configprovider.Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Service: "desk", Policy: configprovider.Policy{MaxFailures: 1}}, {Name: "open", Service: "desk", Policy: configprovider.Policy{MaxFailures: 1}, Public: true}},
		Services: []configprovider.Service{{Name: "desk"}},
	}
	if row.Service != "" {
		configuration.Queues[0].Service = row.Service
	}
	for _, name := range row.Services {
		configuration.Services = append(configuration.Services, configprovider.Service{Name: name})
	}
	if row.Teams {
		configuration.Teams = []configprovider.Team{}
	}
	for key, team := range row.Keys {
		configuration.Teams = append(configuration.Teams, configprovider.Team{Name: team, Keys: []authenticator.Digest{authenticator.DigestOf(key)}})
	}
	return configuration, nil
}

func (c *cluster) putConfigurationText(text []byte) {
	c.set(func() {
		c.version++
		c.rows["op//config"] = connector.Row{Key: "op//config", Value: text, Version: c.version}
	})
}

func (c *cluster) putConfiguration(t *testing.T, row configurationRow) {
	t.Helper()
	text, err := json.Marshal(row)
	if err != nil {
		t.Fatal(err)
	}
	c.putConfigurationText(text)
}

// newTeamCluster returns a cluster whose configuration has the teams a and b, with the keys key-a and key-b.
func newTeamCluster(t *testing.T) *cluster {
	t.Helper()
	c := newCluster()
	c.keyFaults = keyFaults{revocationLimit: limit, hanging: make(map[string]bool), suspended: make(map[string]time.Duration)}
	c.putConfiguration(t, configurationRow{Version: 2, Teams: true, Keys: map[string]string{"key-a": "a", "key-b": "b"}})
	return c
}

// name returns the instance name of a manager.
func name(manager *cellmanager.Manager) string {
	return incarnationInstance(manager.Incarnation())
}

func incarnationInstance(incarnation string) string {
	instance, _, _ := strings.Cut(incarnation, "@")
	return instance
}
