// Package configchecker checks a configuration before it is sent: it finds errors, entries that can
// never match a request and limits that contradict each other, and it describes what differs from the
// version in force. It does no I/O and reads no clock.
//
// # Usage
//
//	findings := configchecker.Check(configuration)
//	findings = append(findings, configchecker.CheckSuccessor(inForce, configuration)...)
//	changes := configchecker.Compare(inForce, configuration)
//
// Only what is certainly wrong is an error. What may be intended, such as a team without keys, is a
// warning. The paths of findings use the names of package configprovider, in kebab case; queues, services
// and teams are named, as a configuration that is in force has its queues in another order than its file.
package configchecker

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"dotterelpost.example/dotterelpost/internal/authenticator"
	"dotterelpost.example/dotterelpost/internal/configprovider"
	"dotterelpost.example/dotterelpost/internal/validator"
)

// Severity tells whether a finding is certainly wrong.
type Severity string

// The severities.
const (
	Error   Severity = "error"
	Warning Severity = "warning"
)

// Finding is an error or a warning, with a JSON path and a remedy.
type Finding struct {
	Severity Severity `json:"severity"`
	validator.Fault
}

// HasErrors reports whether any of the findings is an error.
func HasErrors(findings []Finding) bool {
	return slices.ContainsFunc(findings, func(f Finding) bool { return f.Severity == Error })
}

// checker collects findings.
type checker struct{ findings []Finding }

func (c *checker) add(severity Severity, path, remedy, format string, args ...any) {
	c.findings = append(c.findings, Finding{Severity: severity, Fault: validator.Fault{Path: path, Problem: fmt.Sprintf(format, args...), Remedy: remedy}})
}

// Check returns the findings about one configuration.
func Check(configuration *configprovider.Configuration) []Finding {
	c := &checker{}
	if configuration.Version < 1 {
		c.add(Error, "$.version", "use a positive number", "the version is %d", configuration.Version)
	}
	if len(configuration.Queues) == 0 {
		c.add(Warning, "$.queues", "add a queue", "there is no queue, so every request is answered with 404")
	}
	c.checkServices(configuration)
	c.checkQueues(configuration)
	c.checkTeams(configuration)
	c.checkLimits(&configuration.Limits)
	return c.findings
}

// CheckSuccessor returns the findings about a configuration that is to replace the one in force.
func CheckSuccessor(inForce, next *configprovider.Configuration) []Finding {
	c := &checker{}
	if next.Version <= inForce.Version {
		c.add(Error, "$.version", fmt.Sprintf("use a version above %d", inForce.Version),
			"version %d is not newer than version %d, which is in force; running instances ignore it, and those that start anew use it", next.Version, inForce.Version)
	}
	if inForce.HasTeams() && !next.HasTeams() {
		c.add(Warning, "$.teams", "list the teams, or make the queues public one by one", "no teams are listed any more, so callers would need no key")
	}
	return c.findings
}

func (c *checker) checkServices(configuration *configprovider.Configuration) {
	used := make(map[string]bool)
	for i := range configuration.Queues {
		used[configuration.Queues[i].Service] = true
	}
	seen := make(map[string]bool)
	for _, service := range configuration.Services {
		path := elementPath("services", service.Name)
		if service.Name == "" {
			c.add(Error, path+".name", "give the service a name", "the name is empty")
		} else if seen[service.Name] {
			c.add(Error, path+".name", "remove one of them", "%q is the name of two services", service.Name)
		} else if !used[service.Name] {
			c.add(Warning, path, "add a queue, or remove the service", "no queue uses the service %q, so its workers never get a task", service.Name)
		}
		seen[service.Name] = true
	}
}

func (c *checker) checkQueues(configuration *configprovider.Configuration) {
	services := make(map[string]bool)
	for _, service := range configuration.Services {
		services[service.Name] = true
	}
	names := make(map[string]bool)
	for i := range configuration.Queues {
		queue := &configuration.Queues[i]
		path := elementPath("queues", queue.Name)
		if queue.Name == "" {
			c.add(Error, path+".name", "give the queue a name", "the name is empty")
		} else if names[queue.Name] {
			c.add(Error, path+".name", "give each queue its own name", "%q is the name of two queues", queue.Name)
		}
		names[queue.Name] = true
		if !services[queue.Service] {
			c.add(Error, path+".service", "name one of the services of this configuration", "there is no service %q", queue.Service)
		}
		c.checkAddress(path, queue)
		c.checkObjective(path, queue)
		for other := range i {
			c.checkOverlap(path, queue, &configuration.Queues[other])
		}
	}
}

