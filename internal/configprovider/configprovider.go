// Package configprovider holds the active configuration: the queues, services and limits of its
// newest version.
//
// # Usage
//
//	provider := &configprovider.Provider{}
//	if provider.Apply(configuration) { … }
//	queue, rest, found := provider.Current().Find(host, path)
//
// A provider never replaces its configuration by an older version.
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
	BaseLatency, LatencyPerWorker time.Duration
	// TokenLifetime is how long a placement token stays valid.
	TokenLifetime time.Duration
}

// Latency returns the expected duration of a call that names the given number of workers.
func (a *AdvisorSettings) Latency(workers int) time.Duration {
	return a.BaseLatency + time.Duration(workers)*a.LatencyPerWorker
}

// Queue accepts the jobs that are submitted under a host and a path prefix.
type Queue struct {
	Name       string
	Host       string
	PathPrefix string
	Service    string
	// Timeout is how long a caller waits for an answer unless its request states another time.
	Timeout time.Duration
	// Target and Stretch define the objective for the completion time of a job: Stretch times the
	// length of its critical path, plus Target.
	Target  time.Duration
	Stretch float64
	// MaxFailures is the number of failed runs of one task after which its job fails.
	MaxFailures int
	// Priority is 0 for the most important queue; larger numbers mean less important ones.
	Priority int
	// Advisor is nil if any worker of the service may run the tasks of the queue.
	Advisor *AdvisorSettings
	// Public reports whether callers need no key.
	Public bool
}

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

// Provider holds the active configuration and may be used concurrently. Its zero value holds none.
type Provider struct {
	active atomic.Pointer[Configuration]
}

// Current returns the active configuration, or nil before the first version is applied.
func (p *Provider) Current() *Configuration { return p.active.Load() }

// Version returns the version of the active configuration, or 0 if there is none.
func (p *Provider) Version() int64 {
	if configuration := p.Current(); configuration != nil {
		return configuration.Version
	}
	return 0
}

// Apply activates a configuration if it is newer than the active one. It reports whether it did.
func (p *Provider) Apply(configuration *Configuration) bool {
	for {
		current := p.active.Load()
		if current != nil && current.Version >= configuration.Version {
			return false
		}
		if p.active.CompareAndSwap(current, configuration) {
			return true
		}
	}
}
