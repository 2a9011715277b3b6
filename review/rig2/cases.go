package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// jobID returns an ID of 16 hexadecimal digits.
func jobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// load hands in jobs at a steady pace until stop is closed. Jobs that are refused are left.
func (w *world) load(queue string, pace time.Duration, steps []step, behaviour task, stop chan struct{}) *sync.WaitGroup {
	var group sync.WaitGroup
	group.Go(func() {
		ticker := time.NewTicker(pace)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			group.Go(func() { _ = w.submit(queue, jobID(), steps, behaviour) })
		}
	})
	return &group
}

// playRestartedOther lets an executor start again under its id with another kind and a smaller room, while it is cut
// from the store.
func playRestartedOther(w *world, trouble bool) (string, error) {
	const count = 6
	large, small := room{CPU: 16000, Mem: 32768}, room{CPU: 4000, Mem: 8192}
	for n := range count {
		if _, err := w.newExecutor(fmt.Sprintf("e%07x", 0x51c3a0+n*7), zones[n%len(zones)], large, "a", fmt.Sprintf("r1-%d", n/3)); err != nil {
			return "", err
		}
	}
	if err := w.configure(3, newRoute("settlement", 4)); err != nil {
		return "", err
	}
	if err := w.startInstances(3); err != nil {
		return "", err
	}
	stop := make(chan struct{})
	jobs := w.load("settlement", 220*time.Millisecond, []step{{Count: 4, CPU: 2000, Mem: 1000, Estimate: 2000, Label: "a"}}, behaves(2000, 2*time.Second, "done"), stop)
	time.Sleep(8 * time.Second)
	if trouble {
		e := w.executors[0]
		e.setCut(true)
		e.crash()
		time.Sleep(500 * time.Millisecond)
		if err := e.start(small, "b", "r1-0"); err != nil {
			return "", err
		}
		time.Sleep(3500 * time.Millisecond)
		e.setCut(false)
	}
	time.Sleep(4 * time.Second)
	close(stop)
	jobs.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordLocked("%d starts without the label, %d starts over the capacity", w.withoutLabel, w.overCapacity)
	if w.withoutLabel > 0 {
		return fmt.Sprintf("ROUTE: %d starts on an executor without the label in requirements; LIMIT: %d starts over its capacity", w.withoutLabel, w.overCapacity), nil
	}
	return "", nil
}

// playRemovedRoute removes the route of an accepted job before the job is due, and adds it again when it has run.
func playRemovedRoute(w *world, trouble bool) (string, error) {
	const attempts = 4
	for n := range 6 {
		if _, err := w.newExecutor(fmt.Sprintf("e%07x", 0x51c3a0+n*7), zones[n%len(zones)], room{CPU: 16000, Mem: 32768}, "a", fmt.Sprintf("r1-%d", n/3)); err != nil {
			return "", err
		}
	}
	kept, removed := newRoute("seat-hold", 2), newRoute("settlement", attempts)
	if err := w.configure(3, kept, removed); err != nil {
		return "", err
	}
	if err := w.startInstances(3); err != nil {
		return "", err
	}
	id := jobID()
	failing := task{needs: room{CPU: 1000}, runs: func(run int) (time.Duration, string) {
		if run < attempts {
			return 800 * time.Millisecond, "failed"
		}
		return 800 * time.Millisecond, "done"
	}}
	if err := w.submitAt(time.Now().Add(8*time.Second), "settlement", id, []step{{Count: 1, CPU: 1000, Mem: 500, Estimate: 800}}, failing); err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		if err := w.configure(5, kept); err != nil {
			return "", err
		}
	}
	time.Sleep(20 * time.Second)
	if trouble {
		if err := w.configure(9, kept, removed); err != nil {
			return "", err
		}
	}
	time.Sleep(6 * time.Second)
	state, failures := w.state("settlement", id), 0
	for _, r := range w.runsOf(id) {
		if r.how == "failed" {
			failures++
		}
	}
	w.record("the task has ended failed %d times, max_attempts is %d, the job is shown as %q", failures, attempts, state)
	if state == "failed" && failures < attempts {
		return fmt.Sprintf("LOST: the job is shown as failed after %d failed runs of its task, max_attempts is %d", failures, attempts), nil
	}
	if state != "completed" {
		return "", fmt.Errorf("%w: the job is shown as %q", errNotRun, state)
	}
	return "", nil
}

