package partitioncontroller_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/c2h5oh/datasize"

	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/simulator"
)

// cancellationResult counts cancelled jobs by their final state; open counts those without one.
// took is the elapsed real time, including submission; writes counts table writes.
type cancellationResult struct {
	notRun, stopped, open int
	violations            []string
	writes                int64
	took                  time.Duration
}

// cancelJobs submits jobs of which only a few can be placed, and cancels all of them at once.
func cancelJobs(jobs int) cancellationResult {
	began := time.Now()
	var result cancellationResult
	synctest.Test(&testing.T{}, func(*testing.T) {
		c := newTestCluster(simulator.CompareEpochs, smallSize)
		c.state.Policies[1].QueueLimit = jobs
		c.startInstance(0)
		<-c.clock.After(6 * time.Second)
		before := c.platform.TableUsage().Writes
		// The error is ignored because this type can always be encoded.
		text, _ := json.Marshal(testPayload{RunsFor: modeler.Duration(time.Hour)})
		for i := range jobs {
			c.startCaller(fmt.Sprintf("caller/wave-%05d%s", i, strings.Repeat("x", i%2)), modeler.Job{
				Class: modeler.Batch, Team: "team", Tasks: 1, Repeatable: true, Payload: text,
				Needs: modeler.Resources{Processors: 1000, Memory: datasize.GB},
			}, 2*time.Second)
		}
		<-c.clock.After(time.Minute)
		result.violations = c.violations()
		result.writes = c.platform.TableUsage().Writes - before
		for _, call := range c.calls {
			switch call.Answers[len(call.Answers)-1].State {
			case modeler.NotRun:
				result.notRun++
			case modeler.Stopped:
				result.stopped++
			default:
				result.open++
			}
		}
		c.shutDown()
		synctest.Wait()
	})
	result.took = time.Since(began)
	return result
}

// TestMassCancellationGivesFinalAnswers guards against missing or wrong answers when many jobs,
// placed and queued, are cancelled at once.
func TestMassCancellationGivesFinalAnswers(t *testing.T) {
	result := cancelJobs(1000)
	if len(result.violations) > 0 || result.open > 0 {
		t.Errorf("%d without a final answer, violations %q", result.open, result.violations)
	}
	if result.notRun == 0 || result.stopped == 0 {
		t.Errorf("%d not run and %d stopped: the test must cancel both queued and placed jobs", result.notRun, result.stopped)
	}
}

// BenchmarkMassCancellation reports real time and table writes per cancelled job at several sizes,
// to show whether the cost grows faster than the number of jobs.
func BenchmarkMassCancellation(b *testing.B) {
	for _, jobs := range []int{1250, 2500, 5000} {
		b.Run(fmt.Sprintf("jobs=%d", jobs), func(b *testing.B) {
			for range b.N {
				result := cancelJobs(jobs)
				if result.open > 0 {
					b.Fatalf("%d without a final answer", result.open)
				}
				b.ReportMetric(float64(result.took.Microseconds())/float64(jobs), "us/job")
				b.ReportMetric(float64(result.writes)/float64(jobs), "writes/job")
			}
		})
	}
}
