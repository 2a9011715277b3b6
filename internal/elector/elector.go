// Package elector elects the owner of a cell by a compare-and-set on one row of the store, the
// owner row.
//
// # Usage
//
//	ownership, err := elector.ParseOwnership(cell, row)
//	if delay, found := elector.ClaimDelay(candidates, name); found && ownerFailedFor >= delay {
//		ownership, err = elector.Claim(ctx, table, claimant, ownership)
//	}
//
// Ownership has no lease. An instance that has not heard from an owner within the heartbeat timeout
// may replace it at once: the store refuses the writes of the old owner, and workers refuse its
// orders as soon as they have seen the new fencing token. Replacing an owner that is still alive
// therefore costs a failover and nothing else.
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

// Table is the part of the store interface that this package uses.
type Table interface {
	Transact(ctx context.Context, transaction connector.Transaction) (connector.Outcome, error)
	Read(ctx context.Context, keys ...string) (map[string]connector.Row, error)
}

// Ownership is the content of the owner row of a cell.
type Ownership struct {
	Cell string
	// Owner is the incarnation of the instance that owns the cell, empty if the cell has no owner.
	Owner string
	// Region and Mesh are the owner's region and mesh address. They are kept here because the owner's
	// instance row may be unreachable when this row is not. Mesh is invalid if the cell has no owner.
	Region string
	Mesh   netip.AddrPort
	// FencingToken increases by TokensPerOwner with every claim, by 1 with those of earlier versions; 0 means
	// that the cell never had an owner.
	FencingToken int64
	// Version is the version of the row.
	Version int64
}

// ownerRow is the stored value of an owner row.
type ownerRow struct {
	Owner        string         `json:"holder"`
	FencingToken int64          `json:"fence"`
	Region       string         `json:"region,omitempty"`
	Mesh         netip.AddrPort `json:"mesh,omitzero"`
}

// Claimant is an instance that claims a cell.
type Claimant struct {
	Incarnation string
	Region      string
	Mesh        netip.AddrPort
}

// TokensPerOwner is how many fencing tokens belong to one claim: that of the claim and those after it. The
// owner uses a higher one for each incarnation of a worker, so that orders for the one before are refused.
const TokensPerOwner = 1 << 20

// HadNoPreviousOwner reports whether the claim with the fencing token was the first one of the cell.
func (o Ownership) HadNoPreviousOwner() bool { return o.FencingToken <= TokensPerOwner }

// LastToken returns the highest fencing token that the owner may use.
func (o Ownership) LastToken() int64 { return o.FencingToken + TokensPerOwner - 1 }

// OwnersTable is the table of the owner rows. Each is in the same part of the store as the cell's
// other rows.
const OwnersTable = "owners"

// OwnerKey returns the key of the owner row of a cell.
func OwnerKey(cell string) string { return OwnersTable + "/" + cell + "/owner" }

// ParseOwnership decodes the owner row of a cell.
func ParseOwnership(cell string, stored connector.Row) (Ownership, error) {
	ownership := Ownership{Cell: cell, Version: stored.Version}
	if stored.Version == 0 {
		return ownership, nil
	}
	var value ownerRow
	if err := json.Unmarshal(stored.Value, &value); err != nil {
		return ownership, errors.Wrap(err, "decode "+stored.Key)
	}
	return ownership.withRow(value), nil
}

func (o Ownership) withRow(value ownerRow) Ownership {
	o.Owner, o.FencingToken, o.Region, o.Mesh = value.Owner, value.FencingToken, value.Region, value.Mesh
	return o
}

// ClaimConflictError reports that the owner row has changed since it was read. Current is its
// content.
type ClaimConflictError struct {
	Current Ownership
}

func (e *ClaimConflictError) Error() string {
	return "cell " + e.Current.Cell + " is owned by " + e.Current.Owner
}

// Claim makes an instance the owner in place of the known one. The error is a *ClaimConflictError
// if the row has changed. After any other error the outcome of the claim is unknown until the row
// is read.
func Claim(ctx context.Context, table Table, claimant Claimant, known Ownership) (Ownership, error) {
	return writeOwner(ctx, table, known, ownerRow{Owner: claimant.Incarnation, FencingToken: known.FencingToken + TokensPerOwner, Region: claimant.Region, Mesh: claimant.Mesh})
}

// Release leaves a cell without an owner. The row keeps the fencing token, so that the next owner's
// token is higher.
func Release(ctx context.Context, table Table, known Ownership) (Ownership, error) {
	return writeOwner(ctx, table, known, ownerRow{FencingToken: known.FencingToken})
}

