package partitionscheduler

import "time"

// forecast estimates how long a quick request would wait for a slot, from how many ended a second
// while others were waiting. Only then does the number of ends show what the slots can do.
type forecast struct {
	ended int
	rate  float64
	busy  bool
}

// smoothing is the weight of the last second in the rate.
const smoothing = 0.5

// doubt is how many deadlines the estimated wait has to exceed before a request is turned away. An
// estimate that is off by a little must not turn away what could have been served.
const doubt = 1.25

// tick takes the ends of the last second, with so many requests waiting now.
func (f *forecast) tick(queued int) {
	if f.busy && queued > 0 {
		if f.rate == 0 {
			f.rate = float64(f.ended)
		}
		f.rate += smoothing * (float64(f.ended) - f.rate)
	}
	f.busy = queued > 0
	f.ended = 0
}

// isHopeless tells whether a request behind so many others will miss its deadline.
func (f *forecast) isHopeless(queued int, deadline time.Duration) bool {
	if !f.busy || f.rate < 1 || deadline == 0 {
		return false
	}
	wait := time.Duration(float64(queued) / f.rate * float64(time.Second))
	return wait.Seconds() > doubt*deadline.Seconds()
}
