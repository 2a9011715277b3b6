package main

import (
	"time"
)

func init() { cases["gang"] = playGang }

// playGang hands in a gang that needs more executors than one call for advice may name.
func playGang(r *rig) outcome {
	queue := route{name: "r-gang", host: "nony24.example", prefix: "/gono990/", maxAttempts: 3, advice: true}
	if !r.begin(settings{executors: 220, kinds: []string{"a"}, cpu: 64000, routes: []route{queue}}) {
		return cannotRun
	}
	tasks := 105
	if !r.trouble {
		tasks = 95
	}
	id := newID()
	j := newJob(taskSpec{WorkMS: []int64{4000}, CPU: []int64{40000}, Ticket: true}, tasks)
	j.Steps[0].Gang = true
	if !r.client.submit(r.fronts(nil), queue, id, j, 5*time.Second) {
		r.record.verdict("the job was not accepted")
		return cannotRun
	}
	time.Sleep(40 * time.Second)
	state := r.client.state(r.fronts(nil), queue, id, 3*time.Second)
	done := r.journal.endsOf(id)["done"]
	r.record.verdict("40 s after its acceptance the gang of %d tasks is %q, %d tasks running, ends %v; all other executors are idle", tasks, state.state(), r.journal.runningOf(id), r.journal.endsOf(id))
	if done == 0 && r.journal.runningOf(id) == 0 {
		return broken
	}
	return held
}
