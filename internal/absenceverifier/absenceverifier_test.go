package absenceverifier_test

import (
	"testing"
	"time"

	"dotterelpost.example/dotterelpost/internal/absenceverifier"
	"dotterelpost.example/dotterelpost/internal/steptracker"
)

func TestVerify(t *testing.T) {
	requested := time.Unix(100, 0)
	before, after := requested.Add(-time.Millisecond), requested.Add(time.Millisecond)
	for name, test := range map[string]struct {
		run  absenceverifier.Run
		want steptracker.EndReason
	}{
		"start not sent or not answered":       {run: absenceverifier.Run{State: absenceverifier.Unsettled}},
		"confirmed before the request":         {run: absenceverifier.Run{State: absenceverifier.Started, StartedAt: before}, want: steptracker.WorkerLost},
		"confirmed with the request":           {run: absenceverifier.Run{State: absenceverifier.Started, StartedAt: requested}},
		"confirmed after the request":          {run: absenceverifier.Run{State: absenceverifier.Started, StartedAt: after}},
		"in doubt":                             {run: absenceverifier.Run{State: absenceverifier.InDoubt}},
		"in doubt, stopped before the request": {run: absenceverifier.Run{State: absenceverifier.InDoubt, StopConfirmedAt: before}, want: steptracker.NeverStarted},
		"in doubt, stopped after the request":  {run: absenceverifier.Run{State: absenceverifier.InDoubt, StopConfirmedAt: after}},
		"of an earlier owner":                  {run: absenceverifier.Run{State: absenceverifier.Unconfirmed}, want: steptracker.NeverStarted},
		"of an earlier incarnation":            {run: absenceverifier.Run{State: absenceverifier.Unconfirmed, OnEarlierIncarnation: true}, want: steptracker.WorkerLost},
	} {
		t.Run(name, func(t *testing.T) {
			complete := absenceverifier.Listing{RequestedAt: requested, AllEnds: true}
			if reason, proven := complete.Verify(test.run); proven != (test.want != "") || proven && reason != test.want {
				t.Errorf("got %q, proven %t; want %q", reason, proven, test.want)
			}
			partial := absenceverifier.Listing{RequestedAt: requested}
			if reason, proven := partial.Verify(test.run); proven {
				t.Errorf("a list without all ends proves %q", reason)
			}
		})
	}
}
