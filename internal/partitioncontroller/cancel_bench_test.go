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

// wave is what a wave of cancellations came to.
type wave struct {
	notRun, stopped, open int
	violations            []string
	writes                int64
	took                  time.Duration
}

// cancelWave submits jobs of which only a few find a place, and cancels all of them at once. Took is
// real time for everything, submission included.
func cancelWave(jobs int) wave {
	began := time.Now()
	var result wave
	synctest.Test(&testing.T{}, func(*testing.T) {
		w := newWorld(simulator.CompareEpochs, smallShape)
		w.state.Policies[1].QueueLimit = jobs
		w.start(0)
		<-w.clock.After(6 * time.Second)
		before := w.platform.TableUsage().Writes
		// Errors can't happen: the type has nothing that does not encode.
		text, _ := json.Marshal(testPayload{RunsFor: modeler.Duration(time.Hour)})
		for i := range jobs {
			w.call(fmt.Sprintf("caller/wave-%05d%s", i, strings.Repeat("x", i%2)), modeler.Job{
				Class: modeler.Batch, Team: "team", Tasks: 1, Repeatable: true, Payload: text,
				Needs: modeler.Resources{Processors: 1000, Memory: datasize.GB},
			}, 2*time.Second)
		}
		<-w.clock.After(time.Minute)
		result.violations = w.violations()
		result.writes = w.platform.TableUsage().Writes - before
		for _, call := range w.calls {
			switch call.Told[len(call.Told)-1].State {
			case modeler.NotRun:
				result.notRun++
			case modeler.Stopped:
				result.stopped++
			default:
				result.open++
			}
		}
		w.end()
		synctest.Wait()
	})
	result.took = time.Since(began)
	return result
}

func TestWaveOfCancellationsIsAnsweredTruly(t *testing.T) {
	result := cancelWave(1000)
	if len(result.violations) > 0 || result.open > 0 {
		t.Errorf("%d without a final answer, violations %q", result.open, result.violations)
	}
	if result.notRun == 0 || result.stopped == 0 {
		t.Errorf("%d not run and %d stopped: the wave has to meet both", result.notRun, result.stopped)
	}
}

// BenchmarkCancellationWave reports real time and table writes a cancelled job, for the slope.
func BenchmarkCancellationWave(b *testing.B) {
	for _, jobs := range []int{1250, 2500, 5000} {
		b.Run(fmt.Sprintf("jobs=%d", jobs), func(b *testing.B) {
			for range b.N {
				result := cancelWave(jobs)
				if result.open > 0 {
					b.Fatalf("%d without a final answer", result.open)
				}
				b.ReportMetric(float64(result.took.Microseconds())/float64(jobs), "us/job")
				b.ReportMetric(float64(result.writes)/float64(jobs), "writes/job")
			}
		})
	}
}