// restartLimit is how long after the end of its last run a task that lasts may have nothing running, and calmBefore how
// long there must have been no disruption before the time for which that is judged, idleLimit.
const (
	restartLimit = 6 * time.Second
	calmBefore   = 4 * time.Second
	idleLimit    = 3 * time.Second
	// judgeMargin is the precision of what is recorded.
	judgeMargin = 200 * time.Millisecond
)

// idleTask returns what breaks the rule on tasks that last, if one of a job had nothing running for too long. disturbed
// is when the last disruption ended.
func (w *world) idleTask(id string, disturbed time.Time) string {
	last := make(map[string]runRecord)
	worst, broken := time.Duration(0), ""
	judge := func(r runRecord, until time.Time) {
		judgedFrom := r.endedAt.Add(restartLimit)
		if calm := disturbed.Add(calmBefore); calm.After(judgedFrom) {
			judgedFrom = calm
		}
		if idle := until.Sub(judgedFrom); idle > idleLimit+judgeMargin && idle > worst {
			worst = idle
			broken = fmt.Sprintf("LOST: %s had nothing running for %.1f s after its run %d on %s ended (%s), %.1f s of them later than 6 s after it and 4 s after the last disruption",
				r.task, until.Sub(r.endedAt).Seconds(), r.run, r.executor, r.how, idle.Seconds())
		}
	}
	for _, r := range w.runsOf(id) {
		if before, found := last[r.task]; found && before.how != "" {
			judge(before, r.began)
		}
		last[r.task] = r
	}
	for _, r := range last {
		if r.how != "" {
			judge(r, time.Now())
		}
	}
	return broken
}

// startLasting starts a deployment of 8 executors with a job of tasks that last, each of which fails now and then.
func (w *world) startLasting(count int, mean time.Duration) (string, error) {
	for n := range 8 {
		if _, err := w.newExecutor(fmt.Sprintf("e%07x", 0x51c3a0+n*7), zones[n%len(zones)], room{CPU: 16000, Mem: 32768}, "a", fmt.Sprintf("r1-%d", n/4)); err != nil {
			return "", err
		}
	}
	if err := w.configure(3, newRoute("settlement", 4)); err != nil {
		return "", err
	}
	if err := w.startInstances(3); err != nil {
		return "", err
	}
	id := jobID()
	lasting := task{needs: room{CPU: 1000}, runs: func(int) (time.Duration, string) {
		return time.Second + time.Duration(rand.ExpFloat64()*float64(mean)), "failed"
	}}
	if err := w.submit("settlement", id, []step{{Count: count, CPU: 1000, Mem: 500, Estimate: 10000, Lasts: true}}, lasting); err != nil {
		return "", err
	}
	return id, nil
}

// lastStarter returns the executor that has started a task last, among those with some room left.
func (w *world) lastStarter(free int64) *executor {
	latest, found := time.Time{}, w.executors[0]
	for _, e := range w.executors {
		e.mu.Lock()
		used, began := room{}, time.Time{}
		for _, x := range e.running {
			used = used.plus(x.needs)
			if x.began.After(began) {
				began = x.began
			}
		}
		if began.After(latest) && e.capacity.CPU-used.CPU >= free {
			latest, found = began, e
		}
		e.mu.Unlock()
	}
	return found
}

// playDarkExecutor takes the power from one of 8 executors for good, while tasks that last fail now and then.
func playDarkExecutor(w *world, trouble bool) (string, error) {
	id, err := w.startLasting(48, 12*time.Second)
	if err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second)
	if trouble {
		if err := w.lastStarter(1000).loseForGood(); err != nil {
			return "", err
		}
	}
	disturbed := time.Now()
	time.Sleep(22 * time.Second)
	return w.idleTask(id, disturbed), nil
}

// playLostWithOwner loses one of 8 executors for good and ends the owner half a second later.
func playLostWithOwner(w *world, trouble bool) (string, error) {
	id, err := w.startLasting(40, time.Hour)
	if err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second)
	if trouble {
		if err := w.executors[2].loseForGood(); err != nil {
			return "", err
		}
		time.Sleep(500 * time.Millisecond)
		owner := w.owner()
		owner.kill()
		w.record("instance %s killed", owner.name)
		time.Sleep(3500 * time.Millisecond)
		if err := owner.start(); err != nil {
			return "", err
		}
	}
	disturbed := time.Now()
	time.Sleep(24 * time.Second)
	return w.idleTask(id, disturbed), nil
}
