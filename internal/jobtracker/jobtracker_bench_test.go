package jobtracker_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/c2h5oh/datasize"

	"dotterelpost.example/dotterelpost/internal/jobtracker"
	"dotterelpost.example/dotterelpost/internal/modeler"
)

// BenchmarkTrackerMemory reports the memory used by finished durable jobs of 40 tasks with their
// results, and the size of their snapshot.
func BenchmarkTrackerMemory(b *testing.B) {
	for _, jobs := range []int{100, 200, 400, 1600} {
		b.Run(fmt.Sprintf("jobs=%d", jobs), func(b *testing.B) {
			for range b.N {
				before := heap()
				tracker := fillTracker(jobs)
				after := heap()
				text, err := tracker.Save()
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(after-before)/float64(jobs), "bytes/job")
				b.ReportMetric(float64(len(text))/float64(jobs), "snapshot-bytes/job")
				runtime.KeepAlive(tracker)
			}
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return memory.HeapAlloc
}

func fillTracker(jobs int) *jobtracker.Tracker {
	tracker := jobtracker.New()
	for i := range jobs {
		spec := modeler.Job{Class: modeler.Batch, Team: "team", Tasks: 40, Needs: modeler.Resources{Processors: 2000, Memory: datasize.GB}, Repeatable: true}
		key := fmt.Sprintf("crew-porto/street-estimate-%06d", i)
		job := tracker.Add(key, "0123456789abcdef0123456789abcdef", spec, time.Unix(0, 0), jobtracker.Queued)
		job.Durable = true
		job.Accept()
		for task := range job.Tasks {
			result := modeler.NewResult(key, task, true, fmt.Sprintf(`{"street":"Rua do Almada","number":%d}`, task))
			job.End(task, modeler.Done, "", &result, time.Unix(1, 0))
		}
	}
	return tracker
}
