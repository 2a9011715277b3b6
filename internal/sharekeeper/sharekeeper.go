// Package sharekeeper decides which jobs lie within the share of the team that sends them, and which
// of the others can be accepted. It does no I/O and reads no clock: the time is passed in.
//
// # Usage
//
//	keeper := sharekeeper.New()
//	if keeper.Peek(team, weight, now) == sharekeeper.Beyond {
//		if decision := pool.Admit(ahead, request, random.Float64()); decision.Refused { … }
//	}
//	standing := keeper.Mark(team, weight, now)
//	…
//	if pool.BeyondMustYield(steps) { … }
//
// A team's share is a number of jobs a second, its weight. Each job is marked once, when it is
// accepted. Jobs within the shares are never refused here. Jobs beyond them use what the others leave:
// they go after all jobs within shares as soon as one of those would be late otherwise, and one whose
// result can't be expected to be useful is refused with a time to come back.
//
// The package is designed for 20 to 2,000 teams that send 300 jobs a second together, of which some
// send up to eight times their share for several seconds.
package sharekeeper

import "time"

// Standing tells whether a job lies within the share of its team.
type Standing int

// The standings of a job. Within is the zero value: where there are no teams, no job is beyond a share.
const (
	Within Standing = iota
	Beyond
)

const (
	// burstDuration is the time whose share a team may use at once after a pause.
	burstDuration = time.Second
	// minBurst is the smallest burst in jobs: a team with any share can use it for a whole job.
	minBurst = 1
)

// bucket is a token bucket: a job within the share takes one token.
type bucket struct {
	tokens    float64
	updatedAt time.Time
}

// Keeper holds what each team has left of its share.
type Keeper struct {
	buckets map[string]*bucket
}

// New returns a keeper. All teams have their whole burst left.
func New() *Keeper { return &Keeper{buckets: make(map[string]*bucket)} }

// burst returns how many jobs a team may send at once.
func burst(weight float64) float64 { return max(minBurst, weight*burstDuration.Seconds()) }

// refill brings the bucket of a team up to date and returns it. A clock that was set back, such as
// that of another owner, costs the team only what its bucket would have gained meanwhile.
func (k *Keeper) refill(team string, weight float64, now time.Time) *bucket {
	b := k.buckets[team]
	if b == nil {
		b = &bucket{tokens: burst(weight), updatedAt: now}
		k.buckets[team] = b
	}
	if elapsed := now.Sub(b.updatedAt); elapsed > 0 {
		b.tokens += weight * elapsed.Seconds()
	}
	b.tokens, b.updatedAt = min(b.tokens, burst(weight)), now
	return b
}

// Peek returns the standing that a job accepted now would have. weight is the team's number of jobs a
// second; all jobs of a team without a weight are beyond its share.
func (k *Keeper) Peek(team string, weight float64, now time.Time) Standing {
	if weight <= 0 || k.refill(team, weight, now).tokens < 1 {
		return Beyond
	}
	return Within
}

// Mark returns the standing of a job that is accepted now, and counts it.
func (k *Keeper) Mark(team string, weight float64, now time.Time) Standing {
	standing := k.Peek(team, weight, now)
	if standing == Within {
		k.buckets[team].tokens--
	}
	return standing
}

// Return takes back the mark of a job within the share that was refused after all.
func (k *Keeper) Return(team string) {
	if b := k.buckets[team]; b != nil {
		b.tokens++
	}
}

// Prune drops the state of teams that are not known any more.
func (k *Keeper) Prune(known func(team string) bool) {
	for team := range k.buckets {
		if !known(team) {
			delete(k.buckets, team)
		}
	}
}
