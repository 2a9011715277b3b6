package main

import (
	"strings"
	"time"
)

func init() { cases["ends"] = playEnds }

// playEnds lets tasks end on their executors while the platform's store is down, so that more than 500 of these
// ends wait for their acknowledgement on one executor.
func playEnds(r *rig) outcome {
	queue := route{name: "r-many", host: "nony24.example", prefix: "/gono990/", maxAttempts: 3}
	if !r.begin(settings{executors: 8, kinds: []string{"a"}, cpu: 64000, routes: []route{queue}}) {
		return cannotRun
	}
	// Forty jobs of thirty tasks; they take 8 to 12 s.
	const jobs, width, tasks, shortest = 40, 30, 40 * 30, 8 * time.Second
	ids := make(map[string]bool)
	accepted := time.Now()
	for i := range jobs {
		id := newID()
		ids[id] = true
		j := newJob(taskSpec{WorkMS: []int64{(shortest + time.Duration(i)*100*time.Millisecond).Milliseconds()}, CPU: []int64{50}}, width)
		j.Steps[0].MemoryMB = 16
		if !r.client.submit(r.fronts(nil), queue, id, j, 5*time.Second) {
			r.record.verdict("a job was not accepted")
			return cannotRun
		}
	}
	running := func() (count int) {
		for id := range ids {
			count += r.journal.runningOf(id)
		}
		return count
	}
	for running() < tasks {
		if time.Since(accepted) > shortest-time.Second {
			r.record.verdict("only %d tasks were running", running())
			return cannotRun
		}
		time.Sleep(20 * time.Millisecond)
	}
	r.record.line("all %d tasks are running %.1f s after the first job was sent", tasks, time.Since(accepted).Seconds())
	time.Sleep(time.Until(accepted.Add(shortest - 200*time.Millisecond)))
	if r.trouble {
		r.store.silence(true)
		r.record.line("the platform's store is down, it answers nothing")
	}
	time.Sleep(4500 * time.Millisecond)
	if r.trouble {
		r.store.silence(false)
		r.record.line("the platform's store is up")
	}
	time.Sleep(25 * time.Second)
	twice := r.startedAfterDone(ids)
	for i, text := range twice {
		if i < 10 {
			r.record.line("TWICE: %s", text)
		}
	}
	done := 0
	for id := range ids {
		done += r.journal.endsOf(id)["done"]
	}
	r.record.verdict("%d tasks, %d runs ended done; tasks started again after a run had ended done, of which the end was taken note of with no lapse of the lease between: %d", tasks, done, len(twice))
	if len(twice) > 0 {
		return broken
	}
	return held
}

// startedAfterDone returns the tasks that were started after a run of theirs had ended done, where that end has
// been taken note of then or later, and the executor's lease has not lapsed between the two.
func (r *rig) startedAfterDone(jobs map[string]bool) []string {
	executors := make(map[string]*executor)
	for _, e := range r.executors {
		executors[e.id] = e
	}
	r.journal.mu.Lock()
	ends, starts := r.journal.ends[:len(r.journal.ends):len(r.journal.ends)], r.journal.starts[:len(r.journal.starts):len(r.journal.starts)]
	r.journal.mu.Unlock()
	done := make(map[string]end)
	for _, e := range ends {
		if e.how != "done" || !jobs[e.task[:strings.Index(e.task, ".")]] || e.noted.IsZero() || executors[e.executor].lapsedBetween(e.at, e.noted) {
			continue
		}
		if _, known := done[e.task]; !known {
			done[e.task] = e
		}
	}
	var found []string
	for _, s := range starts {
		if e, known := done[s.task]; known && s.at.After(e.at) {
			found = append(found, s.task+" run "+itoa(s.run)+" on "+s.executor+" after run "+itoa(e.run)+" had ended done on "+e.executor)
		}
	}
	return found
}
