package quotakeeper_test

import (
	"fmt"
	"testing"

	"github.com/c2h5oh/datasize"

	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/quotakeeper"
)

func resources(processors modeler.Processors, memory datasize.ByteSize, accelerators int64) modeler.Resources {
	return modeler.Resources{Processors: processors, Memory: memory * datasize.GB, Accelerators: accelerators}
}

func TestRoom(t *testing.T) {
	for _, test := range []struct {
		name                          string
		quota, inUse, reserved, needs modeler.Resources
		want                          int
		limit                         quotakeeper.Limit
	}{
		{"empty", resources(10000, 20, 2), resources(0, 0, 0), resources(0, 0, 0), resources(2000, 1, 0), 5, quotakeeper.None},
		{"in use", resources(10000, 20, 2), resources(7000, 1, 0), resources(0, 0, 0), resources(2000, 1, 0), 1, quotakeeper.None},
		{"reserved", resources(10000, 20, 2), resources(5000, 1, 0), resources(4000, 0, 0), resources(2000, 1, 0), 0, quotakeeper.Processors},
		{"memory", resources(10000, 20, 2), resources(1000, 20, 0), resources(0, 0, 0), resources(2000, 1, 0), 0, quotakeeper.Memory},
		{"accelerators", resources(10000, 20, 2), resources(1000, 2, 1), resources(0, 0, 0), resources(1000, 1, 2), 0, quotakeeper.Accelerators},
		{"above the quota", resources(10000, 20, 2), resources(12000, 2, 0), resources(0, 0, 0), resources(1000, 1, 0), 0, quotakeeper.Processors},
		{"needs nothing of what is above the quota", resources(10000, 20, 2), resources(1000, 2, 3), resources(0, 0, 0), resources(3000, 1, 0), 3, quotakeeper.None},
		{"a dimension without a limit", resources(0, 20, 0), resources(900000, 2, 50), resources(0, 0, 0), resources(1000, 6, 1), 3, quotakeeper.None},
		{"no quota", resources(0, 0, 0), resources(900000, 2, 50), resources(0, 0, 0), resources(1000, 6, 1), quotakeeper.Unlimited, quotakeeper.None},
	} {
		t.Run(test.name, func(t *testing.T) {
			keeper := quotakeeper.New()
			keeper.SetQuota("team", test.quota)
			keeper.Charge("here", "team", test.inUse)
			if got := keeper.Room("team", test.needs, test.reserved); got != test.want {
				t.Errorf("room for %d tasks, want %d", got, test.want)
			}
			if got := keeper.LimitOf("team", test.needs, test.reserved, 1); got != test.limit {
				t.Errorf("limit %q, want %q", got, test.limit)
			}
		})
	}
}

// TestQuotaLimitsTheSumOfAllParts: what another owner uses leaves less room here.
func TestQuotaLimitsTheSumOfAllParts(t *testing.T) {
	keeper := quotakeeper.New()
	keeper.SetQuota("team", resources(10000, 0, 0))
	one := resources(1000, 1, 0)
	for range 4 {
		keeper.Charge("here", "team", one)
	}
	keeper.SetPart("there", "team", resources(5000, 5, 0))
	if got := keeper.Room("team", one, modeler.Resources{}); got != 1 {
		t.Errorf("room for %d tasks beside 4 here and 5 there, want 1", got)
	}
	keeper.SetPart("there", "team", resources(2000, 2, 0))
	keeper.Release("here", "team", one)
	if got := keeper.Room("team", one, modeler.Resources{}); got != 5 {
		t.Errorf("room for %d tasks beside 3 here and 2 there, want 5", got)
	}
	if got := keeper.RoomAfter("team", one, one.Times(3)); got != 8 {
		t.Errorf("room for %d tasks once 3 have ended, want 8", got)
	}
	if got := keeper.UseOf("team").InUse; got != resources(5000, 5, 0) {
		t.Errorf("in use: %+v", got)
	}
}

// TestLargestAmountsDoNotOverflow: a gang of the largest size that the limits of a job allow.
func TestLargestAmountsDoNotOverflow(t *testing.T) {
	huge := modeler.Resources{Processors: 1 << 40, Memory: 1 << 60, Accelerators: 1 << 40}
	if limit := quotakeeper.LimitOfEmpty(resources(0, 64, 0), huge, 2000); limit != quotakeeper.Memory {
		t.Errorf("limit %q, want %q", limit, quotakeeper.Memory)
	}
	if limit := quotakeeper.LimitOfEmpty(modeler.Resources{}, huge, 2000); limit != quotakeeper.None {
		t.Errorf("limit %q without a quota", limit)
	}
}

// BenchmarkTask measures all that is asked for one task.
func BenchmarkTask(b *testing.B) {
	for _, teams := range []int{20, 2000} {
		b.Run(fmt.Sprintf("%d teams", teams), func(b *testing.B) {
			keeper := quotakeeper.New()
			names := make([]string, teams)
			for i := range names {
				names[i] = fmt.Sprintf("team-%d", i)
				keeper.SetQuota(names[i], resources(100000, 100, 10))
			}
			needs := resources(1000, 1, 0)
			for i := 0; b.Loop(); i++ {
				name := names[i%teams]
				if keeper.Room(name, needs, modeler.Resources{}) >= 1 {
					keeper.Charge("here", name, needs)
				}
				if keeper.RoomAfter(name, needs, needs) >= 1 {
					keeper.Release("here", name, needs)
				}
			}
		})
	}
}
