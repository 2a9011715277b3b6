package main

import (
	"math/rand/v2"
	"time"
)

func init() { cases["crashes"] = playCrashes }

// playCrashes lets one of eight executors crash again and again while a long job runs. The job must not be
// shown as failed, because no run of its tasks ends failed.
func playCrashes(r *rig) outcome {
	queue := route{name: "r-long", host: "nony24.example", prefix: "/gono990/", maxAttempts: 2}
	if !r.begin(settings{executors: 8, kinds: []string{"a"}, cpu: 64000, routes: []route{queue}}) {
		return cannotRun
	}
	id := newID()
	const work = 60 * time.Second
	j := newJob(taskSpec{WorkMS: []int64{work.Milliseconds()}, CPU: []int64{18000}, Saves: true}, 14)
	if !r.client.submit(r.fronts(nil), queue, id, j, 5*time.Second) {
		r.record.verdict("the job was not accepted")
		return cannotRun
	}
	accepted := time.Now()
	random := rand.New(rand.NewPCG(1, 2))
	crashes := 0
	nextCrash := accepted.Add(5 * time.Second)
	for time.Since(accepted) < 100*time.Second {
		if r.trouble && time.Now().After(nextCrash) {
			e := r.executors[random.IntN(len(r.executors))]
			e.crash()
			crashes++
			time.Sleep(2500 * time.Millisecond)
			if err := e.restart(e.kind, e.capacity, 0); err != nil {
				r.record.verdict("an executor could not start again: %v", err)
				return cannotRun
			}
			nextCrash = time.Now().Add(time.Second)
		}
		answer := r.client.state(r.fronts(nil), queue, id, 3*time.Second)
		ends := r.journal.endsOf(id)
		switch answer.state() {
		case "failed":
			r.record.verdict("after %d crashes of one executor in eight the job is shown as failed; ends listed: %v, %d of them failed", crashes, ends, ends["failed"])
			if ends["failed"] > 0 {
				return held
			}
			return broken
		case "completed":
			r.record.verdict("the job completed after %.0f s and %d crashes; ends listed: %v", time.Since(accepted).Seconds(), crashes, ends)
			return held
		}
		time.Sleep(500 * time.Millisecond)
	}
	r.record.verdict("the job is not shown as failed after %d crashes", crashes)
	return held
}
