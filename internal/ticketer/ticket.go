package ticketer

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"dotterelpost.example/dotterelpost/internal/modeler"
)

// Ticket is one numbered change. After is the number of the ticket that was in force when the author
// wrote this one; if it is accepted, its own number is After + 1.
type Ticket struct {
	After  int64  `json:"after"`
	Author string `json:"author"`
	Reason string `json:"reason"`
	Objects
}

// Objects holds complete objects by kind: in a Ticket those that it adds or replaces, in a State all
// that exist.
type Objects struct {
	Partitions []Partition `json:"partitions,omitempty"`
	Pools      []Pool      `json:"pools,omitempty"`
	Policies   []Policy    `json:"policies,omitempty"`
	Limits     []Limit     `json:"limits,omitempty"`
	Contracts  []Contract  `json:"contracts,omitempty"`
	Table      *Table      `json:"table,omitempty"`
}

// Table limits the rate at which all instances together write to the table service.
type Table struct {
	WritesPerSecond int `json:"writes-per-second"`
}

// defaultWritesPerSecond leaves the platform's other users part of the several hundred writes per
// second that the table service accepts.
const defaultWritesPerSecond = 240

// WriteBudget returns the number of table writes per second allowed for all instances together.
func (s *State) WriteBudget() int {
	if s.Table == nil {
		return defaultWritesPerSecond
	}
	return s.Table.WritesPerSecond
}

// Partition is a set of racks of one region that is owned by one instance at a time.
type Partition struct {
	Name   string   `json:"name"`
	Region string   `json:"region"`
	Racks  []string `json:"racks"`
}

// Pool is a set of racks that policies refer to.
type Pool struct {
	Name  string   `json:"name"`
	Racks []string `json:"racks"`
}

// Policy defines for the jobs of a team and class the pools in which they may run, how long their queue
// may grow, how their tasks are spread and how often a start is attempted. A gang waits for
// GangReservationDelay before resources are reserved for it.
type Policy struct {
	Team                 string           `json:"team"`
	Class                modeler.Class    `json:"class"`
	Pools                []string         `json:"pools"`
	QueueLimit           int              `json:"queue-limit"`
	Spread               modeler.Spread   `json:"spread,omitempty"`
	GangReservationDelay modeler.Duration `json:"gang-patience,omitempty"`
	MaxStartAttempts     int              `json:"max-start-attempts,omitempty"`
}

// Limit is a team's quota, which applies to each partition separately. It serves as the weight of the
// fair-share order: the team whose dominant share is the smallest fraction of its quota comes first.
type Limit struct {
	Team  string            `json:"team"`
	Quota modeler.Resources `json:"quota"`
}

// Contract is the agreement with a caller: the team that it belongs to, the region that handles its
// jobs and the number of its requests that may be in flight.
type Contract struct {
	Caller           string `json:"caller"`
	Team             string `json:"team"`
	HomeRegion       string `json:"home-region"`
	RequestsInFlight int    `json:"requests-in-flight"`
}

// State is the result of applying all tickets up to Number. It is shared between goroutines and
// immutable.
type State struct {
	Number     int64     `json:"number"`
	Author     string    `json:"author,omitempty"`
	Reason     string    `json:"reason,omitempty"`
	AcceptedAt time.Time `json:"accepted-at,omitzero"`
	Objects
}

// Apply returns the state that results from the ticket. Each object in the ticket replaces the one of
// the same name as a whole.
func (s *State) Apply(ticket Ticket, at time.Time) *State {
	next := &State{
		Number:     s.Number + 1,
		Author:     ticket.Author,
		Reason:     ticket.Reason,
		AcceptedAt: at,
	}
	next.Partitions = mergePartitions(s.Partitions, ticket.Partitions)
	next.Pools = mergePools(s.Pools, ticket.Pools)
	next.Policies = mergePolicies(s.Policies, ticket.Policies)
	next.Limits = mergeLimits(s.Limits, ticket.Limits)
	next.Contracts = mergeContracts(s.Contracts, ticket.Contracts)
	next.Table = s.Table
	if ticket.Table != nil {
		next.Table = ticket.Table
	}
	return next
}

