package partitionscheduler

import (
	"fmt"
	"time"

	"dotterelpost.example/dotterelpost/internal/crashattributor"
	"dotterelpost.example/dotterelpost/internal/jobtracker"
	"dotterelpost.example/dotterelpost/internal/journaler"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/partitionplacer"
)

const (
	// isolatedWorkersDivisor limits the workers with isolated tasks to this fraction of all workers
	// while all are in use.
	isolatedWorkersDivisor = 8
	// quietStart is how long after its start an isolated task stops excluding others if the worker is
	// reachable but has sent no reply. A heartbeat may be answered seconds later.
	quietStart = 2 * time.Second
)

// attributeCrash returns the tasks that a worker may have been running when it ended, with a verdict on
// each. The end of a leaving worker is not a crash.
func (p *Partition) attributeCrash(index int) map[taskRef]crashattributor.Verdict {
	var refs []taskRef
	var runs []crashattributor.Run
	for ref := range p.placed[index] {
		t := &ref.job.Tasks[ref.task]
		if t.Phase != jobtracker.Starting && t.Phase != jobtracker.Running {
			continue
		}
		_, isolated := p.isolated[index][ref]
		refs = append(refs, ref)
		runs = append(runs, crashattributor.Run{
			Job: ref.job.Key, Outlived: p.outlived(index, ref), StartUnknown: p.startUnknown(index, ref), Isolated: isolated,
		})
	}
	verdicts := make(map[taskRef]crashattributor.Verdict, len(refs))
	for i, verdict := range crashattributor.Attribute(runs) {
		verdicts[refs[i]] = verdict
		if p.registrar.IsLeaving(index) {
			verdicts[refs[i]] = crashattributor.NoCrash
		}
	}
	return verdicts
}

// outlived reports whether a worker is known to have outlived the start of a task by the survival period.
// The start of a quick request is answered only when it ends, so its sending counts.
func (p *Partition) outlived(index int, ref taskRef) bool {
	t := &ref.job.Tasks[ref.task]
	startedAt := t.StartedAt
	switch {
	case t.Phase == jobtracker.Running:
	case t.Phase == jobtracker.Starting && ref.job.Spec.Class == modeler.Quick:
		startedAt = t.SentAt
	default:
		return false
	}
	return p.registrar.LastReplyAt(index).Sub(startedAt) >= crashattributor.SurvivalPeriod
}

// startUnknown reports whether it is open when a task started: an earlier owner started it, or the worker
// has answered since the start was sent, but not the start.
func (p *Partition) startUnknown(index int, ref taskRef) bool {
	t := &ref.job.Tasks[ref.task]
	unanswered := t.Phase == jobtracker.Starting && ref.job.Spec.Class != modeler.Quick
	return t.SentAt.IsZero() || unanswered && p.registrar.LastReplyAt(index).Sub(t.SentAt) >= crashattributor.SurvivalPeriod
}

// takeVerdict returns the verdict on a task whose start got no reply before its worker crashed.
func (p *Partition) takeVerdict(job *jobtracker.Job, task int) crashattributor.Verdict {
	ref := taskRef{job: job, task: task}
	verdict, found := p.crashVerdicts[ref]
	delete(p.crashVerdicts, ref)
	if !found {
		return crashattributor.Suspected
	}
	return verdict
}

// recordCrash records a crash with a task that the worker was running. Standing services see crashes for
// other reasons sooner or later, so a crash of which one is cleared does not count.
func (p *Partition) recordCrash(job *jobtracker.Job, task int, verdict crashattributor.Verdict) {
	t := &job.Tasks[task]
	if verdict == crashattributor.Cleared && job.Spec.Class == modeler.StandingService {
		t.CrashHistory = crashattributor.History{}
		return
	}
	t.CrashHistory.RecordCrash(verdict)
	p.Log.Warn("worker crashed under task", "key", job.Key, "task", task, "worker", t.Worker, "crashes", t.CrashHistory.Crashes,
		"suspected", t.CrashHistory.Suspected, "attributed", t.CrashHistory.Attributed, "partition", p.name)
}

