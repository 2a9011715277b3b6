// Package elector decides who owns a cell, by a compare-and-set on one row of the store.
//
// # Usage
//
//	ownership, err := elector.Read(row)
//	if elector.Due(view) { ownership, err = elector.Claim(ctx, table, me, ownership) }
//
// There is no lease on ownership. Whoever has not heard of an owner for a while may replace it at
// once: the store refuses the writes of the old one, and workers refuse its orders as soon as they
// have seen the new fence. A wrong suspicion therefore costs a change of owner and nothing else.
package elector

import (
	"cmp"
	"context"
	"encoding/json"
	"math/bits"
	"net/netip"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/internal/connector"
	"dotterelpost.example/dotterelpost/internal/modeler"
)

// Table is what the package needs of the store.
type Table interface {
	Transact(ctx context.Context, transaction connector.Transaction) (connector.Outcome, error)
	Read(ctx context.Context, keys ...string) (map[string]connector.Row, error)
}

// Ownership is what the row of a cell says.
type Ownership struct {
	Cell string
	// Owner is the run of an instance that owns the cell, empty if nobody does.
	Owner string
	// Region and Mesh are how the holder is reached: its own row may be out of reach when this one is
	// not. The address is not valid if nobody holds the cell.
	Region string
	Mesh   netip.AddrPort
	// FencingToken grows with every owner; 0 means that the cell never had one.
	FencingToken int64
	// Version is that of the row.
	Version int64
}

// row is the value of the owner's row.
type row struct {
	Holder string         `json:"holder"`
	Fence  int64          `json:"fence"`
	Region string         `json:"region,omitempty"`
	Mesh   netip.AddrPort `json:"mesh,omitzero"`
}

// Claimant is an instance that claims a cell.
type Claimant struct {
	Incarnation    string
	Region string
	Mesh   netip.AddrPort
}

// OwnersTable is the table of the owners' rows. Each stands in the part of its cell, with all that
// the owner writes.
const OwnersTable = "owners"

// OwnerKey is the owner's row of a cell.
func OwnerKey(cell string) string { return OwnersTable + "/" + cell + "/owner" }

// ParseOwnership reads the row of a cell.
func ParseOwnership(cell string, stored connector.Row) (Ownership, error) {
	ownership := Ownership{Cell: cell, Version: stored.Version}
	if stored.Version == 0 {
		return ownership, nil
	}
	var value row
	if err := json.Unmarshal(stored.Value, &value); err != nil {
		return ownership, errors.Wrap(err, "decode "+stored.Key)
	}
	return ownership.with(value), nil
}

func (o Ownership) with(value row) Ownership {
	o.Owner, o.FencingToken, o.Region, o.Mesh = value.Holder, value.Fence, value.Region, value.Mesh
	return o
}

// ClaimConflictError tells that another instance was faster. Now says who owns the cell.
type ClaimConflictError struct {
	Current Ownership
}

func (e *ClaimConflictError) Error() string { return "cell " + e.Current.Cell + " is owned by " + e.Current.Owner }

// Claim makes an instance the owner in place of the known one. The error is a *LostError if the row
// has changed, and anything else if it is not known what became of the claim; the row tells later.
func Claim(ctx context.Context, table Table, me Claimant, known Ownership) (Ownership, error) {
	return put(ctx, table, known, row{Holder: me.Incarnation, Fence: known.FencingToken + 1, Region: me.Region, Mesh: me.Mesh})
}

// Release leaves a cell without owner. Its fence stays, so that the next one is higher.
func Release(ctx context.Context, table Table, known Ownership) (Ownership, error) {
	return put(ctx, table, known, row{Fence: known.FencingToken})
}

