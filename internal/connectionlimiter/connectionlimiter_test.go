package connectionlimiter

import (
	"net"
	"net/http"
	"testing"
	"time"
)

// TestOrderOfClosing closes all connections, each in the order in which they give way to others.
func TestOrderOfClosing(t *testing.T) {
	type change struct {
		connection int
		state      http.ConnState
	}
	const (
		opened  = http.StateNew
		active  = http.StateActive
		idle    = http.StateIdle
		closed  = http.StateClosed
		members = 4
	)
	for name, test := range map[string]struct {
		changes []change
		want    []int
	}{
		"headers that never end, the oldest first":       {[]change{{0, opened}, {1, opened}, {2, opened}}, []int{0, 1, 2}},
		"idle ones by the time of their last request":    {[]change{{0, opened}, {1, opened}, {0, active}, {1, active}, {1, idle}, {0, idle}}, []int{1, 0}},
		"waiting ones before requests":                   {[]change{{0, opened}, {0, active}, {1, opened}}, []int{1, 0}},
		"the longest request first":                      {[]change{{0, opened}, {1, opened}, {1, active}, {0, active}}, []int{1, 0}},
		"closed ones are not there":                      {[]change{{0, opened}, {1, opened}, {0, closed}}, []int{1}},
		"changes of a connection that was removed":       {[]change{{0, opened}, {0, closed}, {0, active}, {0, idle}}, nil},
		"the server reports a connection that was added": {[]change{{0, opened}, {1, opened}, {0, opened}}, []int{0, 1}},
	} {
		var connections [members]net.Conn
		for i := range connections {
			connections[i], _ = net.Pipe()
		}
		now := time.Unix(1000, 0)
		table := newTable()
		for _, c := range test.changes {
			now = now.Add(time.Second)
			table.set(connections[c.connection], c.state, now)
		}
		if len(table.entries) != len(test.want) {
			t.Errorf("%s: %d connections, want %d", name, len(table.entries), len(test.want))
			continue
		}
		for _, want := range test.want {
			next := table.nextToClose()
			if next.connection != connections[want] {
				t.Errorf("%s: connection %d is not the next to close", name, want)
			}
			table.remove(next.connection)
		}
	}
}

func TestMax(t *testing.T) {
	for descriptors, want := range map[int]int{0: 0, 100: 1, 300: 75, 4100: 2925, 8192: 5994} {
		if got := Max(descriptors); got != want {
			t.Errorf("%d descriptors: %d connections, want %d", descriptors, got, want)
		}
	}
}

func TestReceiveBuffer(t *testing.T) {
	for _, test := range []struct {
		memoryLimit       int64
		connections, want int
	}{
		{0, 2925, 0},
		{284 << 20, 0, 0},
		{160 << 20, 2925, minReceiveBuffer},
		{536 << 20, 2925, 24018},
		{536 << 20, 100, maxReceiveBuffer},
	} {
		if got := ReceiveBuffer(test.memoryLimit, test.connections); got != test.want {
			t.Errorf("%d bytes of memory, %d connections: %d, want %d", test.memoryLimit, test.connections, got, test.want)
		}
	}
}
