package fencer

import "time"

// Mode determines how workers are kept from following two owners at once.
type Mode interface {
	// LeaseEnd returns the end of a task lease of the given length that is granted now by an owner
	// whose partition lease ends at ownedUntil.
	LeaseEnd(now, ownedUntil time.Time, length time.Duration) time.Time
	// FenceDelay returns how long a new owner must wait before it fences the workers.
	// predecessorAgreed is set if the predecessor handed the partition over.
	FenceDelay(predecessorAgreed bool) time.Duration
}

// CompareEpochs is the mode for workers that compare epochs. Because such workers reject an old
// owner, task leases may outlive a table outage.
type CompareEpochs struct{}

// LeaseEnd grants the full length.
func (CompareEpochs) LeaseEnd(now, _ time.Time, length time.Duration) time.Time {
	return now.Add(length)
}

// FenceDelay returns zero, because fencing a worker takes effect at once.
func (CompareEpochs) FenceDelay(bool) time.Duration { return 0 }

// WaitForLeaseExpiry is the mode for workers that only know when a lease ends.
type WaitForLeaseExpiry struct {
	// ClockBound is the maximum difference between the clocks of two machines.
	ClockBound time.Duration
}

// LeaseEnd returns at most ownedUntil, because no other instance takes over before that time.
func (m WaitForLeaseExpiry) LeaseEnd(now, ownedUntil time.Time, length time.Duration) time.Time {
	end := now.Add(length)
	if ownedUntil.Before(end) {
		return ownedUntil
	}
	return end
}

// FenceDelay returns the clock bound. There is no need to wait for the lease itself, because a
// take-over starts only after the partition lease was seen to be unrenewed for its whole length. If
// the predecessor agreed, the delay is zero, because it has stopped granting leases.
func (m WaitForLeaseExpiry) FenceDelay(predecessorAgreed bool) time.Duration {
	if predecessorAgreed {
		return 0
	}
	return m.ClockBound
}
