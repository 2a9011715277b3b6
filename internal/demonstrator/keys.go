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

// checkKeyHandling checks rare cases: one idempotency key in two concurrent requests, one key reused
// with another body, and a job that fits on no worker. Half of the calls go through another region.
func (d *demo) checkKeyHandling(ctx context.Context, contract ticketer.Contract, home, remote *caller.Client) {
	d.checkConcurrentKey(ctx, contract, home, remote)
	d.checkReusedKey(ctx, contract, remote)
	d.checkUnplaceableJob(ctx, contract, home)
}

func (d *demo) quickJob(number int) (modeler.Job, bool) {
	spec := workloadSpec{name: "key-check", class: modeler.Quick, tasks: 1, needs: resources(0.1, 64*datasize.MB, 0), runDuration: 100 * time.Millisecond, repeatable: true}
	job, err := spec.job(number)
	if err != nil {
		d.recordFailure("build key-check job: %v", err)
	}
	return job, err == nil
}

func (d *demo) checkConcurrentKey(ctx context.Context, contract ticketer.Contract, home, remote *caller.Client) {
	job, ok := d.quickJob(1)
	if !ok {
		return
	}
	r := d.calls.add(contract, "same-key-twice", job, d.cell.clock.Now())
	second := make(chan caller.Answer, 1)
	go func() {
		answer, err := remote.Request(ctx, "same-key-twice", job)
		d.calls.addAnswer(r, answer, err)
		second <- answer
	}()
	answer, err := home.Request(ctx, "same-key-twice", job)
	d.calls.addAnswer(r, answer, err)
	remoteAnswer := <-second
	if err != nil || len(answer.Results) != 1 || len(remoteAnswer.Results) != 1 || answer.Results[0] != remoteAnswer.Results[0] {
		d.recordFailure("two concurrent requests of %s with the same key were answered %+v and %+v (%v)", contract.Caller, answer, remoteAnswer, err)
	}
}

func (d *demo) checkReusedKey(ctx context.Context, contract ticketer.Contract, client *caller.Client) {
	job, ok := d.quickJob(2)
	if !ok {
		return
	}
	_, err := client.Request(ctx, "same-key-twice", job)
	var problem *caller.ProblemError
	if !errors.As(err, &problem) || problem.Problem.Status != http.StatusUnprocessableEntity {
		d.recordFailure("a key that %s reused with another body was not refused with status 422: %v", contract.Caller, err)
	}
}

func (d *demo) checkUnplaceableJob(ctx context.Context, contract ticketer.Contract, client *caller.Client) {
	spec := workloadSpec{name: "impossible", class: modeler.Batch, tasks: 1, needs: resources(100000, 64*datasize.MB, 0), repeatable: true}
	job, err := spec.job(1)
	if err != nil {
		d.recordFailure("build job that fits on no worker: %v", err)
		return
	}
	r := d.calls.add(contract, "impossible", job, d.cell.clock.Now())
	answer, err := client.Submit(ctx, "impossible", job)
	d.calls.addAnswer(r, answer, err)
	if err != nil || answer.State != modeler.NotRun {
		d.recordFailure("a job of %s that fits on no worker was answered %q: %v", contract.Caller, answer.State, err)
	}
}
