package partitionscheduler

import "time"

// forecast estimates how long a quick request would wait for a slot, from how many ended a second
// while others were waiting. Only then does the number of ends show what the slots can do.
type waitEstimator struct {
	ended         int
	endsPerSecond float64
	backlogged    bool
}

// smoothing is the weight of the last second in the rate.
const rateSmoothing = 0.5

// doubt is how many deadlines the estimated wait has to exceed before a request is turned away. An
// estimate that is off by a little must not turn away what could have been served.
const rejectionMargin = 1.25

// tick takes the ends of the last second, with so many requests waiting now.
func (f *waitEstimator) tick(queued int) {
	if f.backlogged && queued > 0 {
		if f.endsPerSecond == 0 {
			f.endsPerSecond = float64(f.ended)
		}
		f.endsPerSecond += rateSmoothing * (float64(f.ended) - f.endsPerSecond)
	}
	f.backlogged = queued > 0
	f.ended = 0
}

// isHopeless tells whether a request behind so many others will miss its deadline.
func (f *waitEstimator) missesDeadline(queued int, deadline time.Duration) bool {
	if !f.backlogged || f.endsPerSecond < 1 || deadline == 0 {
		return false
	}
	wait := time.Duration(float64(queued) / f.endsPerSecond * float64(time.Second))
	return wait.Seconds() > rejectionMargin*deadline.Seconds()
}
