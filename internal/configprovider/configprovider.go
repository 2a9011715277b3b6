// Package configprovider holds the active configuration: the queues, services and limits of its
// newest version.
//
// # Usage
//
//	provider := &configprovider.Provider{}
//	if provider.Apply(configuration) { … }
//	queue, rest, found := provider.Current().Find(host, path)
//	provider.Confirm(sentAt)
//	configuration, confirmedAt, confirmed := provider.Confirmed()
//
// A provider never replaces its configuration by an older version. It also holds until when its
// configuration is known to have been the newest one. That time is on the clock of package uptimereader.
package configprovider

import (
	"sort"
	"strings"
	"sync/atomic"
	"time"

	"dotterelpost.example/dotterelpost/internal/authenticator"
	"dotterelpost.example/dotterelpost/internal/modeler"
)

// AdvisorSettings describes the placement advisor that decides which workers may run the steps of a
// queue's jobs.
type AdvisorSettings struct {
	// BaseLatency is the minimum duration of a call to the advisor, and LatencyPerWorker is what each
	// worker named in the call adds.
	BaseLatency      time.Duration `json:"base-latency,omitempty"`
	LatencyPerWorker time.Duration `json:"latency-per-worker,omitempty"`
	// TokenLifetime is how long a placement token stays valid.
	TokenLifetime time.Duration `json:"token-lifetime,omitempty"`
}

// Latency returns the expected duration of a call that names the given number of workers.
func (a *AdvisorSettings) Latency(workers int) time.Duration {
	return a.BaseLatency + time.Duration(workers)*a.LatencyPerWorker
}

// Policy is the part of a queue's settings by which its jobs run and end. It is stored with each job, because an
// accepted job outlives the versions of the configuration that have its queue and its team.
type Policy struct {
	// Version is the version of the configuration that the policy is part of. It is set by Apply.
	Version int64 `json:"version,omitempty"`
	// Target and Stretch define the objective for the completion time of a job: Stretch times the
	// length of its critical path, plus Target.
	Target  time.Duration `json:"target,omitempty"`
	Stretch float64       `json:"stretch,omitempty"`
	// MaxFailures is the number of failed runs of one task after which its job fails.
	MaxFailures int `json:"max-failures,omitempty"`
	// Priority is 0 for the most important queue; larger numbers mean less important ones.
	Priority int `json:"priority,omitempty"`
	// Advisor is nil if any worker of the service may run the tasks of the queue.
	Advisor *AdvisorSettings `json:"advisor,omitempty"`
	// TeamQuota is the quota of the team that has submitted the job. In a queue it is not set.
	TeamQuota modeler.Resources `json:"team-quota,omitzero"`
}

// Queue accepts the jobs that are submitted under a host and a path prefix.
type Queue struct {
	Name       string
	Host       string
	PathPrefix string
	Service    string
	// Timeout is how long a caller waits for an answer unless its request states another time.
	Timeout time.Duration
	// Public reports whether callers need no key.
	Public bool
	// Policy holds the settings that are stored with the jobs of the queue.
	Policy
}

// Path returns the host and the path prefix, under which callers address the jobs of the queue.
func (q *Queue) Path() string { return q.Host + q.PathPrefix }

// Team is a group of callers that share keys, a share of the workers and a quota.
type Team struct {
	Name string
	// Keys are the digests of the team's API keys.
	Keys []authenticator.Digest
	// Weight is the number of jobs a second that the team may submit at any load; 0 means none.
	Weight float64
	// Quota limits what the team may have running on all workers together. A dimension of 0 is not
	// limited.
	Quota modeler.Resources
}

// Service is a pool of workers. EnforcesCapacity tells whether its workers refuse tasks that exceed
// their free capacity.
type Service struct {
	Name             string
	EnforcesCapacity bool
}

// Limits bounds the requests of callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Configuration is one version of the configuration.
type Configuration struct {
	Version  int64
	Queues   []Queue
	Services []Service
	Limits   Limits
	// Teams is nil if the configuration knows no teams, so that callers need no key and all jobs belong
	// to one nameless team without a quota.
	Teams []Team
	// keys resolves the keys of the teams. It is set by Apply.
	keys *authenticator.Authenticator
}

// Sort orders the queues by decreasing length of the path prefix. Find relies on this order.
func (c *Configuration) Sort() {
	sort.SliceStable(c.Queues, func(i, j int) bool {
		return len(c.Queues[i].PathPrefix) > len(c.Queues[j].PathPrefix)
	})
}

