// Package configprovider holds the rules in force: queues, services and limits of one version of the
// configuration.
//
// # Usage
//
//	provider := &configprovider.Provider{}
//	if provider.Apply(rules) { … }
//	queue, rest, found := provider.Current().Find(host, path)
//
// A provider never goes back to an older version.
package configprovider

import (
	"sort"
	"strings"
	"sync/atomic"
	"time"
)

// AdvisorSettings tells that an advisor decides which workers may run a step, and what a call costs.
type AdvisorSettings struct {
	// BaseLatency is what a call takes at least, LatencyPerWorker what each worker named adds.
	BaseLatency, LatencyPerWorker time.Duration
	// TokenLifetime is how long a ticket holds.
	TokenLifetime time.Duration
}

// Latency is how long a call that names some workers takes.
func (a *AdvisorSettings) Latency(workers int) time.Duration {
	return a.BaseLatency + time.Duration(workers)*a.LatencyPerWorker
}

// Queue takes jobs at a host and a path.
type Queue struct {
	Name       string
	Host       string
	PathPrefix string
	Service    string
	Timeout    time.Duration
	// Target and Stretch give the objective of a job: Stretch times its longest chain of work, and
	// Target more.
	Target  time.Duration
	Stretch float64
	// MaxFailures is after how many failed runs of one task a job fails.
	MaxFailures int
	// Priority 0 comes first.
	Priority int
	// Advisor is nil if any worker of the service may run the queue's tasks.
	Advisor *AdvisorSettings
}

// Service is a pool of workers. EnforcesCapacity tells that its workers refuse what does not fit.
type Service struct {
	Name             string
	EnforcesCapacity bool
}

// Limits bound what a caller may send.
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
}

// Sort puts the longest path prefix of each host first, as Find needs it.
func (r *Configuration) Sort() {
	sort.SliceStable(r.Queues, func(i, j int) bool {
		return len(r.Queues[i].PathPrefix) > len(r.Queues[j].PathPrefix)
	})
}

// Find returns the queue whose prefix is the longest that the path begins with, and the rest of the
// path.
func (r *Configuration) Find(host, path string) (queue *Queue, rest string, found bool) {
	for i := range r.Queues {
		queue := &r.Queues[i]
		if queue.Host == host && strings.HasPrefix(path, queue.PathPrefix) {
			return queue, path[len(queue.PathPrefix):], true
		}
	}
	return nil, "", false
}

// Queue returns a queue by its name, or nil.
func (r *Configuration) Queue(name string) *Queue {
	for i := range r.Queues {
		if r.Queues[i].Name == name {
			return &r.Queues[i]
		}
	}
	return nil
}

// Provider holds the rules in force. Its zero value holds none.
type Provider struct {
	rules atomic.Pointer[Configuration]
}

// Current returns what is in force, or nil before the first version.
func (p *Provider) Current() *Configuration { return p.rules.Load() }

// Version returns the version in force, or 0.
func (p *Provider) Version() int64 {
	if rules := p.Current(); rules != nil {
		return rules.Version
	}
	return 0
}

// Apply puts rules in force unless they are older than what is. It reports whether it did.
func (p *Provider) Apply(rules *Configuration) bool {
	for {
		current := p.rules.Load()
		if current != nil && current.Version >= rules.Version {
			return false
		}
		if p.rules.CompareAndSwap(current, rules) {
			return true
		}
	}
}
