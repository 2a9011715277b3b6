package cellscheduler_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/internal/cellscheduler"
	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

func TestSuccessorAdoptsWhatRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2)
		w.run = func(*workerdriver.Start, string) (time.Duration, steptracker.EndReason) {
			return 3 * time.Second, steptracker.Done
		}
		first, stopFirst := w.own(1)
		submit(t, first, job("j", "plain", step(6, 1000)))
		pass(time.Second)
		stopFirst()
		second, stop := w.own(2)
		defer stop()
		pass(3 * time.Second)
		wantState(t, second, "j", steptracker.Completed)
	})
}

// TestFinalJobsTakeNobodysPlace: final states are kept for minutes, and as many jobs end in that time as
// may be open at once.
func TestFinalJobsTakeNobodysPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 4)
		w.mostOpen = 4
		c, stop := w.own(1)
		for round := range 3 {
			for i := range 4 {
				submit(t, c, job(fmt.Sprintf("job-%d-%d", round, i), "plain", step(1, 1000)))
			}
			var refused *cellscheduler.RefusedError
			if _, err := c.Submit(t.Context(), job("one-more", "plain", step(1, 1000))); !errors.As(err, &refused) {
				t.Errorf("round %d: a fifth open job got %v, want a refusal", round, err)
			}
			pass(2 * time.Second)
		}
		stop()
		successor, stop := w.own(2)
		defer stop()
		submit(t, successor, job("after", "plain", step(1, 1000)))
	})
}

// TestForgottenJobThatComesAgainIsStored: a job is handed in again under its ID while the row of its
// forgotten self waits to be removed. The removal must not take the accepted job with it.
func TestForgottenJobThatComesAgainIsStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2)
		w.keepStates = time.Second
		c, stop := w.own(1)
		submit(t, c, job("again", "plain", step(1, 1000)))
		// Its state is kept for the second and ten more.
		pass(12 * time.Second)
		stuck := make(chan struct{})
		w.set(func() { w.stuck = stuck })
		var group sync.WaitGroup
		group.Go(func() { submit(t, c, job("before", "plain", step(1, 1000))) })
		pass(250 * time.Millisecond)
		group.Go(func() { submit(t, c, job("again", "plain", step(1, 1000))) })
		pass(50 * time.Millisecond)
		w.set(func() { close(stuck); w.stuck = nil })
		group.Wait()
		stop()
		successor, stop := w.own(2)
		defer stop()
		pass(3 * time.Second)
		wantState(t, successor, "again", steptracker.Completed)
	})
}

// TestSlowStoreCarriesTheLoad: each transaction takes 0.4 s and holds some forty jobs, while fifty arrive
// and start each second. One transaction at a time would fall behind by half of them.
func TestSlowStoreCarriesTheLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 40)
		w.keepStates = time.Second
		c, stop := w.own(1)
		defer stop()
		// These are forgotten while the store is slow.
		for i := range 300 {
			submit(t, c, job(fmt.Sprintf("before-%d", i), "plain", step(1, 1000)))
			pass(20 * time.Millisecond)
		}
		pass(7 * time.Second)
		w.set(func() { w.takes = 400 * time.Millisecond })
		var group sync.WaitGroup
		var late atomic.Int64
		for i := range 200 {
			group.Go(func() {
				began := time.Now()
				_, err := c.Submit(t.Context(), job(fmt.Sprintf("job-%d", i), "plain", step(2, 1000)))
				// The first seconds teach the owner that the store is slow.
				if i > 100 && (err != nil || time.Since(began) > 900*time.Millisecond) {
					late.Add(1)
				}
			})
			pass(20 * time.Millisecond)
		}
		group.Wait()
		pass(10 * time.Second)
		w.set(func() {
			if late.Load() > 0 || w.most < 2 {
				t.Errorf("%d of the last 99 jobs were accepted late; %d transactions at once at the most", late.Load(), w.most)
			}
		})
		wantState(t, c, "job-199", steptracker.Completed)
	})
}

// TestStalledStoreRefusesAtOnce: what arrives while the store does not answer is told so soon, and
// what is told so never runs.
func TestStalledStoreRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2)
		c, stop := w.own(1)
		defer stop()
		submit(t, c, job("before", "plain", step(1, 1000)))
		pass(3 * time.Second)
		w.set(func() { w.stuck = make(chan struct{}) })
		inFlight := make(chan error, 1)
		go func() {
			_, err := c.Submit(context.Background(), job("inflight", "plain", step(1, 1000)))
			inFlight <- err
		}()
		pass(50 * time.Millisecond)
		began := time.Now()
		_, err := c.Submit(t.Context(), job("refused", "plain", step(1, 1000)))
		var refused *cellscheduler.RefusedError
		if !errors.As(err, &refused) || !refused.Unavailable || refused.RetryAfter <= 0 {
			t.Errorf("got %v, want a refusal with a time to come back", err)
		}
		if waited := time.Since(began); waited > time.Second {
			t.Errorf("refused after %s", waited)
		}
		w.set(func() { close(w.stuck); w.stuck = nil })
		if err := <-inFlight; err != nil {
			t.Errorf("the job whose rows were sent: %v", err)
		}
		pass(5 * time.Second)
		wantState(t, c, "inflight", steptracker.Completed)
		w.set(func() {
			if len(w.starts[steptracker.TaskKey{StepKey: steptracker.StepKey{Job: "refused"}}]) > 0 {
				t.Error("the refused job ran")
			}
		})
	})
}

// TestLeavingOwnerTurnsCallersAway: what an owner that leaves has not taken in goes to its successor. If the
// store is silent there is none, and callers are told at once.
func TestLeavingOwnerTurnsCallersAway(t *testing.T) {
	for _, silent := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, 2)
			c, stop := w.own(1)
			defer stop()
			pass(time.Second)
			stuck := make(chan struct{})
			w.set(func() { w.stuck = stuck })
			go func() { _, _ = c.Submit(t.Context(), job("sent", "plain", step(1, 1000))) }()
			if silent {
				pass(time.Second)
			} else {
				pass(50 * time.Millisecond)
			}
			left := make(chan error, 1)
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			go func() { left <- c.Shutdown(ctx) }()
			pass(50 * time.Millisecond)
			_, err := c.Submit(t.Context(), job("late", "plain", step(1, 1000)))
			var refused *cellscheduler.RefusedError
			var elsewhere *cellscheduler.ShuttingDownError
			if errors.As(err, &refused) != silent || errors.As(err, &elsewhere) == silent {
				t.Errorf("silent store %t: a submission got %v", silent, err)
			}
			close(stuck)
			<-left
			if _, err := c.Submit(t.Context(), job("later", "plain", step(1, 1000))); !errors.As(err, &elsewhere) {
				t.Errorf("after the owner has left: %v", err)
			}
		})
	}
}

func TestDeposedOwnerWritesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2)
		first, stopFirst := w.own(1)
		defer stopFirst()
		submit(t, first, job("a", "plain", step(1, 1000)))
		second, stop := w.own(2)
		defer stop()
		_, err := first.Submit(t.Context(), job("b", "plain", step(1, 1000)))
		var notOwner *cellscheduler.NotOwnerError
		if !errors.As(err, &notOwner) {
			t.Errorf("the old owner answered %v", err)
		}
		pass(3 * time.Second)
		wantState(t, second, "a", steptracker.Completed)
	})
}