// checkAddress checks the host and the path prefix under which callers reach a queue.
func (c *checker) checkAddress(path string, queue *configprovider.Queue) {
	host := path + ".host"
	if _, _, err := net.SplitHostPort(queue.Host); err == nil {
		c.add(Error, host, "remove the port", "%q contains a port; requests are compared without it, so none can match", queue.Host)
	} else if queue.Host == "" {
		c.add(Error, host, "give the host that callers name", "the host is empty, so only requests that name no host can match")
	} else if queue.Host != strings.ToLower(queue.Host) {
		c.add(Warning, host, "write the host in lower case", "%q matches only callers that write the host in exactly this way", queue.Host)
	}
	prefix := path + ".path-prefix"
	switch {
	case queue.PathPrefix == "":
		c.add(Error, prefix, "give a prefix that begins and ends with a slash", "the prefix is empty: it matches every path of the host, and no job ID follows it")
	case !strings.HasPrefix(queue.PathPrefix, "/"):
		c.add(Error, prefix, "begin the prefix with a slash", "%q does not begin with a slash, so no request can match", queue.PathPrefix)
	case strings.ContainsAny(queue.PathPrefix, "?#%"):
		c.add(Warning, prefix, "use letters, digits, slashes, dots and hyphens", "%q matches only requests that encode its special characters", queue.PathPrefix)
	case !strings.HasSuffix(queue.PathPrefix, "/"):
		c.add(Warning, prefix, "end the prefix with a slash", "%q is followed by the ID of a job without a slash between them", queue.PathPrefix)
	}
}

// jobIDLength is the number of hexadecimal digits of the job ID that follows a path prefix.
const jobIDLength = 16

// checkOverlap finds queues of the same host that compete for requests. The longest prefix wins.
func (c *checker) checkOverlap(path string, queue, other *configprovider.Queue) {
	if queue.Host != other.Host {
		return
	}
	if queue.PathPrefix == other.PathPrefix {
		c.add(Error, path+".path-prefix", "change or remove one of them", "%s%s is the address of the queue %q too, so one of them can never match", queue.Host, queue.PathPrefix, other.Name)
		return
	}
	shorter, longer := queue, other
	if len(longer.PathPrefix) < len(shorter.PathPrefix) {
		shorter, longer = longer, shorter
	}
	rest, hidden := strings.CutPrefix(longer.PathPrefix, shorter.PathPrefix)
	if hidden && len(rest) <= jobIDLength && strings.Trim(rest, "0123456789abcdefABCDEF") == "" {
		c.add(Warning, path+".path-prefix", "choose prefixes of which none begins with the other and digits of an ID",
			"requests to %q whose job ID begins with %q go to %q, whose prefix %q is longer", shorter.Name, rest, longer.Name, longer.PathPrefix)
	}
}

// checkObjective finds objectives that no job of a queue can meet, or only some jobs.
func (c *checker) checkObjective(path string, queue *configprovider.Queue) {
	c.checkNotNegative(path+".timeout", queue.Timeout)
	c.checkNotNegative(path+".target", queue.Target)
	if queue.Stretch < 0 {
		c.add(Error, path+".stretch", "use a number of at least 0", "%g is negative", queue.Stretch)
	}
	if queue.Timeout > 0 && queue.Timeout < shortestTimeout {
		c.add(Warning, path+".timeout", fmt.Sprintf("use at least %s", shortestTimeout), "%s leaves no time for the round trip to another region and a write", queue.Timeout)
	}
	if queue.Advisor != nil {
		c.checkAdvisor(path, queue)
	} else if queue.Stretch == 0 && queue.Target == 0 {
		c.add(Error, path+".target", "give a stretch factor of 1 or more", "the objective of every job is 0, so every job is late")
	}
}

