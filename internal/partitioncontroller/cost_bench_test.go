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

// These are the sizes of the system that its users expect in two years. targetStarts is the number
// of task starts per second at the peak.
const (
	targetInstances = 24
	targetWorkers   = 1500
	targetStarts    = 160
)

// BenchmarkControlCost runs fractions of the target system on virtual time and reports the cost of
// control: table reads and writes, the bytes that one instance exchanges with the platform for
// heartbeats, starts and reports, processor time and memory. Processor time includes the simulated
// platform and the callers, so it is an upper bound for the instances.
func BenchmarkControlCost(b *testing.B) {
	for _, divisor := range []int{8, 4, 2, 1} {
		for _, loadDivisor := range []int{4, 1} {
			name := fmt.Sprintf("instances=%d/workers=%d/starts=%d", targetInstances/divisor, targetWorkers/divisor, targetStarts/divisor/loadDivisor)
			b.Run(name, func(b *testing.B) {
				measureCost(b, targetInstances/divisor, targetWorkers/divisor, targetStarts/divisor/loadDivisor)
			})
		}
	}
}

const (
	// warmUp is the time for the instances to share the partitions; measured is the measured time.
	warmUp   = 10 * time.Second
	measured = 40 * time.Second
	// tasksPerJob is the number of tasks of a typical batch job. 10,000 such jobs per day are 4.6
	// starts per second on average, and the peak of 160 starts per second is 4 jobs per second.
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

// costUsage is the usage during the measured time.
type costUsage struct {
	starts        int
	writes, reads int64
	bytes         int64
	processor     time.Duration
	heap          uint64
}

func runCost(instances, workers, starts int) costUsage {
	size := clusterSize{
		partitions:          instances,
		workersPerPartition: workers / instances,
		capacity:            modeler.Resources{Processors: 64000, Memory: 128 * datasize.GB, Accelerators: 2},
		slots:               8,
	}
	c := newTestCluster(simulator.CompareEpochs, size)
	c.expectedInstances = instances
	c.rowsPerSnapshot = journaler.DefaultRowsPerSnapshot
	// All instances together may write 240 transactions per second by default.
	c.minInterval = time.Duration(instances) * time.Second / 240
	for index := range instances {
		c.startInstance(index)
	}
	<-c.clock.After(warmUp)
	before := c.usage()
	for number, sent := 0, 0; sent < int(measured.Seconds())*starts; number++ {
		c.submitBatchJob(number)
		sent += tasksPerJob
		<-c.clock.After(tasksPerJob * time.Second / time.Duration(starts))
	}
	after := c.usage()
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	after.heap = memory.HeapAlloc
	c.shutDown()
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

// submitBatchJob submits a batch job to the partition that the length of its key selects.
func (c *testCluster) submitBatchJob(number int) {
	// The error is ignored because this type can always be encoded.
	text, _ := json.Marshal(testPayload{RunsFor: modeler.Duration(20 * time.Second), Answer: number})
	c.startCaller(fmt.Sprintf("street-%06d%s", number, strings.Repeat("x", number%len(c.partitions))), modeler.Job{
		Class:      modeler.Batch,
		Team:       "team",
		Tasks:      tasksPerJob,
		Needs:      modeler.Resources{Processors: 1000, Memory: datasize.GB},
		Repeatable: true,
		Payload:    text,
	}, 0)
}

func (c *testCluster) usage() costUsage {
	usage := costUsage{}
	for _, event := range c.platform.Events() {
		if event.Started {
			usage.starts++
		}
	}
	table := c.platform.TableUsage()
	usage.writes, usage.reads = table.Writes, table.Reads
	for _, instance := range c.liveInstances() {
		usage.bytes += instance.transport.bytes.Load()
	}
	var spent syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &spent) == nil {
		usage.processor = time.Duration(spent.Utime.Nano() + spent.Stime.Nano())
	}
	return usage
}
