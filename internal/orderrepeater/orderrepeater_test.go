package orderrepeater_test

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"dotterelpost.example/dotterelpost/internal/orderrepeater"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

// scriptedWorker answers copy i of an order with answers[i]; errLost means that it doesn't answer, errNoConnection
// that no connection is established within 600 ms.
type scriptedWorker struct {
	acknowledged []int64
	mu           sync.Mutex
	answers      []error
	sent         []time.Duration
	began        time.Time
}

var (
	errLost         = errors.New("lost")
	errNoConnection = errors.New("no connection")
)

func (w *scriptedWorker) answer(ctx context.Context) error {
	w.mu.Lock()
	i := len(w.sent)
	w.sent = append(w.sent, time.Since(w.began))
	w.mu.Unlock()
	if i >= len(w.answers) {
		return nil
	}
	if errors.Is(w.answers[i], errLost) {
		<-ctx.Done()
		return &workerdriver.InDoubtError{Err: ctx.Err()}
	}
	if errors.Is(w.answers[i], errNoConnection) {
		select {
		case <-time.After(600 * time.Millisecond):
		case <-ctx.Done():
		}
		return &workerdriver.InDoubtError{NeverSent: true, Err: errNoConnection}
	}
	return w.answers[i]
}

func (w *scriptedWorker) Start(ctx context.Context, _ *workerdriver.Worker, _ *workerdriver.Start) (workerdriver.ReplyHeader, error) {
	return workerdriver.ReplyHeader{}, w.answer(ctx)
}

func (w *scriptedWorker) Stop(ctx context.Context, _ *workerdriver.Worker, _ workerdriver.Stop) (workerdriver.ReplyHeader, error) {
	return workerdriver.ReplyHeader{}, w.answer(ctx)
}

func (w *scriptedWorker) Sync(ctx context.Context, _ *workerdriver.Worker, order workerdriver.Sync) (workerdriver.SyncReply, error) {
	w.mu.Lock()
	w.acknowledged = append(w.acknowledged, order.AckedSequence)
	w.mu.Unlock()
	<-time.After(order.MaxWait)
	return workerdriver.SyncReply{}, w.answer(ctx)
}

func (w *scriptedWorker) Throttle(ctx context.Context, _ *workerdriver.Worker, _ workerdriver.Throttle) error {
	return w.answer(ctx)
}

type discardMetrics struct{}

func (discardMetrics) OrderRepeated(string) {}

func TestRepeatedStart(t *testing.T) {
	refused := func(reason workerdriver.Reason) error { return &workerdriver.RefusedError{Reason: reason} }
	neverSent := error(&workerdriver.InDoubtError{NeverSent: true})
	for _, test := range []struct {
		name       string
		answers    []error
		copies     int
		unanswered bool
		// refusal is the reason of a refused order; inDoubt is set if the order is in doubt.
		refusal            workerdriver.Reason
		inDoubt, neverSent bool
	}{
		{name: "answered", copies: 1},
		{name: "first copy lost", answers: []error{errLost}, copies: 2, unanswered: true},
		{name: "two copies lost", answers: []error{errLost, errLost}, copies: 3, unanswered: true},
		{name: "all copies lost", answers: []error{errLost, errLost, errLost}, copies: 3, inDoubt: true},
		{name: "refused", answers: []error{refused(workerdriver.StaleRun)}, copies: 1, refusal: workerdriver.StaleRun},
		{name: "repeat refused after the run has ended", answers: []error{errLost, refused(workerdriver.StaleRun)}, copies: 2, inDoubt: true},
		{name: "repeat refused for lack of capacity", answers: []error{errLost, refused(workerdriver.InsufficientCapacity)}, copies: 2, inDoubt: true},
		{name: "repeat refused by a fencing token", answers: []error{errLost, refused(workerdriver.StaleFencingToken)}, copies: 2, refusal: workerdriver.StaleFencingToken},
		{name: "never sent", answers: []error{neverSent}, copies: 1, inDoubt: true, neverSent: true},
		{name: "no connection", answers: []error{errNoConnection, errNoConnection, errNoConnection}, copies: 3, inDoubt: true, neverSent: true},
		{name: "no connection for the first copy only", answers: []error{errNoConnection, errLost}, copies: 3, unanswered: true},
		{name: "repeat never sent", answers: []error{errLost, neverSent, errLost}, copies: 3, inDoubt: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				worker := &scriptedWorker{answers: test.answers, began: time.Now()}
				client := orderrepeater.New(orderrepeater.Dependencies{Workers: worker, Clock: clockwork.NewRealClock(), Log: slog.New(slog.DiscardHandler), Metrics: discardMetrics{}})
				header, err := client.Start(t.Context(), &workerdriver.Worker{}, &workerdriver.Start{})
				var refused *workerdriver.RefusedError
				var inDoubt *workerdriver.InDoubtError
				isRefused, isInDoubt := errors.As(err, &refused), errors.As(err, &inDoubt)
				if len(worker.sent) != test.copies || header.Unanswered != test.unanswered || isRefused != (test.refusal != "") || isInDoubt != test.inDoubt {
					t.Errorf("sent at %v, unanswered %v, error %v", worker.sent, header.Unanswered, err)
				}
				if isRefused && refused.Reason != test.refusal || isInDoubt && inDoubt.NeverSent != test.neverSent {
					t.Errorf("error %v", err)
				}
			})
		})
	}
}

func TestThrottleIsNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &scriptedWorker{answers: []error{errLost}, began: time.Now()}
		client := orderrepeater.New(orderrepeater.Dependencies{Workers: worker, Clock: clockwork.NewRealClock(), Log: slog.New(slog.DiscardHandler), Metrics: discardMetrics{}})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := client.Throttle(ctx, &workerdriver.Worker{}, workerdriver.Throttle{}); err == nil || len(worker.sent) != 1 {
			t.Errorf("sent at %v, error %v", worker.sent, err)
		}
	})
}

// TestLostSyncIsRepeatedSoon: the first lost sync is repeated once its wait is over, later ones wait less.
func TestLostSyncIsRepeatedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &scriptedWorker{answers: []error{errLost, nil, errLost}, began: time.Now()}
		client := orderrepeater.New(orderrepeater.Dependencies{Workers: worker, Clock: clockwork.NewRealClock(), Log: slog.New(slog.DiscardHandler), Metrics: discardMetrics{}})
		for range 2 {
			if _, err := client.Sync(t.Context(), &workerdriver.Worker{}, workerdriver.Sync{MaxWait: 2 * time.Second}); err != nil {
				t.Error(err)
			}
		}
		if len(worker.sent) < 4 || worker.sent[1] > 2500*time.Millisecond || worker.sent[3]-worker.sent[1] > time.Second {
			t.Errorf("copies were sent at %v", worker.sent)
		}
	})
}

// TestRefusalOfRepeatedSyncIsPassedOn: that another worker answers at the address proves that the runs are over.
func TestRefusalOfRepeatedSyncIsPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &scriptedWorker{answers: []error{errLost, &workerdriver.RefusedError{Reason: workerdriver.WrongIncarnation}}, began: time.Now()}
		client := orderrepeater.New(orderrepeater.Dependencies{Workers: worker, Clock: clockwork.NewRealClock(), Log: slog.New(slog.DiscardHandler), Metrics: discardMetrics{}})
		_, err := client.Sync(t.Context(), &workerdriver.Worker{}, workerdriver.Sync{})
		var refused *workerdriver.RefusedError
		if !errors.As(err, &refused) || refused.Reason != workerdriver.WrongIncarnation {
			t.Errorf("error %v", err)
		}
	})
}

// TestOnlyFirstPartOfSyncAcknowledgesEnds: while orders are lost, a sync is sent in parts. The worker may restart between
// two of them, and its new incarnation would discard ends that it has not listed.
func TestOnlyFirstPartOfSyncAcknowledgesEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &scriptedWorker{answers: []error{errLost}, began: time.Now()}
		client := orderrepeater.New(orderrepeater.Dependencies{Workers: worker, Clock: clockwork.NewRealClock(), Log: slog.New(slog.DiscardHandler), Metrics: discardMetrics{}})
		for range 2 {
			if _, err := client.Sync(t.Context(), &workerdriver.Worker{}, workerdriver.Sync{MaxWait: time.Second, AckedSequence: 7}); err != nil {
				t.Error(err)
			}
		}
		// The first sync is sent twice, the second in parts.
		if len(worker.acknowledged) < 4 || worker.acknowledged[0] != 7 || worker.acknowledged[2] != 7 {
			t.Fatalf("acknowledged %v", worker.acknowledged)
		}
		for _, number := range worker.acknowledged[3:] {
			if number != 0 {
				t.Errorf("acknowledged %v", worker.acknowledged)
			}
		}
	})
}
