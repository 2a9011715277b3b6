package main

import (
	"sync"
	"time"
)

const (
	// finishTime is finish_s of the settings. After it, a job that could run and doesn't for waitTime is lost.
	finishTime = 14 * time.Second
	waitTime   = 3 * time.Second

	trafficTime = 45 * time.Second
	scheduledAt = 5 * time.Second
)

func init() { cases["due"] = due }

// due hands in small jobs of two steps, two a second, and a job whose 10,000 times are a second apart. As the disruption
// that job names no start time, so that all its times are due at once.
func due(t *trial, trouble bool) error {
	if err := t.start(3, 16, 64000, 131072); err != nil {
		return err
	}
	var handedIn sync.WaitGroup
	begun := time.Now()
	for n := 0; time.Since(begun) < trafficTime; n++ {
		handedIn.Go(func() {
			t.submit(jobSpec{Steps: []stepSpec{
				{Count: 2, CPU: 100, MemoryMB: 50, EstimateMS: 1000, work: time.Second},
				{Count: 2, CPU: 100, MemoryMB: 50, EstimateMS: 1000, After: []int{0}, work: time.Second},
			}})
		})
		if n == int(2*scheduledAt/time.Second) {
			scheduled := jobSpec{
				RunCount: 10000, IntervalMS: 1000,
				Steps: []stepSpec{{Count: 20, CPU: 100, MemoryMB: 10, EstimateMS: 1000, work: time.Second}},
			}
			if !trouble {
				scheduled.StartMS = time.Now().UnixMilli()
			}
			handedIn.Go(func() { t.submit(scheduled) })
		}
		time.Sleep(time.Until(begun.Add(time.Duration(n+1) * time.Second / 2)))
	}
	handedIn.Wait()
	t.note("the traffic has ended")
	time.Sleep(finishTime)
	t.askForAll()
	t.judgeWaiting(waitTime)
	return nil
}

// askForAll asks once for the state of each accepted job.
func (t *trial) askForAll() {
	t.mu.Lock()
	var accepted []*job
	for _, j := range t.jobs {
		if !j.accepted.IsZero() {
			accepted = append(accepted, j)
		}
	}
	t.mu.Unlock()
	t.note("%d of %d jobs were accepted", len(accepted), len(t.jobs))
	states := make(map[string]int)
	for _, j := range accepted {
		states[t.look(j)]++
	}
	t.note("states of the accepted jobs: %v", states)
}

// judgeWaiting judges, for some time, whether accepted jobs have nothing running while a task's turn has come and the
// executors are idle enough.
func (t *trial) judgeWaiting(period time.Duration) {
	waited := make(map[string]taskName)
	for began, first := time.Now(), true; first || time.Since(began) < period; first = false {
		t.mu.Lock()
		waiting := t.waiting()
		if first {
			waited = waiting
		}
		for id := range waited {
			if _, still := waiting[id]; !still {
				delete(waited, id)
			}
		}
		t.mu.Unlock()
		time.Sleep(100 * time.Millisecond)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	used, capacity := t.load()
	for id, name := range waited {
		t.breaks("LOST", "for %s job %s, accepted at %.3f s, has nothing running while the turn of %s has come and %d of %d of the processors are in use",
			period, id, t.jobs[id].accepted.Sub(t.began0).Seconds(), name, used, capacity)
	}
}

// waiting returns the accepted jobs that have nothing running although a task's turn has come and there is room for it
// twice over, while under half of the capacity is in use, each with such a task. The mutex must be held.
func (t *trial) waiting() map[string]taskName {
	jobs := make(map[string]taskName)
	used, capacity := t.load()
	if 2*used >= capacity {
		return jobs
	}
	running := make(map[string]bool)
	for name, record := range t.tasks {
		if record.running > 0 {
			running[name.job] = true
		}
	}
	for id, j := range t.jobs {
		if j.accepted.IsZero() || running[id] {
			continue
		}
		if name, found := t.nextTask(j); found && t.hasRoom(t.step(name)) {
			jobs[id] = name
		}
	}
	return jobs
}

// nextTask returns a task of a job whose turn has come and which is not done. The mutex must be held.
func (t *trial) nextTask(j *job) (taskName, bool) {
	for k := range max(1, j.spec.RunCount) {
		if time.Now().UnixMilli() < j.spec.StartMS+int64(k)*j.spec.IntervalMS {
			break
		}
		for s := range j.spec.Steps {
			if !t.stepsDone(j, k, j.spec.Steps[s].After) {
				continue
			}
			for index := range j.spec.Steps[s].Count {
				if name := (taskName{j.id, k, s, index}); !t.task(name).done {
					return name, true
				}
			}
		}
	}
	return taskName{}, false
}

func (t *trial) stepsDone(j *job, k int, steps []int) bool {
	for _, s := range steps {
		for index := range j.spec.Steps[s].Count {
			if !t.task(taskName{j.id, k, s, index}).done {
				return false
			}
		}
	}
	return true
}

// hasRoom reports whether an executor has room for two tasks of a step. The mutex must be held.
func (t *trial) hasRoom(step *stepSpec) bool {
	for _, e := range t.executors {
		cpu, mem := e.used()
		if cpu+2*step.CPU <= e.cpu && mem+2*step.MemoryMB <= e.mem {
			return true
		}
	}
	return false
}

// load returns the processor capacity in use and that of all executors. The mutex must be held.
func (t *trial) load() (used, capacity int64) {
	for _, e := range t.executors {
		cpu, _ := e.used()
		used, capacity = used+cpu, capacity+e.cpu
	}
	return used, capacity
}

// used returns the processors and the memory that the runs request. The mutex must be held.
func (e *executor) used() (cpu, mem int64) {
	for _, r := range e.running {
		if r.step != nil {
			cpu, mem = cpu+r.step.CPU, mem+r.step.MemoryMB
		}
	}
	return cpu, mem
}
