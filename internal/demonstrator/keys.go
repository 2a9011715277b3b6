package demonstrator

import (
	"context"
	"net/http"
	"time"

	"github.com/c2h5oh/datasize"
	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/ticketer"
	"dotterelpost.example/dotterelpost/pkg/caller"
)

// tryKeys uses keys in ways that only seldom happen: the same one twice at a time, one with
// another body, and work that fits on no worker. Half of the calls go through another region.
func (d *demo) tryKeys(ctx context.Context, contract ticketer.Contract, home, away *caller.Client) {
	d.sameKeyTwice(ctx, contract, home, away)
	d.reusedKey(ctx, contract, away)
	d.impossible(ctx, contract, home)
}

func (d *demo) quickJob(number int) (modeler.Job, bool) {
	k := kind{name: "key-check", class: modeler.Quick, tasks: 1, needs: needs(0.1, 64*datasize.MB, 0), runsFor: 100 * time.Millisecond, repeatable: true}
	job, err := k.job(number)
	if err != nil {
		d.fail("key check: %v", err)
	}
	return job, err == nil
}

func (d *demo) sameKeyTwice(ctx context.Context, contract ticketer.Contract, home, away *caller.Client) {
	job, ok := d.quickJob(1)
	if !ok {
		return
	}
	r := d.ledger.open(contract, "same-key-twice", job, d.cell.clock.Now())
	second := make(chan caller.Answer, 1)
	go func() {
		answer, err := away.Request(ctx, "same-key-twice", job)
		d.ledger.told(r, answer, err)
		second <- answer
	}()
	answer, err := home.Request(ctx, "same-key-twice", job)
	d.ledger.told(r, answer, err)
	other := <-second
	if err != nil || len(answer.Results) != 1 || len(other.Results) != 1 || answer.Results[0] != other.Results[0] {
		d.fail("the same key of %s sent twice got %+v and %+v (%v)", contract.Caller, answer, other, err)
	}
}

func (d *demo) reusedKey(ctx context.Context, contract ticketer.Contract, client *caller.Client) {
	job, ok := d.quickJob(2)
	if !ok {
		return
	}
	_, err := client.Request(ctx, "same-key-twice", job)
	var problem *caller.ProblemError
	if !errors.As(err, &problem) || problem.Problem.Status != http.StatusUnprocessableEntity {
		d.fail("a reused key of %s was not refused with 422: %v", contract.Caller, err)
	}
}

func (d *demo) impossible(ctx context.Context, contract ticketer.Contract, client *caller.Client) {
	k := kind{name: "impossible", class: modeler.Batch, tasks: 1, needs: needs(100000, 64*datasize.MB, 0), repeatable: true}
	job, err := k.job(1)
	if err != nil {
		d.fail("impossible job: %v", err)
		return
	}
	r := d.ledger.open(contract, "impossible", job, d.cell.clock.Now())
	answer, err := client.Submit(ctx, "impossible", job)
	d.ledger.told(r, answer, err)
	if err != nil || answer.State != modeler.NotRun {
		d.fail("a job of %s that fits nowhere was told %q: %v", contract.Caller, answer.State, err)
	}
}