// checkAdvisor compares the objective of a queue with what the placement advisor takes.
func (c *checker) checkAdvisor(path string, queue *configprovider.Queue) {
	advisor := queue.Advisor
	c.checkNotNegative(path+".advisor.base-latency", advisor.BaseLatency)
	c.checkNotNegative(path+".advisor.latency-per-worker", advisor.LatencyPerWorker)
	fastest := advisor.Latency(1)
	if queue.Stretch == 0 && queue.Target < fastest {
		c.add(Error, path+".target", fmt.Sprintf("use a target of more than %s, or a stretch factor", fastest),
			"the target of %s is shorter than the advisor takes for one worker (%s), so every job is late", queue.Target, fastest)
	} else if queue.Target < fastest {
		c.add(Warning, path+".target", fmt.Sprintf("use a target of more than %s", fastest),
			"the target of %s is shorter than the advisor takes for one worker (%s); short jobs are always late", queue.Target, fastest)
	}
	if advisor.TokenLifetime <= 0 {
		c.add(Error, path+".advisor.token-lifetime", "use a positive duration", "placement tokens expire at once, so no task can start")
	} else if advisor.TokenLifetime < shortestTokenLifetime {
		c.add(Warning, path+".advisor.token-lifetime", fmt.Sprintf("use at least %s", shortestTokenLifetime), "%s may be over before an assignment is written", advisor.TokenLifetime)
	}
}

func (c *checker) checkNotNegative(path string, duration time.Duration) {
	if duration < 0 {
		c.add(Error, path, "use a number of at least 0", "the duration is negative or too large")
	}
}

// shortestTokenLifetime is twice the part of a placement token's lifetime that instances leave for the
// write of the assignment.
const shortestTokenLifetime = 400 * time.Millisecond

// shortestTimeout is a timeout within which an instance in another region can forward a submission to
// the owner, which writes it.
const shortestTimeout = 200 * time.Millisecond

func (c *checker) checkTeams(configuration *configprovider.Configuration) {
	if configuration.HasTeams() && len(configuration.Teams) == 0 && slices.ContainsFunc(configuration.Queues, func(q configprovider.Queue) bool { return !q.Public }) {
		c.add(Warning, "$.teams", "add a team", "the list of teams is empty, so calls to all queues that are not public are refused")
	}
	names := make(map[string]bool)
	holders := make(map[authenticator.Digest]string)
	for i := range configuration.Teams {
		team := &configuration.Teams[i]
		path := elementPath("teams", team.Name)
		if team.Name == "" {
			c.add(Error, path+".name", "give the team a name", "the name is empty, so calls with the team's keys are refused")
		} else if names[team.Name] {
			c.add(Error, path+".name", "give each team its own name", "%q is the name of two teams", team.Name)
		}
		names[team.Name] = true
		c.checkKeys(path, team, holders)
		if team.Weight < 0 {
			c.add(Error, path+".weight", "use a number of at least 0", "%g is negative", team.Weight)
		} else if team.Weight == 0 {
			c.add(Warning, path+".weight", "give the jobs a second that are the team's own", "all jobs of the team are beyond its share: they make way for jobs within shares and may be refused")
		}
		if team.Quota.Processors < 0 || team.Quota.Accelerators < 0 {
			c.add(Error, path+".quota", "use 0 for no limit", "an amount is negative")
		}
	}
}

// checkKeys checks the keys of a team. holders names the team that holds each key seen so far.
func (c *checker) checkKeys(path string, team *configprovider.Team, holders map[authenticator.Digest]string) {
	if len(team.Keys) == 0 {
		c.add(Warning, path+".keys", "add a key, or remove the team", "the team has no key, so its calls to queues that are not public are refused")
	}
	for i, key := range team.Keys {
		keyPath := fmt.Sprintf("%s.keys[%d]", path, i)
		switch holder, held := holders[key]; {
		case key == authenticator.DigestOf(""):
			c.add(Error, keyPath, "use a random key", "the key is empty")
		case held && holder == team.Name:
			c.add(Warning, keyPath, "remove one of them", "the key is listed twice")
		case held:
			c.add(Error, keyPath, "give each team keys of its own", "the team %q holds the key too; calls with it count as those of the first team that lists it", holder)
		}
		holders[key] = team.Name
	}
}

// elementPath returns the path of a named element of a list.
func elementPath(list, name string) string { return fmt.Sprintf("$.%s[%q]", list, name) }

func (c *checker) checkLimits(limits *configprovider.Limits) {
	if limits.MaxBodyBytes < 0 {
		c.add(Error, "$.limits", "use a number of at least 0", "the largest size of a request's body is negative")
	}
}
