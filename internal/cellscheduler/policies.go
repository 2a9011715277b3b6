package cellscheduler

import (
	"time"

	"dotterelpost.example/dotterelpost/internal/configprovider"
	"dotterelpost.example/dotterelpost/internal/steptracker"
)

// unknownPolicy applies to a job whose policy is not known: an instance of a version that did not store policies has
// accepted it, and its queue was removed since.
var unknownPolicy = configprovider.Policy{Priority: 9, Stretch: 2}

// assumedAdvisor applies to a job for which a worker asks for a placement token although no known policy names an
// advisor.
var assumedAdvisor = configprovider.AdvisorSettings{TokenLifetime: time.Second}

// currentQueue returns a queue of the active configuration, or nil if the queue was removed or leads to another cell.
func (c *Scheduler) currentQueue(name string) *configprovider.Queue {
	if configuration := c.Configuration.Current(); configuration != nil {
		if queue := configuration.Queue(name); queue != nil && queue.Service == c.claim.Cell {
			return queue
		}
	}
	return nil
}

// policyOf returns the policy by which a job is ranked and placed: that of its queue in the active configuration or,
// without the queue, the one by which the job was accepted. For the limit of failures see attemptLimit.
func (c *Scheduler) policyOf(j *job) *configprovider.Policy {
	if queue := c.currentQueue(j.progress.Queue); queue != nil {
		return &queue.Policy
	}
	if policy := j.acceptedPolicy(); policy != nil {
		return policy
	}
	return &unknownPolicy
}

// acceptedPolicy returns the policy by which a job was accepted, or nil if it is not known.
func (j *job) acceptedPolicy() *configprovider.Policy {
	if j.definition == nil {
		return nil
	}
	return j.definition.Policy
}

// advisorOf returns the settings of the advisor whose placement tokens the runs of a job need, or nil if they need
// none. The active configuration may have a queue of the same name without an advisor, so what workers ask for counts.
func (c *Scheduler) advisorOf(j *job) *configprovider.AdvisorSettings {
	advisor := c.policyOf(j).Advisor
	if advisor != nil || !j.needsToken {
		return advisor
	}
	if accepted := j.acceptedPolicy(); accepted != nil && accepted.Advisor != nil {
		return accepted.Advisor
	}
	return &assumedAdvisor
}

// attemptLimit returns the number of failed runs of one task after which a job fails, or 0 if it is not known. It is
// the one by which the job was accepted: later versions neither take attempts from a caller nor add any. While it is
// not known, no task is started again after a failure, and the job does not fail.
func (j *job) attemptLimit() int {
	if policy := j.acceptedPolicy(); policy != nil {
		return policy.MaxFailures
	}
	return 0
}

// isWaiting reports whether a task of the step may be placed: it is neither done nor assigned to a worker, nor held
// because it has failed and the limit of failures is not known.
func (s *step) isWaiting(task int) bool {
	t := &s.tasks[task]
	return !t.Done && !t.Assigned() && !(s.failures(task) > 0 && s.holdsFailedTasks())
}

// failures returns how often a task has failed. The first task of a gang counts for all.
func (s *step) failures(task int) int {
	if s.def.Gang {
		task = 0
	}
	return s.tasks[task].Failures
}

func (s *step) holdsFailedTasks() bool {
	return s.job.attemptLimit() == 0 && !s.def.LongRunning
}

// setPolicy sets the policy of a new job unless the instance that routed the submission has set it. It reports false
// if none is known.
func (c *Scheduler) setPolicy(definition *steptracker.Job) bool {
	if definition.Policy != nil {
		return true
	}
	queue := c.currentQueue(definition.Queue)
	if queue == nil {
		return false
	}
	definition.Policy = c.Configuration.Current().JobPolicy(queue, definition.Team)
	return true
}

// adoptPolicies stores a policy with the open jobs that have none, after a take-over and after each change of the
// configuration. Versions that did not store policies have accepted them.
func (c *Scheduler) adoptPolicies() {
	configuration := c.Configuration.Current()
	if configuration == nil || configuration == c.policiesFrom {
		return
	}
	c.policiesFrom = configuration
	adopted, unknown := 0, 0
	for _, j := range c.jobs {
		if j.definition == nil || j.definition.Policy != nil || j.progress.State != "" {
			continue
		}
		queue := c.currentQueue(j.progress.Queue)
		if queue == nil {
			unknown++
			continue
		}
		adopted++
		definition := *j.definition
		definition.Policy = configuration.JobPolicy(queue, definition.Team)
		j.definition, j.definitionOutdated = &definition, true
		c.markDirty(j, nil)
		c.updateFinalState(j)
	}
	c.Metrics.PoliciesAdopted(adopted)
	if adopted+unknown > 0 {
		c.Log.Warn("jobs were stored without a policy", "cell", c.claim.Cell, "adopted", adopted, "unknown", unknown, "version", configuration.Version)
	}
}
