package cellscheduler

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"dotterelpost.example/dotterelpost/internal/candidateselector"
	"dotterelpost.example/dotterelpost/internal/configprovider"
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
	clock := clockwork.NewFakeClock()
	c := &Scheduler{
		Dependencies: Dependencies{Clock: clock, Log: slog.New(slog.DiscardHandler), Configuration: &configprovider.Provider{}, Metrics: NewMetrics(), AdvisorClient: noAdvisor{}},
		now:          clock.Now(), pendingSteps: make(map[steptracker.StepKey]*step), workers: make(map[string]*worker),
	}
	c.advisor.init()
	for i := range 1100 {
		capacity := modeler.Resources{Processors: 64000, Memory: 128 << 30}
		info := workerdriver.Worker{Incarnation: steptracker.Incarnation{Worker: fmt.Sprintf("i-%010x", i*7919)}, Rack: fmt.Sprint(i / 8), Capacity: capacity}
		w := &worker{info: info, listed: true, synced: true, lastReplyAt: c.now, placements: make(map[steptracker.TaskKey]*placement)}
		w.used = modeler.Resources{Processors: modeler.Processors(i * 7919 % 64000)}
		c.addWorker(w)
	}
	b.Run("collect", func(b *testing.B) {
		for b.Loop() {
			c.collectCandidates()
		}
	})
	definition := steptracker.Step{Tasks: 4, Needs: modeler.Resources{Processors: 16000}, Estimate: time.Second}
	b.Run("select", func(b *testing.B) {
		for b.Loop() {
			c.collectCandidates()
			for range 100 {
				c.selector.Select(candidateselector.Request{Step: &definition, Tasks: 4, SuitableShare: 0.3})
			}
		}
	})
}
