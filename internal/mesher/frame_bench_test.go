package mesher

import (
	"fmt"
	"testing"

	"dotterelpost.example/dotterelpost/internal/messenger"
)

// BenchmarkHeartbeat reports the size of a heartbeat frame for the partitions that its sender holds.
func BenchmarkHeartbeat(b *testing.B) {
	for _, holdings := range []int{1, 2, 4, 8} {
		b.Run(fmt.Sprintf("partitions=%d", holdings), func(b *testing.B) {
			beat := &messenger.Heartbeat{Instance: "north-a-12.0123abcd", Region: "north", Ticket: 2_000_000, InForceSinceMillis: 1_796_000_000_000}
			for i := range holdings {
				beat.Holdings = append(beat.Holdings, &messenger.Holding{Partition: fmt.Sprintf("north-%02d", i), Epoch: 100_000})
			}
			size := 0
			for range b.N {
				data, err := encodeFrame(&messenger.Frame{Kind: &messenger.Frame_Heartbeat{Heartbeat: beat}})
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