// giveUpTask ends a task that crashes its workers. A gang ends as a whole.
func (p *Partition) giveUpTask(job *jobtracker.Job, task int, evidence journaler.Evidence) {
	job.RecordEvidence(task, evidence)
	reason := fmt.Sprintf("the task crashed the workers that started it (%d crashes)", job.Tasks[task].CrashHistory.Crashes)
	p.endTask(job, task, taskEnd{state: job.Tasks[task].StateWithoutRetry(), reason: reason})
	if job.Spec.Class == modeler.Gang {
		p.stopOtherGangTasks(job, task)
		p.endQueuedTasks(job, reason)
	}
}

// endQueuedTasks ends the tasks of a gang that wait although another member has ended without success.
func (p *Partition) endQueuedTasks(job *jobtracker.Job, reason string) {
	for task := range job.Tasks {
		if job.Tasks[task].Phase == jobtracker.Queued {
			p.endTask(job, task, taskEnd{state: job.Tasks[task].StateWithoutRetry(), reason: reason})
		}
	}
}

func anyNeedsIsolation(job *jobtracker.Job) bool {
	for i := range job.Tasks {
		if job.Tasks[i].CrashHistory.NeedsIsolation() {
			return true
		}
	}
	return false
}

// place places tasks. Isolated ones are placed on workers without other tasks or, if there are none and
// few workers have isolated tasks, on workers on which no other task has started lately.
func (p *Partition) place(job *jobtracker.Job, request partitionplacer.Request, isolated bool) ([]partitionplacer.Placement, partitionplacer.Shortage) {
	if !isolated {
		return p.placer.Place(request)
	}
	refusedBy := request.Avoid
	request.Avoid = p.workersToAvoid(job, refusedBy, func(taskRef) bool { return true })
	placements, shortage := p.placer.Place(request)
	if shortage == partitionplacer.NoShortage || len(p.isolated) >= max(1, p.registrar.Len()/isolatedWorkersDivisor) {
		return placements, shortage
	}
	request.Avoid = p.workersToAvoid(job, refusedBy, func(ref taskRef) bool {
		return !p.outlived(ref.job.Tasks[ref.task].WorkerIndex, ref)
	})
	return p.placer.Place(request)
}

// workersToAvoid returns some workers and those with a task of another job that disturbs the isolation.
func (p *Partition) workersToAvoid(job *jobtracker.Job, workers []int, disturbs func(taskRef) bool) []int {
	avoid := append([]int(nil), workers...)
	for index := range p.placed {
		for ref := range p.placed[index] {
			if ref.job != job && disturbs(ref) {
				avoid = append(avoid, index)
				break
			}
		}
	}
	return avoid
}

func (p *Partition) beginIsolation(index int, ref taskRef) {
	if p.isolated[index] == nil {
		p.isolated[index] = make(map[taskRef]struct{})
	}
	p.isolated[index][ref] = struct{}{}
	p.updateUsability(index)
}

// endIsolation ends the isolation of a task on a worker, if it is isolated.
func (p *Partition) endIsolation(index int, ref taskRef) {
	if _, isolated := p.isolated[index][ref]; !isolated {
		return
	}
	delete(p.isolated[index], ref)
	if len(p.isolated[index]) == 0 {
		delete(p.isolated, index)
	}
	p.updateUsability(index)
}

// endIsolations ends the isolation of the tasks whose starts their workers have survived. Tasks that may
// crash their workers late stay isolated until they end.
func (p *Partition) endIsolations(now time.Time) {
	for index, refs := range p.isolated {
		for ref := range refs {
			t := &ref.job.Tasks[ref.task]
			survived := p.outlived(index, ref) || t.Phase == jobtracker.Running && p.usable[index] && now.Sub(t.StartedAt) >= quietStart
			if survived && !t.CrashHistory.CrashesLate() {
				p.endIsolation(index, ref)
			}
		}
	}
}

// updateUsability tells the placer whether a worker may get new tasks.
func (p *Partition) updateUsability(index int) {
	p.placer.SetUsable(index, p.usable[index] && len(p.isolated[index]) == 0)
	p.dirty = true
}
