package cellscheduler_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"dotterelpost.example/dotterelpost/internal/configprovider"
	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

func TestGangStartsWholeAndEndsAsOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2)
		c, stop := w.own(1)
		defer stop()
		filler := step(6, 1000)
		submit(t, c, job("filler", "plain", filler))
		gang := step(4, 1000)
		gang.Gang = true
		submit(t, c, job("gang", "plain", gang))
		pass(500 * time.Millisecond)
		w.set(func() {
			if len(w.starts) != 6 {
				t.Errorf("%d tasks started; the gang has room for two of its four tasks and must wait", len(w.starts))
			}
		})
		pass(3 * time.Second)
		wantState(t, c, "gang", steptracker.Completed)
	})
}

// TestGangUsesTheTicketsThatItHas: room changes all the time under a stream of small tasks, and with it
// the workers where the gang would fit best. The gang goes where its tickets hold.
func TestGangUsesTheTicketsThatItHas(t *testing.T) {
	for range 12 {
		gangUnderAStream(t)
	}
}

func gangUnderAStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 40)
		w.decides = 600 * time.Millisecond
		w.run = func(start *workerdriver.Start, _ string) (time.Duration, steptracker.EndReason) {
			if start.Task.Job == "gang" && start.Run == 1 {
				return 2 * time.Second, steptracker.TaskFailed
			}
			return time.Duration(200+start.Task.Index%7*150) * time.Millisecond, steptracker.Done
		}
		c, stop := w.own(1)
		defer stop()
		gang := step(20, 1000)
		gang.Gang, gang.MaxPerWorker = true, 1
		submit(t, c, job("gang", "patient", gang))
		for i := range 110 {
			submit(t, c, job(fmt.Sprintf("small-%d", i), "plain", step(4+i%5, 1000)))
			pass(40 * time.Millisecond)
		}
		w.set(func() {
			if runs := len(w.starts[steptracker.TaskKey{StepKey: steptracker.StepKey{Job: "gang"}}]); runs < 2 {
				t.Errorf("the gang has not started again two seconds after it had failed: %d runs", runs)
			}
		})
	})
}

// TestRoomThatIsAskedAboutIsKept: work that came later and needs no advice does not take the room that a
// quick task has asked the advisor about.
func TestRoomThatIsAskedAboutIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		w.run = func(start *workerdriver.Start, _ string) (time.Duration, steptracker.EndReason) {
			if start.Task.Job == "quick" {
				return 300 * time.Millisecond, steptracker.Done
			}
			return 5 * time.Second, steptracker.Done
		}
		w.decides = 300 * time.Millisecond
		c, stop := w.own(1)
		defer stop()
		submit(t, c, job("before", "plain", step(3, 1000)))
		pass(100 * time.Millisecond)
		submit(t, c, job("quick", "advised", step(1, 1000)))
		pass(100 * time.Millisecond)
		submit(t, c, job("after", "plain", step(1, 1000)))
		pass(900 * time.Millisecond)
		wantState(t, c, "quick", steptracker.Completed)
	})
}

// TestFillingWorkGivesWay: filling work beside a serving task whose tail passes its target is turned
// down, and turned up again when the tail is well below.
func TestFillingWorkGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		w.run = func(*workerdriver.Start, string) (time.Duration, steptracker.EndReason) {
			return time.Hour, steptracker.Done
		}
		c, stop := w.own(1)
		defer stop()
		serving := step(1, 2000)
		serving.LongRunning, serving.TailTarget = true, 100*time.Millisecond
		filling := step(1, 8000)
		filling.BestEffort = true
		submit(t, c, job("serving", "plain", serving))
		submit(t, c, job("filling", "plain", filling))
		pass(2 * time.Second)
		served := steptracker.TaskKey{StepKey: steptracker.StepKey{Job: "serving"}}
		filled := steptracker.TaskKey{StepKey: steptracker.StepKey{Job: "filling"}}
		w.set(func() { w.gauge[served] = 150 })
		pass(2 * time.Second)
		w.set(func() {
			if percent, paced := w.paced[filled]; !paced || percent != 0 {
				t.Errorf("filling work has %d %% beside a task over its target", percent)
			}
			w.gauge[served] = 30
		})
		pass(20 * time.Second)
		w.set(func() {
			if w.paced[filled] < 50 {
				t.Errorf("filling work has %d %% after twenty calm seconds", w.paced[filled])
			}
		})
	})
}

// TestJobsOfADroppedQueueStillAskTheAdvisor: workers refuse their starts without a ticket, whatever the
// rules say of the queue by now.
func TestJobsOfADroppedQueueStillAskTheAdvisor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2)
		w.ticketed = true
		c, stop := w.own(1)
		defer stop()
		second := step(2, 1000)
		second.After = []int{0}
		submit(t, c, job("j", "advised", step(2, 1000), second))
		pass(500 * time.Millisecond)
		w.book.Apply(&configprovider.Configuration{Version: 2})
		pass(4 * time.Second)
		wantState(t, c, "j", steptracker.Completed)
	})
}