// Each merge function keeps the old objects that are not replaced, adds the updates and sorts by name,
// so that equal states have equal encodings.

func mergePartitions(old, updates []Partition) []Partition {
	isReplaced := func(o Partition) bool {
		return slices.ContainsFunc(updates, func(n Partition) bool { return n.Name == o.Name })
	}
	merged := append(slices.DeleteFunc(slices.Clone(old), isReplaced), updates...)
	slices.SortFunc(merged, func(a, b Partition) int { return strings.Compare(a.Name, b.Name) })
	return merged
}

func mergePools(old, updates []Pool) []Pool {
	isReplaced := func(o Pool) bool {
		return slices.ContainsFunc(updates, func(n Pool) bool { return n.Name == o.Name })
	}
	merged := append(slices.DeleteFunc(slices.Clone(old), isReplaced), updates...)
	slices.SortFunc(merged, func(a, b Pool) int { return strings.Compare(a.Name, b.Name) })
	return merged
}

// mergePolicies identifies policies by team and class.
func mergePolicies(old, updates []Policy) []Policy {
	isReplaced := func(o Policy) bool {
		return slices.ContainsFunc(updates, func(n Policy) bool { return n.Team == o.Team && n.Class == o.Class })
	}
	merged := append(slices.DeleteFunc(slices.Clone(old), isReplaced), updates...)
	slices.SortFunc(merged, func(a, b Policy) int {
		return cmp.Or(strings.Compare(a.Team, b.Team), strings.Compare(string(a.Class), string(b.Class)))
	})
	return merged
}

func mergeLimits(old, updates []Limit) []Limit {
	isReplaced := func(o Limit) bool {
		return slices.ContainsFunc(updates, func(n Limit) bool { return n.Team == o.Team })
	}
	merged := append(slices.DeleteFunc(slices.Clone(old), isReplaced), updates...)
	slices.SortFunc(merged, func(a, b Limit) int { return strings.Compare(a.Team, b.Team) })
	return merged
}

func mergeContracts(old, updates []Contract) []Contract {
	isReplaced := func(o Contract) bool {
		return slices.ContainsFunc(updates, func(n Contract) bool { return n.Caller == o.Caller })
	}
	merged := append(slices.DeleteFunc(slices.Clone(old), isReplaced), updates...)
	slices.SortFunc(merged, func(a, b Contract) int { return strings.Compare(a.Caller, b.Caller) })
	return merged
}

// PolicyOf returns the policy of a team for a class.
func (s *State) PolicyOf(team string, class modeler.Class) (Policy, bool) {
	for _, policy := range s.Policies {
		if policy.Team == team && policy.Class == class {
			return policy, true
		}
	}
	return Policy{}, false
}

// QuotaOf returns the quota of a team, which is zero for a team without a limit.
func (s *State) QuotaOf(team string) modeler.Resources {
	for _, limit := range s.Limits {
		if limit.Team == team {
			return limit.Quota
		}
	}
	return modeler.Resources{}
}

// ContractOf returns the contract of a caller.
func (s *State) ContractOf(caller string) (Contract, bool) {
	for _, contract := range s.Contracts {
		if contract.Caller == caller {
			return contract, true
		}
	}
	return Contract{}, false
}

// PoolOf returns the name of the pool that a rack belongs to.
func (s *State) PoolOf(rack string) (string, bool) {
	for _, pool := range s.Pools {
		for _, member := range pool.Racks {
			if member == rack {
				return pool.Name, true
			}
		}
	}
	return "", false
}

// PartitionNamed returns the partition with the given name.
func (s *State) PartitionNamed(name string) (Partition, bool) {
	for _, partition := range s.Partitions {
		if partition.Name == name {
			return partition, true
		}
	}
	return Partition{}, false
}

// PartitionsIn returns the sorted names of the partitions of a region.
func (s *State) PartitionsIn(region string) []string {
	var names []string
	for _, partition := range s.Partitions {
		if partition.Region == region {
			names = append(names, partition.Name)
		}
	}
	return names
}
