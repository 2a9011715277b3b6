package main

import (
	"strings"
	"time"
)

func init() { cases["ends"] = playEnds }

// playEnds lets the tasks of a job end on their executors while the platform's store is down, so that more than
// 500 of these ends wait for their acknowledgement on one executor.
func playEnds(r *rig) outcome {
	queue := route{name: "r-many", host: "nony24.example", prefix: "/gono990/", maxAttempts: 3}
	if !r.begin(settings{executors: 8, kinds: []string{"a"}, cpu: 64000, routes: []route{queue}}) {
		return cannotRun
	}
	id := newID()
	// Forty steps of thirty tasks that don't wait for each other; they take 8 to 12 s.
	const steps, width, tasks, shortest = 40, 30, 40 * 30, 8 * time.Second
	spec, counts := taskSpec{}, make([]int, steps)
	for i := range steps {
		spec.WorkMS, spec.CPU, counts[i] = append(spec.WorkMS, (shortest+time.Duration(i)*100*time.Millisecond).Milliseconds()), append(spec.CPU, 50), width
	}
	j := newJob(spec, counts...)
	for i := range j.Steps {
		j.Steps[i].MemoryMB, j.Steps[i].After = 16, nil
	}
	if !r.client.submit(r.fronts(nil), queue, id, j, 5*time.Second) {
		r.record.verdict("the job was not accepted")
		return cannotRun
	}
	accepted := time.Now()
	for r.journal.runningOf(id) < tasks {
		if time.Since(accepted) > shortest-time.Second {
			r.record.verdict("only %d tasks were running", r.journal.runningOf(id))
			return cannotRun
		}
		time.Sleep(20 * time.Millisecond)
	}
	r.record.line("all %d tasks are running %.1f s after the acceptance", tasks, time.Since(accepted).Seconds())
	time.Sleep(time.Until(accepted.Add(shortest - 200*time.Millisecond)))
	if r.trouble {
		r.store.down.Store(true)
		r.record.line("the platform's store is down, it answers 503")
	}
	time.Sleep(4500 * time.Millisecond)
	r.store.down.Store(false)
	r.record.line("the platform's store is up, ends so far: %v", r.journal.endsOf(id))
	time.Sleep(25 * time.Second)
	state := r.client.state(r.fronts(nil), queue, id, 3*time.Second)
	twice := r.journal.startedAfterDone(id)
	for i, text := range twice {
		if i < 10 {
			r.record.line("TWICE: %s", text)
		}
	}
	r.record.verdict("the job is %q, ends %v; tasks started again after a run that ended done and was taken note of: %d of %d", state.state(), r.journal.endsOf(id), len(twice), tasks)
	if len(twice) > 0 {
		return broken
	}
	return held
}

// startedAfterDone returns the tasks of a job that were started after a run of theirs had ended done, where that
// end has been taken note of then or later.
func (j *journal) startedAfterDone(job string) []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	done := make(map[string]end)
	for _, e := range j.ends {
		if _, known := done[e.task]; !known && e.how == "done" && !e.noted.IsZero() && strings.HasPrefix(e.task, job+".") {
			done[e.task] = e
		}
	}
	var found []string
	for _, s := range j.starts {
		if e, known := done[s.task]; known && s.at.After(e.at) {
			found = append(found, s.task+" run "+itoa(s.run)+" on "+s.executor+" after run "+itoa(e.run)+" had ended done on "+e.executor)
		}
	}
	return found
}
