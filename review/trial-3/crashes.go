package main

import "time"

const (
	// downTime is for_s of srv_crash, crashShare the number of executors that crash at once: 2 of 16 are less than its share.
	downTime   = 4500 * time.Millisecond
	crashShare = 2
	// crashAfter is how long after the start of a task its executor crashes.
	crashAfter = 50 * time.Millisecond
	crashTimes = 3
)

func init() { cases["crashes"] = crashes }

// crashes hands in small jobs, two a second. As the disruption, executors crash up to three times, each time shortly after one of them has
// started a task of a certain job and when those of the time before are back.
func crashes(t *trial, trouble bool) error {
	if err := t.start(3, 16, 64000, 131072); err != nil {
		return err
	}
	small := jobSpec{Steps: []stepSpec{{Count: 2, CPU: 5600, MemoryMB: 5700, EstimateMS: 640, work: 640 * time.Millisecond}}}
	id := newID()
	if trouble {
		left, down := crashTimes, false
		t.onStart = func(e *executor, name taskName) {
			if name.job != id || left == 0 || down {
				return
			}
			left, down = left-1, true
			t.crashWith(e, func() { down = false })
		}
	}
	for n := range 50 {
		if n == 10 {
			go t.submitAs(id, jobSpec{Steps: []stepSpec{{Count: 1, CPU: 5600, MemoryMB: 5700, EstimateMS: 1600, work: 1600 * time.Millisecond}}})
		} else {
			go t.submit(small)
		}
		time.Sleep(500 * time.Millisecond)
	}
	t.mu.Lock()
	j := t.jobs[id]
	t.mu.Unlock()
	// No run ends as failed here, so that no job may be shown as failed.
	if state := t.look(j); state == "failed" || state == "cancelled" {
		t.mu.Lock()
		t.breaks("LOST", "accepted job %s is shown as %s, and none of its runs has ended as failed", id, state)
		t.mu.Unlock()
	}
	return nil
}

// crashWith crashes an executor and others soon, and calls back with the mutex held when they are up again.
func (t *trial) crashWith(e *executor, back func()) {
	victims := []*executor{e}
	for _, other := range t.executors {
		if other != e && len(victims) < crashShare {
			victims = append(victims, other)
		}
	}
	time.AfterFunc(crashAfter, func() {
		for _, other := range victims[1:] {
			go other.crash(downTime)
		}
		e.crash(downTime)
		t.mu.Lock()
		defer t.mu.Unlock()
		back()
	})
}
