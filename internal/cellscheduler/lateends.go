package cellscheduler

import (
	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

// adoptEnd records that a run that was thought to be over has ended as done, unless a later run of its task has been sent to
// a worker.
func (c *Scheduler) adoptEnd(j *job, end *workerdriver.EndedTask) {
	if end.Reason != steptracker.Done || j.definition == nil || j.progress.State.Final() {
		return
	}
	task := j.progress.Task(end.Task)
	if task == nil || task.Done || end.Run > task.Run {
		return
	}
	step := &j.definition.Steps[end.Task.Step]
	if step.LongRunning {
		return
	}
	assigned := c.assignedRuns(j, end.Task, step.Gang)
	for _, p := range assigned {
		if p.state != runUnsent {
			return
		}
	}
	for _, p := range assigned {
		c.endRun(p, neverSent, "")
	}
	j.progress.RecordDone(j.definition, end.Task)
	c.markDirty(j, nil)
	c.updateFinalState(j)
}

// assignedRuns returns the assigned run of a task, or those of all members of its gang.
func (c *Scheduler) assignedRuns(j *job, key steptracker.TaskKey, gang bool) []*placement {
	var runs []*placement
	for _, p := range j.placements {
		if p.key == key || gang && p.key.StepKey == key.StepKey {
			runs = append(runs, p)
		}
	}
	return runs
}
