package cellscheduler

import (
	"context"
	"fmt"
	"testing"
	"time"

	"dotterelpost.example/dotterelpost/internal/candidateselector"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

type noAdvisor struct{}

func (noAdvisor) Instances() []string { return []string{"a", "b"} }

func (noAdvisor) Advise(context.Context, string, steptracker.StepKey, []string) (workerdriver.Advice, error) {
	return workerdriver.Advice{}, nil
}

// BenchmarkRoundOfManyWorkers measures the parts of a round on 1,100 workers: what does not depend on the steps that
// are visited, and the choice of the workers that one call to the advisor names.
func BenchmarkRoundOfManyWorkers(b *testing.B) {
	c := newRound(1100)
	for i, w := range c.sortedWorkers() {
		w.info.Rack, w.used = fmt.Sprint(i/8), modeler.Resources{Processors: modeler.Processors(1 + i*7919%64000)}
	}
	b.Run("collect", func(b *testing.B) {
		for b.Loop() {
			c.collectCandidates(nil)
		}
	})
	b.Run("select in a full cell", func(b *testing.B) {
		c.collectCandidates(nil)
		wide := steptracker.Step{Tasks: 4, Needs: modeler.Resources{Processors: 64000, Memory: 1 << 30}, Estimate: time.Second}
		for b.Loop() {
			c.selector.Select(candidateselector.Request{Step: &wide, Tasks: 4, SuitableShare: 0.3})
		}
	})
	definition := steptracker.Step{Tasks: 4, Needs: modeler.Resources{Processors: 16000}, Estimate: time.Second}
	b.Run("select", func(b *testing.B) {
		for b.Loop() {
			c.collectCandidates(nil)
			for range 100 {
				c.selector.Select(candidateselector.Request{Step: &definition, Tasks: 4, SuitableShare: 0.3})
			}
		}
	})
}

// BenchmarkPendingJobs measures a call for the number of pending jobs of a queue by the number of retained jobs.
func BenchmarkPendingJobs(b *testing.B) {
	for _, jobs := range []int{100, 10_000} {
		b.Run(fmt.Sprint(jobs), func(b *testing.B) {
			c := &Scheduler{jobs: make(map[string]*job), queuedJobs: make(map[string]int), mailbox: make(chan func(), 1), recovered: true, done: make(chan struct{}), ctx: b.Context()}
			for i := range jobs {
				j := &job{id: fmt.Sprint(i), stored: true, visibleState: steptracker.Completed, progress: &steptracker.Progress{Queue: "queue"}}
				c.jobs[j.id] = j
			}
			go func() {
				for {
					select {
					case message := <-c.mailbox:
						message()
					case <-c.ctx.Done():
						return
					}
				}
			}()
			for b.Loop() {
				if _, err := c.PendingJobs(b.Context(), "queue"); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
