package ticketer

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"dotterelpost.example/dotterelpost/internal/modeler"
)

// Ticket is one numbered change. After is the number that its author saw in force; the ticket
// itself becomes the next one.
type Ticket struct {
	After  int64  `json:"after"`
	Author string `json:"author"`
	Reason string `json:"reason"`
	Objects
}

// Objects are whole objects by kind. In a ticket they are what it sets; in a State all there are.
type Objects struct {
	Partitions []Partition `json:"partitions,omitempty"`
	Pools      []Pool      `json:"pools,omitempty"`
	Policies   []Policy    `json:"policies,omitempty"`
	Limits     []Limit     `json:"limits,omitempty"`
	Contracts  []Contract  `json:"contracts,omitempty"`
	Table      *Table      `json:"table,omitempty"`
}

// Table limits what all instances together write to the table service.
type Table struct {
	WritesPerSecond int `json:"writes-per-second"`
}

// defaultWritesPerSecond leaves the platform's other users some of its several hundred writes.
const defaultWritesPerSecond = 240

// WriteBudget returns how many writes a second all instances together may spend.
func (s *State) WriteBudget() int {
	if s.Table == nil {
		return defaultWritesPerSecond
	}
	return s.Table.WritesPerSecond
}

// Partition is a set of racks of one region that has one owner at a time.
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

// Policy says where the work of a team and class may run, and how long a queue of it may grow.
type Policy struct {
	Team             string           `json:"team"`
	Class            modeler.Class    `json:"class"`
	Pools            []string         `json:"pools"`
	QueueLimit       int              `json:"queue-limit"`
	Spread           modeler.Spread   `json:"spread,omitempty"`
	GangPatience     modeler.Duration `json:"gang-patience,omitempty"`
	MaxStartAttempts int              `json:"max-start-attempts,omitempty"`
}

// Limit is a team's quota in each partition's region, as a weight of the fair order: a team is
// served first while its dominant share is the smallest part of its quota.
type Limit struct {
	Team  string            `json:"team"`
	Quota modeler.Resources `json:"quota"`
}

// Contract is what is agreed with a caller.
type Contract struct {
	Caller           string `json:"caller"`
	Team             string `json:"team"`
	HomeRegion       string `json:"home-region"`
	RequestsInFlight int    `json:"requests-in-flight"`
}

// State is the sum of all tickets up to Number. It is shared between goroutines and never changed.
type State struct {
	Number     int64     `json:"number"`
	Author     string    `json:"author,omitempty"`
	Reason     string    `json:"reason,omitempty"`
	AcceptedAt time.Time `json:"accepted-at,omitzero"`
	Objects
}

// Apply returns the state after the ticket: each object that the ticket names is replaced whole.
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

// Each merge keeps the old objects that are not set, adds those that are, and sorts by name, so that
// equal states are equal texts.

func mergePartitions(old, set []Partition) []Partition {
	isSet := func(o Partition) bool {
		return slices.ContainsFunc(set, func(n Partition) bool { return n.Name == o.Name })
	}
	merged := append(slices.DeleteFunc(slices.Clone(old), isSet), set...)
	slices.SortFunc(merged, func(a, b Partition) int { return strings.Compare(a.Name, b.Name) })
	return merged
}

func mergePools(old, set []Pool) []Pool {
	isSet := func(o Pool) bool {
		return slices.ContainsFunc(set, func(n Pool) bool { return n.Name == o.Name })
	}
	merged := append(slices.DeleteFunc(slices.Clone(old), isSet), set...)
	slices.SortFunc(merged, func(a, b Pool) int { return strings.Compare(a.Name, b.Name) })
	return merged
}

// A team has one policy for each class.
func mergePolicies(old, set []Policy) []Policy {
	isSet := func(o Policy) bool {
		return slices.ContainsFunc(set, func(n Policy) bool { return n.Team == o.Team && n.Class == o.Class })
	}
	merged := append(slices.DeleteFunc(slices.Clone(old), isSet), set...)
	slices.SortFunc(merged, func(a, b Policy) int {
		return cmp.Or(strings.Compare(a.Team, b.Team), strings.Compare(string(a.Class), string(b.Class)))
	})
	return merged
}

func mergeLimits(old, set []Limit) []Limit {
	isSet := func(o Limit) bool {
		return slices.ContainsFunc(set, func(n Limit) bool { return n.Team == o.Team })
	}
	merged := append(slices.DeleteFunc(slices.Clone(old), isSet), set...)
	slices.SortFunc(merged, func(a, b Limit) int { return strings.Compare(a.Team, b.Team) })
	return merged
}

func mergeContracts(old, set []Contract) []Contract {
	isSet := func(o Contract) bool {
		return slices.ContainsFunc(set, func(n Contract) bool { return n.Caller == o.Caller })
	}
	merged := append(slices.DeleteFunc(slices.Clone(old), isSet), set...)
	slices.SortFunc(merged, func(a, b Contract) int { return strings.Compare(a.Caller, b.Caller) })
	return merged
}

// PolicyOf returns the policy of a team's class.
func (s *State) PolicyOf(team string, class modeler.Class) (Policy, bool) {
	for _, policy := range s.Policies {
		if policy.Team == team && policy.Class == class {
			return policy, true
		}
	}
	return Policy{}, false
}

// QuotaOf returns the quota of a team; a team without a limit has none.
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

// PartitionNamed returns a partition.
func (s *State) PartitionNamed(name string) (Partition, bool) {
	for _, partition := range s.Partitions {
		if partition.Name == name {
			return partition, true
		}
	}
	return Partition{}, false
}

// PartitionsIn returns the names of the partitions of a region, in order.
func (s *State) PartitionsIn(region string) []string {
	var names []string
	for _, partition := range s.Partitions {
		if partition.Region == region {
			names = append(names, partition.Name)
		}
	}
	return names
}