func writeOwner(ctx context.Context, table Table, known Ownership, value ownerRow) (Ownership, error) {
	text, err := json.Marshal(value)
	if err != nil {
		return known, errors.Wrap(err, "encode owner row")
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
		return Ownership{Cell: known.Cell, Version: outcome.Version}.withRow(value), nil
	}
	for _, conflict := range outcome.Conflicts {
		if current, err := ParseOwnership(known.Cell, conflict); err == nil {
			return current, &ClaimConflictError{Current: current}
		}
	}
	return known, &ClaimConflictError{Current: known}
}

// Candidate is an instance that could own a cell.
type Candidate struct {
	Name string
	// Started is when the instance's process started.
	Started time.Time
	Leaving bool
	// StoreUnreachable reports that the store does not answer the instance directly.
	StoreUnreachable bool
	// StoreAnsweredRecently reports that the store has recently answered the instance directly. If
	// neither this nor StoreUnreachable is set, it is unknown whether the instance can reach the
	// store.
	StoreAnsweredRecently bool
	// Slow reports that the machine is several times slower than it was before.
	Slow bool
	// RoundTrip is the round-trip time from the instance to the store, 0 if unknown.
	RoundTrip time.Duration
	// Processors is the number of processors of the machine, 0 if unknown.
	Processors modeler.Processors
}

// sizeClass groups machines by their number of processors in powers of two: smaller differences
// matter less than the round-trip time to the store.
func (c *Candidate) sizeClass() int { return bits.Len(uint(max(0, c.Processors))) }

// roundTripTolerance is the difference in round-trip times that is ignored: within a region they
// differ by less, between regions by more. Larger differences matter because an owner waits for the
// store three times for each short job.
const roundTripTolerance = 25 * time.Millisecond

// degradedRoundTrip is the round-trip time from which the store itself is degraded for all
// instances, so that moving a cell does not help.
const degradedRoundTrip = 100 * time.Millisecond

// distanceClass groups instances by their round-trip time to the store.
func (c *Candidate) distanceClass() int { return int(c.RoundTrip / roundTripTolerance) }

// ShouldMoveTo reports whether an owner should hand a cell off to a candidate: the candidate's
// machine is larger, or is of the same size class and nearer to the store.
func (c *Candidate) ShouldMoveTo(other Candidate) bool {
	if other.Slow || other.StoreUnreachable || other.Leaving || other.RoundTrip <= 0 || other.RoundTrip >= degradedRoundTrip {
		return false
	}
	if other.sizeClass() != c.sizeClass() {
		return other.sizeClass() > c.sizeClass()
	}
	return c.RoundTrip > other.RoundTrip+roundTripTolerance
}

// ShouldEvacuateTo reports whether an owner on a slow machine should hand a cell off to a
// candidate. The store must have answered the candidate recently, as no instance can claim a cell
// while the store is down.
func (c *Candidate) ShouldEvacuateTo(other Candidate) bool {
	return c.Slow && other.StoreAnsweredRecently && !other.Slow && !other.StoreUnreachable && !other.Leaving
}

// RankCandidates returns the eligible candidates in the order in which they should claim a cell.
// Machines that are not slow rank before slow ones, then larger before smaller ones, then those
// nearer to the store. Among equals the instance that started last ranks first: in a rolling
// restart it is the least likely to be stopped soon.
func RankCandidates(candidates []Candidate) []Candidate {
	ordered := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return c.Leaving || c.StoreUnreachable })
	slices.SortFunc(ordered, func(a, b Candidate) int {
		return cmp.Or(rankSlow(a)-rankSlow(b), b.sizeClass()-a.sizeClass(), cmp.Compare(a.distanceClass(), b.distanceClass()), b.Started.Compare(a.Started), cmp.Compare(a.Name, b.Name))
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
	// HeartbeatTimeout is how long an owner may send no heartbeat before it is replaced: five
	// heartbeat intervals.
	HeartbeatTimeout = 1250 * time.Millisecond
	// StaggerDelay is the delay between the claims of candidates of consecutive ranks.
	StaggerDelay = 150 * time.Millisecond
)

// ClaimDelay returns how long after the failure of an owner the named candidate claims the cell, or
// false if the instance is not an eligible candidate.
func ClaimDelay(candidates []Candidate, name string) (time.Duration, bool) {
	for i, candidate := range RankCandidates(candidates) {
		if candidate.Name == name {
			return time.Duration(i) * StaggerDelay, true
		}
	}
	return 0, false
}
