package crashattributor_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dotterelpost.example/dotterelpost/internal/crashattributor"
)

// The load of the incident: of the jobs that come in ten seconds, one in twenty has a task that crashes
// its worker 10 ms after each start. Workers are fairly full, and some crash for other reasons.
const (
	replayStep     = 10 * time.Millisecond
	replayLength   = 60 * time.Second
	loadLength     = 10 * time.Second
	replayWorkers  = 48
	replaySlots    = 16
	jobsPerSecond  = 200
	crashingShare  = 0.05
	jobDuration    = 800 * time.Millisecond
	downtime       = 3400 * time.Millisecond
	unrelatedEvery = 700 * time.Millisecond
)

type replayTask struct {
	job       int
	crashes   int
	crashing  bool
	history   crashattributor.History
	done      bool
	givenUp   bool
	startedAt time.Duration
	isolated  bool
}

type replayWorker struct {
	downUntil time.Duration
	tasks     []*replayTask
}

// policy decides which worker runs a task next and what a crash means for it.
type policy struct {
	isolates bool
	// crashed returns whether each task of a crashed worker is given up.
	crashed func(tasks []*replayTask, now time.Duration) []bool
}

type replayResult struct {
	crashes, lostRuns, mostCrashes, innocentGivenUp, crashingGivenUp, done int
}

// replay runs the load under a policy.
func replay(p policy) replayResult {
	random := rand.New(rand.NewPCG(7, 7))
	workers := make([]replayWorker, replayWorkers)
	var waiting, all []*replayTask
	var result replayResult
	crash := func(w *replayWorker, now time.Duration) {
		result.crashes++
		result.lostRuns += len(w.tasks)
		givenUp := p.crashed(w.tasks, now)
		for i, task := range w.tasks {
			task.isolated, task.givenUp = false, givenUp[i]
			if !givenUp[i] {
				waiting = append(waiting, task)
			}
		}
		w.tasks, w.downUntil = nil, now+downtime
	}
	for now := time.Duration(0); now < replayLength; now += replayStep {
		if now < loadLength && random.Float64() < jobsPerSecond*replayStep.Seconds() {
			task := &replayTask{job: len(all), crashing: random.Float64() < crashingShare}
			all, waiting = append(all, task), append(waiting, task)
		}
		for i := range workers {
			w := &workers[i]
			if slices.ContainsFunc(w.tasks, func(task *replayTask) bool { return task.crashing && now-task.startedAt >= replayStep }) {
				for _, task := range w.tasks {
					if task.crashing {
						task.crashes++
						result.mostCrashes = max(result.mostCrashes, task.crashes)
					}
				}
				crash(w, now)
				continue
			}
			w.tasks = slices.DeleteFunc(w.tasks, func(task *replayTask) bool {
				task.isolated = task.isolated && now-task.startedAt < crashattributor.SurvivalPeriod
				task.done = task.done || now-task.startedAt >= jobDuration
				return task.done
			})
		}
		if now < loadLength && now%unrelatedEvery == 0 {
			if w := &workers[random.IntN(replayWorkers)]; w.downUntil <= now {
				crash(w, now)
			}
		}
		waiting = slices.DeleteFunc(waiting, func(task *replayTask) bool {
			isolate := p.isolates && task.history.NeedsIsolation()
			w := chooseWorker(workers, isolate, now)
			if w == nil {
				return false
			}
			task.startedAt, task.isolated = now, isolate
			w.tasks = append(w.tasks, task)
			return true
		})
	}
	for _, task := range all {
		switch {
		case task.done:
			result.done++
		case task.givenUp && task.crashing:
			result.crashingGivenUp++
		case task.givenUp:
			result.innocentGivenUp++
		}
	}
	return result
}

// chooseWorker returns the fullest worker with room or, for an isolated task, the emptiest one on which
// nothing has just started. No task joins an isolated one.
func chooseWorker(workers []replayWorker, isolate bool, now time.Duration) *replayWorker {
	var best *replayWorker
	for i := range workers {
		w := &workers[i]
		closed := slices.ContainsFunc(w.tasks, func(task *replayTask) bool {
			return task.isolated || isolate && now-task.startedAt < crashattributor.SurvivalPeriod
		})
		if closed || now < w.downUntil || len(w.tasks) >= replaySlots {
			continue
		}
		if best == nil || isolate && len(w.tasks) < len(best.tasks) || !isolate && len(w.tasks) > len(best.tasks) {
			best = w
		}
	}
	return best
}

func neverGiveUp(tasks []*replayTask, _ time.Duration) []bool { return make([]bool, len(tasks)) }

// countAll counts a crash for every task on the worker. At its second one a task is not started again.
func countAll(tasks []*replayTask, _ time.Duration) []bool {
	givenUp := make([]bool, len(tasks))
	for i, task := range tasks {
		task.history.Crashes++
		givenUp[i] = task.history.Crashes >= 2
	}
	return givenUp
}

func attribute(tasks []*replayTask, now time.Duration) []bool {
	runs := make([]crashattributor.Run, len(tasks))
	for i, task := range tasks {
		runs[i] = crashattributor.Run{Job: string(rune(task.job)), Outlived: now-task.startedAt >= crashattributor.SurvivalPeriod, Isolated: task.isolated}
	}
	givenUp := make([]bool, len(tasks))
	for i, verdict := range crashattributor.Attribute(runs) {
		tasks[i].history.RecordCrash(verdict)
		givenUp[i] = tasks[i].history.GivenUp()
	}
	return givenUp
}

// TestReplayOfCrashingLoad compares the package with the version before it, which never gave up, and with
// counting each crash for all runs on the worker.
func TestReplayOfCrashingLoad(t *testing.T) {
	before, counting, attributed := replay(policy{crashed: neverGiveUp}), replay(policy{crashed: countAll}), replay(policy{isolates: true, crashed: attribute})
	t.Logf("never given up: %+v", before)
	t.Logf("counted for all: %+v", counting)
	t.Logf("attributed: %+v", attributed)
	if before.mostCrashes <= 5 || counting.innocentGivenUp == 0 {
		t.Error("the load does not show what the package is for")
	}
	if attributed.mostCrashes > 5 || attributed.innocentGivenUp > 0 {
		t.Errorf("attributed: %+v, want at most 5 crashes by one task and no innocent task given up", attributed)
	}
	if attributed.lostRuns >= before.lostRuns || attributed.crashes >= before.crashes {
		t.Errorf("attributed: %+v, want fewer crashes and lost runs than %+v", attributed, before)
	}
}

func BenchmarkAttribute(b *testing.B) {
	runs := make([]crashattributor.Run, 64)
	for i := range runs {
		runs[i] = crashattributor.Run{Job: string(rune('a' + i%20)), Outlived: i%8 != 0}
	}
	for b.Loop() {
		crashattributor.Attribute(runs)
	}
}
