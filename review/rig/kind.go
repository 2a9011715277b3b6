package main

import (
	"sync"
	"time"
)

func init() { cases["kind"] = playKind }

// playKind lets an executor crash and start again under its id, at the same address, as another kind. Its
// entry follows with its next heartbeat.
func playKind(r *rig) outcome {
	queue := route{name: "r-kind", host: "nony24.example", prefix: "/gono990/", maxAttempts: 3}
	if !r.begin(settings{executors: 8, kinds: []string{"a", "b"}, cpu: 64000, routes: []route{queue}}) {
		return cannotRun
	}
	spec := taskSpec{WorkMS: []int64{800}, CPU: []int64{8000}, Label: "a"}
	var group sync.WaitGroup
	quiet := newClient(r.record)
	began := time.Now()
	group.Go(func() {
		for i := 0; time.Since(began) < 40*time.Second; i++ {
			group.Go(func() {
				quiet.submit(r.fronts(nil), queue, newID(), newJob(spec, 2), 4*time.Second)
			})
			time.Sleep(100 * time.Millisecond)
		}
	})
	for round := range 8 {
		time.Sleep(time.Until(began.Add(time.Duration(2+4*round) * time.Second)))
		if !r.trouble {
			continue
		}
		// One executor at a time, an eighth of them, is down for a second.
		e := r.executors[round%len(r.executors)]
		kind := "a"
		if e.kind == "a" {
			kind = "b"
		}
		e.crash()
		time.Sleep(time.Second)
		if err := e.restart(kind, e.capacity, heartbeatTime); err != nil {
			r.record.verdict("an executor could not start again: %v", err)
			return cannotRun
		}
	}
	group.Wait()
	time.Sleep(3 * time.Second)
	wrong := 0
	r.journal.mu.Lock()
	total := len(r.journal.starts)
	for _, s := range r.journal.starts {
		if s.label {
			continue
		}
		r.record.line("executor %s without the label starts %s run %d; it had told its new born: %t", s.executor, s.task, s.run, s.listed)
		// What was sent before the system could know of the new incarnation isn't counted.
		if s.listed {
			wrong++
		}
	}
	r.journal.mu.Unlock()
	r.record.verdict("%d of %d starts were on an executor without the label in requirements that had told its new born before", wrong, total)
	if wrong > 0 {
		return broken
	}
	return held
}
