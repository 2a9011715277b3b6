package configchecker

import (
	"fmt"
	"maps"
	"reflect"
	"slices"

	"dotterelpost.example/dotterelpost/internal/authenticator"
	"dotterelpost.example/dotterelpost/internal/configprovider"
)

// Compare describes what differs between the configuration in force and the next one, one sentence a
// difference. The keys of teams are counted, never shown.
func Compare(inForce, next *configprovider.Configuration) []string {
	c := &comparison{}
	c.compareServices(inForce, next)
	c.compareQueues(inForce, next)
	c.compareTeams(inForce, next)
	c.value("the largest size of a request's body, in bytes", inForce.Limits.MaxBodyBytes, next.Limits.MaxBodyBytes)
	return c.lines
}

type comparison struct{ lines []string }

func (c *comparison) add(format string, args ...any) {
	c.lines = append(c.lines, fmt.Sprintf(format, args...))
}

// value adds a line if two values differ.
func (c *comparison) value(what string, before, after any) {
	if !reflect.DeepEqual(before, after) {
		c.add("%s: %+v becomes %+v", what, before, after)
	}
}

func (c *comparison) compareServices(inForce, next *configprovider.Configuration) {
	before := make(map[string]configprovider.Service)
	for _, service := range inForce.Services {
		before[service.Name] = service
	}
	for _, service := range next.Services {
		old, found := before[service.Name]
		delete(before, service.Name)
		if !found {
			c.add("service %q is added", service.Name)
			continue
		}
		c.value(fmt.Sprintf("service %q, whether its workers enforce their capacity", service.Name), old.EnforcesCapacity, service.EnforcesCapacity)
	}
	for _, service := range inForce.Services {
		if _, removed := before[service.Name]; removed {
			c.add("service %q is removed", service.Name)
		}
	}
}

func (c *comparison) compareQueues(inForce, next *configprovider.Configuration) {
	for i := range next.Queues {
		queue := &next.Queues[i]
		old := inForce.Queue(queue.Name)
		if old == nil {
			c.add("queue %q is added: %s%s for service %q", queue.Name, queue.Host, queue.PathPrefix, queue.Service)
			continue
		}
		what := func(field string) string { return fmt.Sprintf("queue %q, %s", queue.Name, field) }
		c.value(what("address"), old.Host+old.PathPrefix, queue.Host+queue.PathPrefix)
		c.value(what("service"), old.Service, queue.Service)
		c.value(what("timeout"), old.Timeout, queue.Timeout)
		c.value(what("target"), old.Target, queue.Target)
		c.value(what("stretch"), old.Stretch, queue.Stretch)
		c.value(what("priority"), old.Priority, queue.Priority)
		c.value(what("failures after which a job fails"), old.MaxFailures, queue.MaxFailures)
		c.value(what("public"), old.Public, queue.Public)
		c.value(what("advisor"), advisorText(old.Advisor), advisorText(queue.Advisor))
	}
	for i := range inForce.Queues {
		if queue := &inForce.Queues[i]; next.Queue(queue.Name) == nil {
			answer := "are answered with 404"
			if successor, _, found := next.Find(queue.Host, queue.PathPrefix); found {
				answer = fmt.Sprintf("go to queue %q", successor.Name)
			}
			c.add("queue %q is removed: requests to %s%s %s, and its accepted jobs go on", queue.Name, queue.Host, queue.PathPrefix, answer)
		}
	}
}

func advisorText(advisor *configprovider.AdvisorSettings) string {
	if advisor == nil {
		return "none"
	}
	return fmt.Sprintf("%s and %s for each worker, tokens valid for %s", advisor.BaseLatency, advisor.LatencyPerWorker, advisor.TokenLifetime)
}

func (c *comparison) compareTeams(inForce, next *configprovider.Configuration) {
	if inForce.HasTeams() != next.HasTeams() {
		c.add("callers need a key: %t becomes %t", inForce.HasTeams(), next.HasTeams())
	}
	for i := range next.Teams {
		team := &next.Teams[i]
		old := inForce.Team(team.Name)
		if old == nil {
			c.add("team %q is added, with %d keys", team.Name, len(team.Keys))
			continue
		}
		c.compareKeys(team.Name, old.Keys, team.Keys)
		c.value(fmt.Sprintf("team %q, weight in jobs a second", team.Name), old.Weight, team.Weight)
		c.value(fmt.Sprintf("team %q, quota of processors", team.Name), old.Quota.Processors.Number(), team.Quota.Processors.Number())
		c.value(fmt.Sprintf("team %q, quota of memory", team.Name), old.Quota.Memory.HR(), team.Quota.Memory.HR())
		c.value(fmt.Sprintf("team %q, quota of accelerators", team.Name), old.Quota.Accelerators, team.Quota.Accelerators)
	}
	for i := range inForce.Teams {
		if team := &inForce.Teams[i]; next.Team(team.Name) == nil {
			c.add("team %q is removed, and its accepted jobs go on", team.Name)
		}
	}
	c.compareHolders(inForce, next)
}

// compareKeys counts the keys of a team that are added and removed.
func (c *comparison) compareKeys(team string, before, after []authenticator.Digest) {
	added, removed := len(without(after, before)), len(without(before, after))
	if added > 0 || removed > 0 {
		c.add("team %q, keys: %d added, %d removed", team, added, removed)
	}
}

// without returns the different digests that are not among others.
func without(digests, others []authenticator.Digest) map[authenticator.Digest]bool {
	left := make(map[authenticator.Digest]bool, len(digests))
	for _, digest := range digests {
		left[digest] = true
	}
	for _, digest := range others {
		delete(left, digest)
	}
	return left
}

// compareHolders counts the keys that no team holds any more, and tells of those that pass to another team.
func (c *comparison) compareHolders(inForce, next *configprovider.Configuration) {
	if !next.HasTeams() {
		return
	}
	holders := make(map[authenticator.Digest]string)
	for i := range next.Teams {
		for _, key := range next.Teams[i].Keys {
			if _, held := holders[key]; !held {
				holders[key] = next.Teams[i].Name
			}
		}
	}
	revoked := 0
	passed := make(map[string]int)
	for i := range inForce.Teams {
		for key := range without(inForce.Teams[i].Keys, nil) {
			switch holder, held := holders[key]; {
			case !held:
				revoked++
			case holder != inForce.Teams[i].Name:
				passed[fmt.Sprintf("team %q to team %q", inForce.Teams[i].Name, holder)]++
			}
		}
	}
	if revoked > 0 {
		c.add("%d keys are revoked: calls with them are refused", revoked)
	}
	for _, way := range slices.Sorted(maps.Keys(passed)) {
		c.add("%d keys pass from %s, whose jobs they give access to", passed[way], way)
	}
}
