package partitioncontroller_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/c2h5oh/datasize"

	"dotterelpost.example/dotterelpost/internal/journaler"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/simulator"
)

// Sizes of the two-year target, from the users' letter.
const (
	targetInstances = 24
	targetWorkers   = 1500
	targetStarts    = 160
)

// BenchmarkControlCost runs a part of the two-year cell on virtual time and reports what control
// costs: table writes, and the bytes of worker heartbeats, starts and reports that one instance
// exchanges. The processor time includes the stand-in's and that of the callers, and is therefore
// an upper bound for the instances.
func BenchmarkControlCost(b *testing.B) {
	for _, part := range []int{8, 4, 2, 1} {
		for _, load := range []int{4, 1} {
			name := fmt.Sprintf("instances=%d/workers=%d/starts=%d", targetInstances/part, targetWorkers/part, targetStarts/part/load)
			b.Run(name, func(b *testing.B) { measureCost(b, targetInstances/part, targetWorkers/part, targetStarts/part/load) })
		}
	}
}

const (
	// warmUp lets the instances share the partitions, measured is the time that counts.
	warmUp   = 10 * time.Second
	measured = 40 * time.Second
	// tasksPerJob is that of a street's estimates; 10,000 jobs a day at it are 4.6 starts a second
	// on average, and 4 jobs a second at the peak of 160.
	tasksPerJob = 40
)

func measureCost(b *testing.B, instances, workers, starts int) {
	for range b.N {
		var usage costUsage
		synctest.Test(&testing.T{}, func(*testing.T) { usage = runCost(instances, workers, starts) })
		seconds := measured.Seconds()
		b.ReportMetric(float64(usage.starts)/seconds, "starts/s")
		b.ReportMetric(float64(usage.writes)/seconds, "writes/s")
		b.ReportMetric(float64(usage.writes)/float64(max(1, usage.starts)), "writes/start")
		b.ReportMetric(float64(usage.reads)/seconds, "reads/s")
		b.ReportMetric(float64(usage.bytes)/seconds/float64(instances), "platform-bytes/s/instance")
		b.ReportMetric(100*usage.processor.Seconds()/seconds/float64(instances), "%core/instance")
		b.ReportMetric(float64(usage.heap)/float64(instances)/(1<<20), "MiB/instance")
	}
}

// costUsage is what was spent in the measured time.
type costUsage struct {
	starts        int
	writes, reads int64
	bytes         int64
	processor     time.Duration
	heap          uint64
}

func runCost(instances, workers, starts int) costUsage {
	size := shape{
		partitions:          instances,
		workersPerPartition: workers / instances,
		capacity:            modeler.Resources{Processors: 64000, Memory: 128 * datasize.GB, Accelerators: 2},
		slots:               8,
	}
	w := newWorld(simulator.CompareEpochs, size)
	w.expected = instances
	w.rowsPerSnapshot = journaler.DefaultRowsPerSnapshot
	w.gap = time.Duration(instances) * time.Second / 240
	for place := range instances {
		w.start(place)
	}
	<-w.clock.After(warmUp)
	before := w.usage()
	for number, sent := 0, 0; sent < int(measured.Seconds())*starts; number++ {
		w.submitStreet(number)
		sent += tasksPerJob
		<-w.clock.After(tasksPerJob * time.Second / time.Duration(starts))
	}
	after := w.usage()
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	after.heap = memory.HeapAlloc
	w.end()
	synctest.Wait()
	return costUsage{
		starts:    after.starts - before.starts,
		writes:    after.writes - before.writes,
		reads:     after.reads - before.reads,
		bytes:     after.bytes - before.bytes,
		processor: after.processor - before.processor,
		heap:      after.heap,
	}
}

// submitStreet submits a batch job of a street's estimates to the partition of its number.
func (w *world) submitStreet(number int) {
	// Errors can't happen: the type has nothing that does not encode.
	text, _ := json.Marshal(testPayload{RunsFor: modeler.Duration(20 * time.Second), Answer: number})
	w.call(fmt.Sprintf("street-%06d%s", number, strings.Repeat("x", number%len(w.partitions))), modeler.Job{
		Class:      modeler.Batch,
		Team:       "team",
		Tasks:      tasksPerJob,
		Needs:      modeler.Resources{Processors: 1000, Memory: datasize.GB},
		Repeatable: true,
		Payload:    text,
	}, 0)
}

func (w *world) usage() costUsage {
	usage := costUsage{}
	for _, event := range w.platform.Events() {
		if event.Started {
			usage.starts++
		}
	}
	table := w.platform.TableUsage()
	usage.writes, usage.reads = table.Writes, table.Reads
	for _, n := range w.alive() {
		usage.bytes += n.wire.bytes.Load()
	}
	var spent syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &spent) == nil {
		usage.processor = time.Duration(spent.Utime.Nano() + spent.Stime.Nano())
	}
	return usage
}
