package fencer

import "time"

// Mode is how workers are kept from obeying two owners.
type Mode interface {
	// LeaseEnd returns until when a lease may be granted, now and with an ownership that was last
	// known to hold until ownedUntil.
	LeaseEnd(now, ownedUntil time.Time, length time.Duration) time.Time
	// FenceDelay returns how long a new owner waits before it asks workers for their lists.
	FenceDelay(predecessorAgreed bool) time.Duration
}

// CompareEpochs is the mode for workers that compare epochs. The workers protect against an old
// owner, so leases may outlive a table outage.
type CompareEpochs struct{}

// LeaseEnd grants the full length.
func (CompareEpochs) LeaseEnd(now, _ time.Time, length time.Duration) time.Time {
	return now.Add(length)
}

// Wait is nothing.
func (CompareEpochs) FenceDelay(bool) time.Duration { return 0 }

// WaitForLeaseExpiry is the mode for workers that know only the end of a lease.
type WaitForLeaseExpiry struct {
	// ClockBound is the largest difference between two machines' clocks.
	ClockBound time.Duration
}

// LeaseEnd never passes the end of the ownership: nobody takes over before that.
func (m WaitForLeaseExpiry) LeaseEnd(now, ownedUntil time.Time, length time.Duration) time.Time {
	end := now.Add(length)
	if ownedUntil.Before(end) {
		return ownedUntil
	}
	return end
}

// Wait covers the clocks' difference. The length of a lease is over already, because a take-over
// begins only after the ownership was seen to stand still for as long. A predecessor that agreed
// has stopped granting.
func (m WaitForLeaseExpiry) FenceDelay(predecessorAgreed bool) time.Duration {
	if predecessorAgreed {
		return 0
	}
	return m.ClockBound
}