// Find returns the queue of the host with the longest prefix that matches the path, and the part of
// the path after the prefix.
func (c *Configuration) Find(host, path string) (queue *Queue, rest string, found bool) {
	for i := range c.Queues {
		queue := &c.Queues[i]
		if queue.Host == host && strings.HasPrefix(path, queue.PathPrefix) {
			return queue, path[len(queue.PathPrefix):], true
		}
	}
	return nil, "", false
}

// Queue returns the queue with the given name, or nil if there is none.
func (c *Configuration) Queue(name string) *Queue {
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i]
		}
	}
	return nil
}

// JobPolicy returns the policy of a job of a queue and a team, which may be empty.
func (c *Configuration) JobPolicy(queue *Queue, team string) *Policy {
	policy := queue.Policy
	if team := c.Team(team); team != nil {
		policy.TeamQuota = team.Quota
	}
	return &policy
}

// HasTeams reports whether callers need the key of a team.
func (c *Configuration) HasTeams() bool { return c.Teams != nil }

// Team returns the team with the given name, or nil if there is none.
func (c *Configuration) Team(name string) *Team {
	for i := range c.Teams {
		if c.Teams[i].Name == name {
			return &c.Teams[i]
		}
	}
	return nil
}

// TeamOf returns the name of the team that holds the key with the given digest, and false if there is
// none. The configuration must have been applied.
func (c *Configuration) TeamOf(key authenticator.Digest) (team string, known bool) {
	if c.keys == nil {
		return "", false
	}
	return c.keys.Resolve(key)
}

// indexKeys prepares TeamOf.
func (c *Configuration) indexKeys() {
	principals := make([]authenticator.Principal, 0, len(c.Teams))
	for i := range c.Teams {
		principals = append(principals, authenticator.Principal{Name: c.Teams[i].Name, Digests: c.Teams[i].Keys})
	}
	c.keys = authenticator.NewOfDigests(principals)
}

// Provider holds the active configuration and may be used concurrently. Its zero value holds none.
type Provider struct {
	active atomic.Pointer[activeConfiguration]
}

// activeConfiguration is the active configuration with the time at which the newest store call was sent
// whose answer shows that there was no newer version.
type activeConfiguration struct {
	configuration *Configuration
	confirmed     bool
	confirmedAt   time.Duration
}

// Current returns the active configuration, or nil before the first version is applied.
func (p *Provider) Current() *Configuration {
	configuration, _, _ := p.Confirmed()
	return configuration
}

// Confirmed returns the active configuration, or nil before the first version is applied, and the
// uptime at which it was known to be the newest version. confirmed is false if that was never known.
func (p *Provider) Confirmed() (configuration *Configuration, confirmedAt time.Duration, confirmed bool) {
	active := p.active.Load()
	if active == nil {
		return nil, 0, false
	}
	return active.configuration, active.confirmedAt, active.confirmed
}

// Version returns the version of the active configuration, or 0 if there is none.
func (p *Provider) Version() int64 {
	if configuration := p.Current(); configuration != nil {
		return configuration.Version
	}
	return 0
}

// Apply activates a configuration if it is newer than the active one. It reports whether it did. The
// last confirmation stays: what was the newest version then is not newer than this one.
func (p *Provider) Apply(configuration *Configuration) bool {
	for {
		current := p.active.Load()
		if current != nil && current.configuration.Version >= configuration.Version {
			return false
		}
		for i := range configuration.Queues {
			configuration.Queues[i].Version = configuration.Version
		}
		if configuration.HasTeams() && configuration.keys == nil {
			configuration.indexKeys()
		}
		next := &activeConfiguration{configuration: configuration}
		if current != nil {
			next.confirmed, next.confirmedAt = current.confirmed, current.confirmedAt
		}
		if p.active.CompareAndSwap(current, next) {
			return true
		}
	}
}

// Confirm records that the active configuration was the newest version at the uptime sentAt.
func (p *Provider) Confirm(sentAt time.Duration) {
	for {
		current := p.active.Load()
		if current == nil || current.confirmed && current.confirmedAt >= sentAt {
			return
		}
		next := &activeConfiguration{configuration: current.configuration, confirmed: true, confirmedAt: sentAt}
		if p.active.CompareAndSwap(current, next) {
			return
		}
	}
}
