package elector_test

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/internal/connector"
	"dotterelpost.example/dotterelpost/internal/elector"
)

// table is a store with one row that supports compare-and-set.
type table struct {
	row     connector.Row
	version int64
}

func (t *table) Transact(_ context.Context, transaction connector.Transaction) (connector.Outcome, error) {
	if condition := transaction.Preconditions[0]; condition.Version != t.row.Version {
		return connector.Outcome{Conflicts: []connector.Row{t.row}}, nil
	}
	t.version++
	t.row = connector.Row{Key: transaction.Puts[0].Key, Value: transaction.Puts[0].Value, Version: t.version}
	return connector.Outcome{Committed: true, Version: t.version}, nil
}

func (t *table) Read(context.Context, ...string) (map[string]connector.Row, error) {
	return map[string]connector.Row{t.row.Key: t.row}, nil
}

func TestSecondClaimConflictsAndFencingTokensGrow(t *testing.T) {
	rows := &table{}
	vacant := elector.Ownership{Cell: "c"}
	first, err := elector.Claim(t.Context(), rows, elector.Claimant{Incarnation: "a"}, vacant)
	if err != nil || first.FencingToken != elector.TokensPerOwner || !first.HadNoPreviousOwner() {
		t.Fatalf("claimed %+v, %v", first, err)
	}
	var conflict *elector.ClaimConflictError
	if _, err := elector.Claim(t.Context(), rows, elector.Claimant{Incarnation: "b"}, vacant); !errors.As(err, &conflict) || conflict.Current.Owner != "a" {
		t.Errorf("second claim: got error %v, want ClaimConflictError with owner a", err)
	}
	released, err := elector.Release(t.Context(), rows, first)
	if err != nil || released.Owner != "" || released.FencingToken != elector.TokensPerOwner {
		t.Errorf("released %+v, %v", released, err)
	}
	second, err := elector.Claim(t.Context(), rows, elector.Claimant{Incarnation: "b", Region: "r", Mesh: netip.MustParseAddrPort("10.0.0.1:7")}, released)
	if err != nil || second.FencingToken != first.LastToken()+1 || second.HadNoPreviousOwner() {
		t.Errorf("claimed %+v, %v", second, err)
	}
	if read, err := elector.ParseOwnership("c", rows.row); err != nil || read != second {
		t.Errorf("read %+v, %v; want %+v", read, err, second)
	}
}

func TestRankCandidates(t *testing.T) {
	at := time.Unix(1_000_000, 0)
	ms := time.Millisecond
	candidates := []elector.Candidate{
		{Name: "far-young", Started: at.Add(time.Hour), RoundTrip: 70 * ms, StoreAnsweredRecently: true},
		{Name: "near-old", Started: at, RoundTrip: 8 * ms},
		{Name: "near-young", Started: at.Add(time.Minute), RoundTrip: 12 * ms},
		{Name: "slow", Started: at.Add(2 * time.Hour), RoundTrip: ms, Slow: true},
		{Name: "leaving", Started: at.Add(2 * time.Hour), RoundTrip: ms, Leaving: true},
		{Name: "unreachable", Started: at.Add(2 * time.Hour), RoundTrip: ms, StoreUnreachable: true},
	}
	var names []string
	for _, candidate := range elector.RankCandidates(candidates) {
		names = append(names, candidate.Name)
	}
	if got := fmt.Sprint(names); got != "[near-young near-old far-young slow]" {
		t.Errorf("order %s", got)
	}
	if delay, found := elector.ClaimDelay(candidates, "far-young"); !found || delay != 2*elector.StaggerDelay {
		t.Errorf("delay %s, %t", delay, found)
	}
	if _, found := elector.ClaimDelay(candidates, "leaving"); found {
		t.Error("a leaving instance is an eligible candidate")
	}
	if !candidates[3].ShouldEvacuateTo(candidates[0]) || candidates[0].ShouldEvacuateTo(candidates[1]) {
		t.Error("a slow owner should evacuate its cell, one that is not slow should not")
	}
	if candidates[3].ShouldEvacuateTo(candidates[1]) {
		t.Error("a cell should not be evacuated to an instance that the store has not answered recently")
	}
	if !candidates[0].ShouldMoveTo(candidates[1]) || candidates[1].ShouldMoveTo(candidates[0]) || candidates[2].ShouldMoveTo(candidates[1]) {
		t.Error("only the owner far from the store should hand its cell off")
	}
}

// TestLargerMachinesRankFirst checks that machine size outweighs the distance to the store:
// scheduling for many workers takes more processor time than a small machine has.
func TestLargerMachinesRankFirst(t *testing.T) {
	ms := time.Millisecond
	small := elector.Candidate{Name: "small", RoundTrip: 8 * ms, Processors: 192}
	largeFar := elector.Candidate{Name: "large-far", RoundTrip: 70 * ms, Processors: 800}
	largeNear := elector.Candidate{Name: "large-near", RoundTrip: 8 * ms, Processors: 900}
	if order := elector.RankCandidates([]elector.Candidate{small, largeFar, largeNear}); order[0].Name != "large-near" || order[1].Name != "large-far" {
		t.Errorf("order %s, %s, %s", order[0].Name, order[1].Name, order[2].Name)
	}
	if !small.ShouldMoveTo(largeFar) || largeFar.ShouldMoveTo(small) || !largeFar.ShouldMoveTo(largeNear) || largeNear.ShouldMoveTo(largeFar) {
		t.Error("a cell should move from a small machine to a large one, and from a far machine to a near one of the same size")
	}
}
