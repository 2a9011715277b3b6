package incarnationverifier_test

import (
	"testing"
	"time"

	"dotterelpost.example/dotterelpost/internal/incarnationverifier"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

func TestMayAcknowledge(t *testing.T) {
	began := time.Unix(100, 0)
	at := func(offset time.Duration) time.Time { return began.Add(offset) }
	reading := func(offset time.Duration) workerdriver.Clock { return workerdriver.Clock(time.Hour + offset) }
	for _, test := range []struct {
		name string
		play func(v *incarnationverifier.Verifier)
		want bool
	}{
		{"listed", func(*incarnationverifier.Verifier) {}, true},
		{"start awaits its answer", func(v *incarnationverifier.Verifier) { v.StartSent(at(time.Second)) }, false},
		{"start answered", func(v *incarnationverifier.Verifier) {
			v.StartAnswered(v.StartSent(at(time.Second)), reading(1010*time.Millisecond), at(1020*time.Millisecond))
		}, true},
		{"start answered by a slow clock", func(v *incarnationverifier.Verifier) {
			v.StartAnswered(v.StartSent(at(time.Second)), reading(980*time.Millisecond), at(1020*time.Millisecond))
		}, true},
		{"start answered by a new incarnation", func(v *incarnationverifier.Verifier) {
			v.StartAnswered(v.StartSent(at(time.Second)), workerdriver.Clock(500*time.Millisecond), at(1020*time.Millisecond))
		}, false},
		{"start answered with the clock of the last list", func(v *incarnationverifier.Verifier) {
			v.StartAnswered(v.StartSent(at(time.Second)), reading(0), at(1020*time.Millisecond))
		}, false},
		{"start refused", func(v *incarnationverifier.Verifier) { v.StartRefused(v.StartSent(at(time.Second))) }, true},
		{"start not answered", func(v *incarnationverifier.Verifier) {
			v.StartUnanswered(v.StartSent(at(time.Second)), at(2*time.Second))
		}, false},
		{"start not answered, listed before", func(v *incarnationverifier.Verifier) {
			v.StartUnanswered(v.StartSent(at(time.Second)), at(2*time.Second))
			v.Listed(at(2*time.Second), reading(2100*time.Millisecond), at(2200*time.Millisecond))
		}, false},
		{"start not answered, listed since", func(v *incarnationverifier.Verifier) {
			v.StartUnanswered(v.StartSent(at(time.Second)), at(2*time.Second))
			v.Listed(at(2100*time.Millisecond), reading(2200*time.Millisecond), at(2300*time.Millisecond))
		}, true},
		{"listed while a start awaits its answer", func(v *incarnationverifier.Verifier) {
			v.StartSent(at(time.Second))
			v.Listed(at(1100*time.Millisecond), reading(1200*time.Millisecond), at(1300*time.Millisecond))
		}, false},
		{"answers overtake each other", func(v *incarnationverifier.Verifier) {
			first, second := v.StartSent(at(time.Second)), v.StartSent(at(1001*time.Millisecond))
			v.StartAnswered(second, reading(1010*time.Millisecond), at(1020*time.Millisecond))
			v.StartAnswered(first, reading(1005*time.Millisecond), at(1030*time.Millisecond))
		}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			var v incarnationverifier.Verifier
			v.Listed(began.Add(-10*time.Millisecond), reading(-5*time.Millisecond), began)
			test.play(&v)
			if got := v.MayAcknowledge(); got != test.want {
				t.Errorf("got %t, want %t", got, test.want)
			}
		})
	}
}
