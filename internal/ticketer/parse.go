package ticketer

import (
	_ "embed"
	"fmt"
	"sync"

	"dotterelpost.example/dotterelpost/internal/validator"
)

//go:embed schema.json
var schemaText string

// schema is compiled on first use. The text is part of the program: that it compiles is tested.
var schema = sync.OnceValues(func() (*validator.Schema, error) {
	return validator.Compile("ticket", schemaText)
})

// Parse reads a ticket and checks everything that can be checked without the state.
func Parse(file string, text []byte) (Ticket, validator.Faults) {
	var ticket Ticket
	compiled, err := schema()
	if err != nil {
		return ticket, validator.Faults{{File: file, Path: "$", Problem: err.Error(), Remedy: "report this as a bug"}}
	}
	if faults := compiled.Decode(file, text, &ticket); len(faults) > 0 {
		return ticket, faults
	}
	review := review{file: file}
	review.names(ticket.Objects)
	return ticket, review.faults
}

// Check tells every reason why the ticket can't follow the state.
func Check(file string, state *State, ticket Ticket) validator.Faults {
	r := review{file: file}
	next := state.Apply(ticket, state.AcceptedAt)
	r.keysStay(state, ticket)
	r.racks(next, ticket)
	r.references(next, ticket)
	return r.faults
}

// review gathers faults.
type review struct {
	file   string
	faults validator.Faults
}

func (r *review) add(path, wrong, right string) {
	r.faults = append(r.faults, validator.Fault{File: r.file, Path: path, Problem: wrong, Remedy: right})
}

// names refuses an object that stands twice in one ticket: which one would count?
func (r *review) names(objects Objects) {
	seen := make(map[string]string)
	once := func(kind string, number int, name string) {
		path := fmt.Sprintf("$.%s[%d]", kind, number)
		if first, found := seen[kind+" "+name]; found {
			r.add(path, fmt.Sprintf("%q stands here and at %s", name, first), "keep one of the two")
			return
		}
		seen[kind+" "+name] = path
	}
	for i, object := range objects.Partitions {
		once("partitions", i, object.Name)
	}
	for i, object := range objects.Pools {
		once("pools", i, object.Name)
	}
	for i, object := range objects.Policies {
		once("policies", i, object.Team+" "+string(object.Class))
	}
	for i, object := range objects.Limits {
		once("limits", i, object.Team)
	}
	for i, object := range objects.Contracts {
		once("contracts", i, object.Caller)
	}
}

// keysStay refuses what would move keys to another partition. A key that moved could run there
// while its first run goes on here, and moving keys is not built yet.
func (r *review) keysStay(state *State, ticket Ticket) {
	for i, object := range ticket.Partitions {
		path := fmt.Sprintf("$.partitions[%d]", i)
		old, found := state.PartitionNamed(object.Name)
		if !found && len(state.PartitionsIn(object.Region)) > 0 {
			r.add(path, fmt.Sprintf("region %q has its partitions already", object.Region),
				"a region's partitions can't change yet; add racks to those that are there")
		}
		if found && old.Region != object.Region {
			r.add(path+".region", "the partition would move", "keep it in region "+old.Region)
		}
		if found {
			r.racksStay(path, old, object)
		}
	}
	for i, object := range ticket.Contracts {
		old, found := state.ContractOf(object.Caller)
		if found && old.HomeRegion != object.HomeRegion {
			r.add(fmt.Sprintf("$.contracts[%d].home-region", i), "the caller's keys would move",
				"keep "+old.HomeRegion+", or make a contract under another caller name")
		}
	}
}

func (r *review) racksStay(path string, old, object Partition) {
	kept := make(map[string]bool, len(object.Racks))
	for _, rack := range object.Racks {
		kept[rack] = true
	}
	for _, rack := range old.Racks {
		if !kept[rack] {
			r.add(path+".racks", fmt.Sprintf("rack %q is missing", rack),
				"a partition keeps its racks; take the rack out of its pool instead")
		}
	}
}

func (r *review) racks(next *State, ticket Ticket) {
	ownerOf := make(map[string]string)
	for _, partition := range next.Partitions {
		for _, rack := range partition.Racks {
			if other, found := ownerOf[rack]; found && other != partition.Name {
				r.add("$.partitions", fmt.Sprintf("rack %q is in %q and in %q", rack, other, partition.Name),
					"a rack belongs to one partition")
			}
			ownerOf[rack] = partition.Name
		}
	}
	poolOf := make(map[string]string)
	for _, pool := range next.Pools {
		for _, rack := range pool.Racks {
			if other, found := poolOf[rack]; found && other != pool.Name {
				r.add("$.pools", fmt.Sprintf("rack %q is in %q and in %q", rack, other, pool.Name),
					"a rack belongs to one pool; name both pools in the ticket to move it")
			}
			poolOf[rack] = pool.Name
		}
	}
	for i, pool := range ticket.Pools {
		for j, rack := range pool.Racks {
			if _, found := ownerOf[rack]; !found {
				r.add(fmt.Sprintf("$.pools[%d].racks[%d]", i, j), fmt.Sprintf("rack %q is in no partition", rack),
					"add it to a partition of its region in this ticket or an earlier one")
			}
		}
	}
}

func (r *review) references(next *State, ticket Ticket) {
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
				r.add(fmt.Sprintf("$.policies[%d].pools[%d]", i, j), fmt.Sprintf("there is no pool %q", name),
					"name a pool of this ticket or an earlier one")
			}
		}
	}
	for i, contract := range ticket.Contracts {
		if !teams[contract.Team] {
			r.add(fmt.Sprintf("$.contracts[%d].team", i), fmt.Sprintf("team %q has no policy", contract.Team),
				"add a policy for the team")
		}
		if len(next.PartitionsIn(contract.HomeRegion)) == 0 {
			r.add(fmt.Sprintf("$.contracts[%d].home-region", i), fmt.Sprintf("region %q has no partition", contract.HomeRegion),
				"name a region that has one")
		}
	}
}
