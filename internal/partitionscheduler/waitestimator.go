package partitionscheduler

import "time"

// waitEstimator estimates how long a quick request would wait for a slot. It uses the number of
// requests that ended per second while others were waiting; without a backlog, that number shows
// the demand and not the throughput of the slots.
type waitEstimator struct {
	endedThisSecond int
	endsPerSecond   float64
	backlogged      bool
}

// rateSmoothing is the weight of the last second in the moving average of the rate.
const rateSmoothing = 0.5

// rejectionMargin is the ratio of estimated wait to deadline above which a request is rejected, so
// that a small error of the estimate does not reject a request that could meet its deadline.
const rejectionMargin = 1.25

// tick updates the estimate once a second. Queued is the number of requests waiting now.
func (e *waitEstimator) tick(queued int) {
	if e.backlogged && queued > 0 {
		if e.endsPerSecond == 0 {
			e.endsPerSecond = float64(e.endedThisSecond)
		}
		e.endsPerSecond += rateSmoothing * (float64(e.endedThisSecond) - e.endsPerSecond)
	}
	e.backlogged = queued > 0
	e.endedThisSecond = 0
}

// missesDeadline reports whether a request with that many others queued ahead of it will miss its
// deadline.
func (e *waitEstimator) missesDeadline(queued int, deadline time.Duration) bool {
	if !e.backlogged || e.endsPerSecond < 1 || deadline == 0 {
		return false
	}
	wait := time.Duration(float64(queued) / e.endsPerSecond * float64(time.Second))
	return wait.Seconds() > rejectionMargin*deadline.Seconds()
}
