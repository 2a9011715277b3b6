package cellscheduler

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"dotterelpost.example/dotterelpost/internal/configprovider"
	"dotterelpost.example/dotterelpost/internal/inflightlimiter"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/steptracker"
)

// BenchmarkQuotaDecision measures what the quotas add to the placement of a job of one task: a round of 100
// jobs, of which each is visited, charged, checked before its order and released. With full quotas each is
// visited and held, and the time at which it has room is estimated from the team's runs.
func BenchmarkQuotaDecision(b *testing.B) {
	for _, teams := range []int{20, 2000} {
		for _, runs := range []int{0, 100} {
			b.Run(fmt.Sprintf("%d teams, %d runs", teams, runs), func(b *testing.B) { benchmarkQuotaDecision(b, teams, runs) })
		}
	}
}

// benchmarkQuotaDecision gives each team a quota of 100 tasks and as many runs as told.
func benchmarkQuotaDecision(b *testing.B, teams, runs int) {
	clock := clockwork.NewFakeClock()
	c := &Scheduler{
		Dependencies: Dependencies{Clock: clock, Log: slog.New(slog.DiscardHandler), Configuration: &configprovider.Provider{}, Metrics: NewMetrics()},
		now:          clock.Now(), pendingSteps: make(map[steptracker.StepKey]*step), durationRatios: make(map[string]*durationRatio),
	}
	c.quotas.init()
	c.journal.limiter = inflightlimiter.New(1)
	configuration := &configprovider.Configuration{Version: 1}
	for i := range teams {
		configuration.Teams = append(configuration.Teams, configprovider.Team{Name: fmt.Sprintf("team-%d", i), Quota: modeler.Resources{Processors: 100000}})
	}
	c.Configuration.Apply(configuration)
	definition := steptracker.Step{Tasks: 1, Needs: modeler.Resources{Processors: 1000}, Estimate: time.Second}
	newJob := func(id string, team int) *job {
		return &job{id: id, definition: &steptracker.Job{ID: id, Steps: []steptracker.Step{definition}}, progress: &steptracker.Progress{Team: configuration.Teams[team].Name}}
	}
	var ranked []*step
	for i := range 100 {
		key := steptracker.StepKey{Job: fmt.Sprint(i)}
		s := &step{key: key, job: newJob(key.Job, i%teams), def: &definition, tasks: make([]steptracker.Task, 1)}
		ranked, c.pendingSteps[key] = append(ranked, s), s
	}
	for i := range runs * min(teams, len(ranked)) {
		c.chargeQuota(&placement{job: ranked[i%len(ranked)].job, step: &definition, placedAt: c.now})
	}
	tasks, placed := []int{0}, make([]*placement, 0, len(ranked))
	jobs := 0
	for b.Loop() {
		placed = placed[:0]
		clock.Advance(minRoundInterval)
		c.now = clock.Now()
		c.beginQuotaRound(ranked)
		for _, s := range ranked {
			if c.hasQuotaRoom(s) && len(c.withinQuota(s, tasks)) == 1 {
				p := &placement{job: s.job, step: s.def}
				c.chargeQuota(p)
				placed = append(placed, p)
			}
			c.reserveQuotaForAdvice(s)
		}
		for _, p := range placed {
			if c.exceedsQuota(p) {
				b.Fatal("a charged run exceeds its quota")
			}
			c.releaseQuota(p)
		}
		jobs += len(ranked)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(jobs), "ns/job")
}
