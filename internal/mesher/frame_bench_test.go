package mesher

import (
	"fmt"
	"testing"

	"dotterelpost.example/dotterelpost/internal/messenger"
)

// BenchmarkHeartbeat encodes a heartbeat frame and reports its size for several numbers of partitions
// held by the sender.
func BenchmarkHeartbeat(b *testing.B) {
	for _, partitions := range []int{1, 2, 4, 8} {
		b.Run(fmt.Sprintf("partitions=%d", partitions), func(b *testing.B) {
			heartbeat := &messenger.Heartbeat{Instance: "north-a-12.0123abcd", Region: "north", Ticket: 2_000_000, InForceSinceMillis: 1_796_000_000_000}
			for i := range partitions {
				heartbeat.Holdings = append(heartbeat.Holdings, &messenger.Holding{Partition: fmt.Sprintf("north-%02d", i), Epoch: 100_000})
			}
			size := 0
			for range b.N {
				data, err := encodeFrame(&messenger.Frame{Kind: &messenger.Frame_Heartbeat{Heartbeat: heartbeat}})
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