func put(ctx context.Context, table Table, known Ownership, value row) (Ownership, error) {
	text, err := json.Marshal(value)
	if err != nil {
		return known, errors.Wrap(err, "encode owner's row")
	}
	key := OwnerKey(known.Cell)
	outcome, err := table.Transact(ctx, connector.Transaction{
		Preconditions: []connector.Precondition{{Key: key, Version: known.Version}},
		Puts:          []connector.Put{{Key: key, Value: text}},
	})
	if err != nil {
		return known, err
	}
	if outcome.Committed {
		return Ownership{Cell: known.Cell, Version: outcome.Version}.with(value), nil
	}
	for _, conflict := range outcome.Conflicts {
		if now, err := ParseOwnership(known.Cell, conflict); err == nil {
			return now, &ClaimConflictError{Current: now}
		}
	}
	return known, &ClaimConflictError{Current: known}
}

// Candidate is an instance that could own a cell.
type Candidate struct {
	Name string
	// Started is when its process started.
	Started time.Time
	Leaving bool
	// StoreUnreachable tells that the store does not answer it directly.
	StoreUnreachable bool
	// StoreAnsweredRecently tells that the store has answered it directly a moment ago. One that is neither cut nor
	// served is in doubt.
	StoreAnsweredRecently bool
	// Slow tells that its machine is several times slower than it was.
	Slow bool
	// RoundTrip is how long the store takes to answer it, 0 if that is not known.
	RoundTrip time.Duration
	// Processors is what its machine has, 0 if that is not known.
	Processors modeler.Processors
}

// size sorts machines by their processors, in powers of two: smaller differences matter less than the
// way to the store.
func (c *Candidate) size() int { return bits.Len(uint(max(0, c.Processors))) }

// near is the difference of round trips that does not matter: within a region they differ by less,
// between regions by more. An owner waits for the store three times for each quick job.
const near = 25 * time.Millisecond

// slow is the round trip from which the store is in trouble, whoever asks: moving a cell is no help.
const slow = 100 * time.Millisecond

func (c *Candidate) distance() int { return int(c.RoundTrip / near) }

// ShouldMoveTo tells whether an owner should give a cell to a candidate: its machine is larger, or as large and
// nearer to the store.
func (c *Candidate) ShouldMoveTo(other Candidate) bool {
	if other.Slow || other.StoreUnreachable || other.Leaving || other.RoundTrip <= 0 || other.RoundTrip >= slow {
		return false
	}
	if other.size() != c.size() {
		return other.size() > c.size()
	}
	return c.RoundTrip > other.RoundTrip+near
}

// ShouldEvacuateTo tells whether an owner on a slow machine should give a cell to a candidate. While the store
// is down nobody could take it.
func (c *Candidate) ShouldEvacuateTo(other Candidate) bool {
	return c.Slow && other.StoreAnsweredRecently && !other.Slow && !other.StoreUnreachable && !other.Leaving
}

// RankCandidates sorts candidates, the one that should claim first at the front. Slow machines come last. Large
// machines go first, then those near to the store, and among them whoever started last: in a rolling
// restart it is the one that will not be stopped soon.
func RankCandidates(candidates []Candidate) []Candidate {
	ordered := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return c.Leaving || c.StoreUnreachable })
	slices.SortFunc(ordered, func(a, b Candidate) int {
		return cmp.Or(rankSlow(a)-rankSlow(b), b.size()-a.size(), cmp.Compare(a.distance(), b.distance()), b.Started.Compare(a.Started), cmp.Compare(a.Name, b.Name))
	})
	return ordered
}

func rankSlow(c Candidate) int {
	if c.Slow {
		return 1
	}
	return 0
}

const (
	// HeartbeatTimeout is how long an owner may be silent before it is replaced: five heartbeats.
	HeartbeatTimeout = 1250 * time.Millisecond
	// StaggerDelay is how long each candidate waits for the one before it.
	StaggerDelay = 150 * time.Millisecond
)

// ClaimDelay is how long after the loss of an owner a candidate claims. It reports false for an instance
// that is no candidate.
func ClaimDelay(candidates []Candidate, me string) (time.Duration, bool) {
	for i, candidate := range RankCandidates(candidates) {
		if candidate.Name == me {
			return time.Duration(i) * StaggerDelay, true
		}
	}
	return 0, false
}
