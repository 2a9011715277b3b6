package crashattributor_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	"dotterelpost.example/dotterelpost/internal/crashattributor"
)

func TestAttribute(t *testing.T) {
	const (
		unknown    = crashattributor.Unknown
		cleared    = crashattributor.Cleared
		suspected  = crashattributor.Suspected
		attributed = crashattributor.Attributed
	)
	type run = crashattributor.Run
	for name, test := range map[string]struct {
		runs []run
		want []crashattributor.Verdict
	}{
		"no runs":                       {nil, nil},
		"one recent run":                {[]run{{Job: "a"}, {Job: "b", Outlived: true}}, []crashattributor.Verdict{attributed, cleared}},
		"two recent runs of one job":    {[]run{{Job: "a"}, {Job: "a"}}, []crashattributor.Verdict{attributed, attributed}},
		"recent runs of two jobs":       {[]run{{Job: "a"}, {Job: "b"}}, []crashattributor.Verdict{suspected, suspected}},
		"none recent":                   {[]run{{Job: "a", Outlived: true}}, []crashattributor.Verdict{cleared}},
		"start unknown":                 {[]run{{Job: "a", StartUnknown: true}}, []crashattributor.Verdict{unknown}},
		"one recent, one start unknown": {[]run{{Job: "a"}, {Job: "b", StartUnknown: true}}, []crashattributor.Verdict{attributed, unknown}},
		"isolated beside old ones":      {[]run{{Job: "a", Isolated: true}, {Job: "b", Outlived: true}}, []crashattributor.Verdict{attributed, cleared}},
		"isolated, start unknown":       {[]run{{Job: "a", Isolated: true, StartUnknown: true}, {Job: "b"}}, []crashattributor.Verdict{unknown, attributed}},
		"isolated for its whole run":    {[]run{{Job: "a", Isolated: true, Outlived: true}, {Job: "b"}}, []crashattributor.Verdict{attributed, unknown}},
	} {
		t.Run(name, func(t *testing.T) {
			if got := crashattributor.Attribute(test.runs); !slices.Equal(got, test.want) {
				t.Errorf("verdicts %v, want %v", got, test.want)
			}
		})
	}
}

func TestHistory(t *testing.T) {
	const (
		unknown    = crashattributor.Unknown
		cleared    = crashattributor.Cleared
		suspected  = crashattributor.Suspected
		attributed = crashattributor.Attributed
	)
	for name, test := range map[string]struct {
		verdicts []crashattributor.Verdict
		isolated bool
		givenUp  bool
	}{
		"no crash":                      {},
		"one attributed":                {[]crashattributor.Verdict{attributed}, true, false},
		"two attributed":                {[]crashattributor.Verdict{attributed, attributed}, true, true},
		"suspected, then attributed":    {[]crashattributor.Verdict{suspected, attributed}, true, false},
		"suspected, then twice":         {[]crashattributor.Verdict{suspected, attributed, attributed}, true, true},
		"cleared in between":            {[]crashattributor.Verdict{attributed, cleared, attributed}, true, false},
		"beside others' crashes, twice": {[]crashattributor.Verdict{cleared, cleared}, false, false},
		"three crashes without a cause": {[]crashattributor.Verdict{cleared, cleared, unknown}, true, false},
		"late crashes":                  {[]crashattributor.Verdict{cleared, cleared, cleared, attributed, attributed}, true, true},
		"five crashes without a cause":  {[]crashattributor.Verdict{unknown, unknown, unknown, unknown, unknown}, true, false},
		"five crashes, suspected":       {[]crashattributor.Verdict{unknown, suspected, unknown, unknown, unknown}, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			var history crashattributor.History
			for _, verdict := range test.verdicts {
				history.RecordCrash(verdict)
			}
			if history.NeedsIsolation() != test.isolated || history.GivenUp() != test.givenUp {
				t.Errorf("%+v: isolated %t, given up %t; want %t, %t", history, history.NeedsIsolation(), history.GivenUp(), test.isolated, test.givenUp)
			}
		})
	}
	history := crashattributor.History{Crashes: 1, Suspected: 1, Attributed: 1}
	history.RecordSurvival()
	if history.NeedsIsolation() {
		t.Errorf("%+v: the task is isolated after a run that its worker survived", history)
	}
}

// TestGivenUpWithinFiveCrashes: whatever the verdicts on its first crashes, a task that crashes every
// worker at its start is given up by the fifth crash if one of its crashes was seen by the owner that had
// sent the order.
func TestGivenUpWithinFiveCrashes(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 1000 {
		var history crashattributor.History
		seen := false
		for crash := 1; !history.GivenUp(); crash++ {
			// A task that crashes its worker is never cleared. A change of owner hides the start.
			verdict := crashattributor.Suspected
			switch {
			case random.IntN(3) == 0:
				verdict = crashattributor.Unknown
			case history.NeedsIsolation():
				verdict = crashattributor.Attributed
			}
			seen = seen || verdict != crashattributor.Unknown
			history.RecordCrash(verdict)
			if crash >= 5 && seen && !history.GivenUp() {
				t.Fatalf("%+v: not given up after %d crashes", history, crash)
			}
		}
	}
}
