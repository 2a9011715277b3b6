package committer

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"dotterelpost.example/dotterelpost/internal/connector"
)

// Table is what the package needs of the table service.
type Table interface {
	Transact(ctx context.Context, transaction connector.Transaction) (connector.Outcome, error)
	Read(ctx context.Context, keys ...string) (map[string]connector.Row, error)
}

const (
	// callTimeout bounds one call to the table.
	callTimeout = 3 * time.Second
	// firstPatience bounds the first sending of a transaction: a table in its usual order takes a
	// twentieth of that, and a connection that has gone silent holds up all that is written. A table
	// that is slow is given patienceFactor times what it takes, and twice as long each time it has
	// not answered.
	firstPatience  = 700 * time.Millisecond
	patienceFactor = 4
)

// InDoubtError tells that it was not found out whether a transaction took effect.
type InDoubtError struct {
	Transaction string
	Err         error
}

func (e *InDoubtError) Error() string {
	return fmt.Sprintf("transaction %s: not known whether it took effect: %v", e.Transaction, e.Err)
}

func (e *InDoubtError) Unwrap() error { return e.Err }

// writerRow is the row that names a writer's last transaction.
type writerRow struct {
	Transaction string `json:"transaction"`
}

// Writer commits transactions one after the other and resolves lost replies.
type Writer struct {
	table Table
	clock clockwork.Clock
	name  string

	// turn holds one token, for the one transaction at a time. It is no mutex: a transaction may
	// take long, and whoever waits for its turn gives up when its context ends.
	turn chan struct{}
	// repeated counts tries after the first one of a transaction.
	repeated atomic.Int64
	count    int64
	version  int64
	// inDoubt is set from a send whose reply was lost until it is known what became of it.
	inDoubt string
	// patience is how long the next sending may take.
	patience time.Duration
}

// NewWriter returns a writer. The name must be new for every run of a process: the writer takes
// for granted that its row is not there yet.
func NewWriter(table Table, name string, clock clockwork.Clock) *Writer {
	return &Writer{table: table, clock: clock, name: name, turn: make(chan struct{}, 1), patience: firstPatience}
}

// Key is the row that the writer puts with each transaction.
func (w *Writer) Key() string { return "writer/" + w.name }

// Retries returns how often a transaction was tried again.
func (w *Writer) Retries() int64 { return w.repeated.Load() }

// Commit sends the transaction until it is known whether it took effect. It gives the transaction
// its id. When ctx ends first the error is an *InDoubtError, or the last refusal if nothing that
// was sent can still take effect.
func (w *Writer) Commit(ctx context.Context, transaction connector.Transaction) (connector.Outcome, error) {
	select {
	case w.turn <- struct{}{}:
	case <-ctx.Done():
		return connector.Outcome{}, errors.Wrap(ctx.Err(), "wait for writer "+w.name)
	}
	defer func() { <-w.turn }()
	w.count++
	transaction.ID = fmt.Sprintf("%s/%d", w.name, w.count)
	if err := w.seal(&transaction); err != nil {
		return connector.Outcome{}, err
	}
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = 20 * time.Millisecond
	delays.MaxInterval = time.Second
	for {
		outcome, err := w.try(ctx, transaction)
		if err == nil {
			return outcome, nil
		}
		select {
		case <-ctx.Done():
			return connector.Outcome{}, w.failure(transaction.ID, err)
		case <-w.clock.After(delays.NextBackOff()):
		}
		w.repeated.Add(1)
	}
}

func (w *Writer) failure(id string, err error) error {
	if w.inDoubt != "" {
		return &InDoubtError{Transaction: id, Err: err}
	}
	return errors.Wrap(err, "commit "+id)
}

func (w *Writer) seal(transaction *connector.Transaction) error {
	value, err := json.Marshal(writerRow{Transaction: transaction.ID})
	if err != nil {
		return errors.Wrap(err, "encode writer row")
	}
	transaction.Puts = append(transaction.Puts, connector.Put{Key: w.Key(), Value: value})
	return nil
}

// try makes one attempt: first find out about what is in doubt, then send.
func (w *Writer) try(ctx context.Context, transaction connector.Transaction) (connector.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if w.inDoubt != "" {
		found, err := w.readBack(ctx)
		if err != nil {
			return connector.Outcome{}, err
		}
		if found == transaction.ID {
			return connector.Outcome{Committed: true, Version: w.version}, nil
		}
	}
	return w.send(ctx, transaction)
}

// readBack learns the row's version and the id that it names. Another id than the one in doubt
// does not prove that the latter never takes effect later; that is what the precondition is for.
func (w *Writer) readBack(ctx context.Context) (string, error) {
	rows, err := w.table.Read(ctx, w.Key())
	if err != nil {
		return "", err
	}
	row := rows[w.Key()]
	w.version = row.Version
	if row.Version == 0 {
		return "", nil
	}
	var last writerRow
	if err := json.Unmarshal(row.Value, &last); err != nil {
		return "", errors.Wrap(err, "decode "+w.Key())
	}
	return last.Transaction, nil
}

func (w *Writer) send(ctx context.Context, transaction connector.Transaction) (connector.Outcome, error) {
	// The precondition on the own row goes last, so that a conflict on it can be told apart.
	own := connector.Precondition{Key: w.Key(), Version: w.version}
	transaction.Preconditions = append(transaction.Preconditions[:len(transaction.Preconditions):len(transaction.Preconditions)], own)
	sentAt := w.clock.Now()
	hasty, cancel := context.WithTimeout(ctx, w.patience)
	outcome, err := w.table.Transact(hasty, transaction)
	cancel()
	if err != nil {
		var unreachable *connector.UnreachableError
		if errors.As(err, &unreachable) && !unreachable.NeverSent {
			w.inDoubt = transaction.ID
			w.patience = min(2*w.patience, callTimeout)
		}
		return connector.Outcome{}, err
	}
	w.patience = min(max(firstPatience, patienceFactor*w.clock.Since(sentAt)), callTimeout)
	if outcome.Committed {
		w.version = outcome.Version
		w.inDoubt = ""
		return outcome, nil
	}
	return w.resolveConflict(transaction.ID, outcome)
}

// resolveConflict sorts a conflict on the writer's own row from conflicts of the transaction. The
// own row moved only if something in doubt took effect late, which may be this very transaction.
func (w *Writer) resolveConflict(id string, outcome connector.Outcome) (connector.Outcome, error) {
	others := outcome.Conflicts[:0:0]
	for _, row := range outcome.Conflicts {
		if row.Key != w.Key() {
			others = append(others, row)
			continue
		}
		w.version = row.Version
		var last writerRow
		if err := json.Unmarshal(row.Value, &last); err != nil {
			return connector.Outcome{}, errors.Wrap(err, "decode "+w.Key())
		}
		if last.Transaction == id {
			w.inDoubt = ""
			return connector.Outcome{Committed: true, Version: row.Version}, nil
		}
	}
	if len(others) == 0 {
		return connector.Outcome{}, &StaleWriterError{Writer: w.name}
	}
	w.inDoubt = ""
	return connector.Outcome{Conflicts: others}, nil
}

// StaleWriterError tells that the writer's own row had moved on, so that nothing was done; the
// writer now knows the row as it is.
type StaleWriterError struct {
	Writer string
}

func (e *StaleWriterError) Error() string {
	return fmt.Sprintf("writer %s: its row was written by an earlier transaction that arrived late", e.Writer)
}
