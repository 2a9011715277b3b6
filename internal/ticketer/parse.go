package ticketer

import (
	_ "embed"
	"fmt"
	"sync"

	"dotterelpost.example/dotterelpost/internal/validator"
)

//go:embed schema.json
var schemaText string

// schema is compiled on first use. The text is embedded; a test checks that it compiles.
var schema = sync.OnceValues(func() (*validator.Schema, error) {
	return validator.Compile("ticket", schemaText)
})

// Parse decodes a ticket and checks everything that can be checked without the state.
func Parse(file string, text []byte) (Ticket, validator.Faults) {
	var ticket Ticket
	compiled, err := schema()
	if err != nil {
		return ticket, validator.Faults{{File: file, Path: "$", Problem: err.Error(), Remedy: "report this as a bug"}}
	}
	if faults := compiled.Decode(file, text, &ticket); len(faults) > 0 {
		return ticket, faults
	}
	c := checker{file: file}
	c.checkUnique(ticket.Objects)
	return ticket, c.faults
}

// Check returns all faults that prevent the ticket from being applied to the state.
func Check(file string, state *State, ticket Ticket) validator.Faults {
	c := checker{file: file}
	next := state.Apply(ticket, state.AcceptedAt)
	c.checkKeysStay(state, ticket)
	c.checkRacks(next, ticket)
	c.checkReferences(next, ticket)
	return c.faults
}

// checker collects the faults of one ticket.
type checker struct {
	file   string
	faults validator.Faults
}

func (c *checker) add(path, problem, remedy string) {
	c.faults = append(c.faults, validator.Fault{File: c.file, Path: path, Problem: problem, Remedy: remedy})
}

// checkUnique rejects a ticket that contains the same object twice, because it would be ambiguous
// which of the two applies.
func (c *checker) checkUnique(objects Objects) {
	seen := make(map[string]string)
	checkDuplicate := func(kind string, index int, name string) {
		path := fmt.Sprintf("$.%s[%d]", kind, index)
		if first, found := seen[kind+" "+name]; found {
			c.add(path, fmt.Sprintf("%q stands here and at %s", name, first), "keep one of the two")
			return
		}
		seen[kind+" "+name] = path
	}
	for i, object := range objects.Partitions {
		checkDuplicate("partitions", i, object.Name)
	}
	for i, object := range objects.Pools {
		checkDuplicate("pools", i, object.Name)
	}
	for i, object := range objects.Policies {
		checkDuplicate("policies", i, object.Team+" "+string(object.Class))
	}
	for i, object := range objects.Limits {
		checkDuplicate("limits", i, object.Team)
	}
	for i, object := range objects.Contracts {
		checkDuplicate("contracts", i, object.Caller)
	}
}

// checkKeysStay rejects changes that would move job keys to another partition, which is not
// implemented: the job of a moved key could be started in the new partition while it is still running
// in the old one.
func (c *checker) checkKeysStay(state *State, ticket Ticket) {
	for i, object := range ticket.Partitions {
		path := fmt.Sprintf("$.partitions[%d]", i)
		old, found := state.PartitionNamed(object.Name)
		if !found && len(state.PartitionsIn(object.Region)) > 0 {
			c.add(path, fmt.Sprintf("region %q already has partitions", object.Region),
				"partitions can't be added to a region that already has some; add racks to the existing ones")
		}
		if found && old.Region != object.Region {
			c.add(path+".region", "the partition would move to another region", "keep it in region "+old.Region)
		}
		if found {
			c.checkRacksKept(path, old, object)
		}
	}
	for i, object := range ticket.Contracts {
		old, found := state.ContractOf(object.Caller)
		if found && old.HomeRegion != object.HomeRegion {
			c.add(fmt.Sprintf("$.contracts[%d].home-region", i), "the caller's keys would move",
				"keep "+old.HomeRegion+", or make a contract under another caller name")
		}
	}
}

// checkRacksKept rejects the removal of racks from a partition.
func (c *checker) checkRacksKept(path string, old, object Partition) {
	kept := make(map[string]bool, len(object.Racks))
	for _, rack := range object.Racks {
		kept[rack] = true
	}
	for _, rack := range old.Racks {
		if !kept[rack] {
			c.add(path+".racks", fmt.Sprintf("rack %q is missing", rack),
				"racks can't be removed from a partition; remove the rack from its pool instead")
		}
	}
}

// checkRacks checks that each rack is in at most one partition and one pool, and that the racks of the
// ticket's pools are in a partition.
func (c *checker) checkRacks(next *State, ticket Ticket) {
	partitionOf := make(map[string]string)
	for _, partition := range next.Partitions {
		for _, rack := range partition.Racks {
			if other, found := partitionOf[rack]; found && other != partition.Name {
				c.add("$.partitions", fmt.Sprintf("rack %q is in %q and in %q", rack, other, partition.Name),
					"a rack belongs to one partition")
			}
			partitionOf[rack] = partition.Name
		}
	}
	poolOf := make(map[string]string)
	for _, pool := range next.Pools {
		for _, rack := range pool.Racks {
			if other, found := poolOf[rack]; found && other != pool.Name {
				c.add("$.pools", fmt.Sprintf("rack %q is in %q and in %q", rack, other, pool.Name),
					"a rack belongs to one pool; include both pools in the ticket to move it")
			}
			poolOf[rack] = pool.Name
		}
	}
	for i, pool := range ticket.Pools {
		for j, rack := range pool.Racks {
			if _, found := partitionOf[rack]; !found {
				c.add(fmt.Sprintf("$.pools[%d].racks[%d]", i, j), fmt.Sprintf("rack %q is in no partition", rack),
					"add it to a partition of its region in this ticket or an earlier one")
			}
		}
	}
}

// checkReferences checks that the pools, teams and regions that the ticket refers to exist.
func (c *checker) checkReferences(next *State, ticket Ticket) {
	pools := make(map[string]bool)
	for _, pool := range next.Pools {
		pools[pool.Name] = true
	}
	teams := make(map[string]bool)
	for _, policy := range next.Policies {
		teams[policy.Team] = true
	}
	for i, policy := range ticket.Policies {
		for j, name := range policy.Pools {
			if !pools[name] {
				c.add(fmt.Sprintf("$.policies[%d].pools[%d]", i, j), fmt.Sprintf("there is no pool %q", name),
					"name a pool of this ticket or an earlier one")
			}
		}
	}
	for i, contract := range ticket.Contracts {
		if !teams[contract.Team] {
			c.add(fmt.Sprintf("$.contracts[%d].team", i), fmt.Sprintf("team %q has no policy", contract.Team),
				"add a policy for the team")
		}
		if len(next.PartitionsIn(contract.HomeRegion)) == 0 {
			c.add(fmt.Sprintf("$.contracts[%d].home-region", i), fmt.Sprintf("region %q has no partition", contract.HomeRegion),
				"name a region that has one")
		}
	}
}
