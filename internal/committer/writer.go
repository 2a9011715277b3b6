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

// Table is the part of the table service that a Writer uses.
type Table interface {
	Transact(ctx context.Context, transaction connector.Transaction) (connector.Outcome, error)
	Read(ctx context.Context, keys ...string) (map[string]connector.Row, error)
}

const (
	// callTimeout bounds one attempt: reading back the writer row and sending the transaction.
	callTimeout = 3 * time.Second
	// initialSendTimeout is how long the first send of a transaction may take before the writer finds
	// out whether the connection is dead. A healthy table replies in a twentieth of this time, and a
	// connection that stops responding blocks all later writes. For a slow table, the timeout is
	// sendTimeoutFactor times its last response time, and it doubles after each send without a reply.
	initialSendTimeout = 700 * time.Millisecond
	sendTimeoutFactor  = 4
	// probeTimeout bounds the read that finds out whether the connection is dead. At its slowest the
	// table takes a quarter of a second for a read.
	probeTimeout = 500 * time.Millisecond
	// maxTransactReads is how many times as long as a read a transaction may take. It takes three times
	// as long by itself, and the table handles the transactions of a part one after the other.
	maxTransactReads = 8
)

// InDoubtError reports that it could not be determined whether a transaction was committed.
type InDoubtError struct {
	Transaction string
	Err         error
}

func (e *InDoubtError) Error() string {
	return fmt.Sprintf("transaction %s in doubt: %v", e.Transaction, e.Err)
}

func (e *InDoubtError) Unwrap() error { return e.Err }

// writerRow is the row that holds the ID of a writer's last committed transaction.
type writerRow struct {
	Transaction string `json:"transaction"`
}

// Writer commits transactions one at a time and determines their outcome if replies are lost.
type Writer struct {
	table Table
	clock clockwork.Clock
	name  string

	// slot is a semaphore that admits one transaction at a time. It is not a mutex because a
	// transaction can take long, and a caller must be able to stop waiting when its context ends.
	slot chan struct{}
	// retries counts the attempts after the first one, over all transactions.
	retries atomic.Int64
	// sequence numbers the transactions; it is part of their IDs.
	sequence int64
	// rowVersion is the last known version of the writer row.
	rowVersion int64
	// inDoubt is the ID of a transaction whose outcome is unknown, or "".
	inDoubt string
	// sendTimeout bounds the next send.
	sendTimeout time.Duration
	// restored returns a channel that is closed when the table answers again after an outage.
	restored func() <-chan struct{}
}

// NewWriter returns a writer. The name must be unique to each run of a process: the writer assumes
// that its row does not exist yet.
func NewWriter(table Table, name string, clock clockwork.Clock) *Writer {
	return &Writer{table: table, clock: clock, name: name, slot: make(chan struct{}, 1), sendTimeout: initialSendTimeout, restored: neverRestored}
}

func neverRestored() <-chan struct{} { return nil }

// RetryWhenRestored makes the writer retry as soon as the table answers again, instead of after the
// whole delay between two attempts. restored returns a channel that is closed at that time. It must be
// called before the first Commit.
func (w *Writer) RetryWhenRestored(restored func() <-chan struct{}) { w.restored = restored }

// Key returns the key of the writer row.
func (w *Writer) Key() string { return "writer/" + w.name }

// Retries returns the number of attempts after the first one, over all transactions.
func (w *Writer) Retries() int64 { return w.retries.Load() }

// Commit assigns the transaction an ID and sends it until its outcome is known. If ctx ends first,
// the error is an *InDoubtError, or the last error if no request that was sent can still take
// effect.
func (w *Writer) Commit(ctx context.Context, transaction connector.Transaction) (connector.Outcome, error) {
	select {
	case w.slot <- struct{}{}:
	case <-ctx.Done():
		return connector.Outcome{}, errors.Wrap(ctx.Err(), "wait for writer "+w.name)
	}
	defer func() { <-w.slot }()
	w.sequence++
	transaction.ID = fmt.Sprintf("%s/%d", w.name, w.sequence)
	if err := w.addWriterRow(&transaction); err != nil {
		return connector.Outcome{}, err
	}
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = 20 * time.Millisecond
	delays.MaxInterval = time.Second
	for {
		// The channel is obtained before the attempt, so that an outage that ends meanwhile is noticed.
		restored := w.restored()
		outcome, err := w.attempt(ctx, transaction)
		if err == nil {
			return outcome, nil
		}
		select {
		case <-ctx.Done():
			return connector.Outcome{}, w.commitError(transaction.ID, err)
		case <-restored:
			delays.Reset()
			w.sendTimeout = initialSendTimeout
		case <-w.clock.After(delays.NextBackOff()):
		}
		w.retries.Add(1)
	}
}

func (w *Writer) commitError(id string, err error) error {
	if w.inDoubt != "" {
		return &InDoubtError{Transaction: id, Err: err}
	}
	return errors.Wrap(err, "commit "+id)
}

// addWriterRow adds the put of the writer row to the transaction.
func (w *Writer) addWriterRow(transaction *connector.Transaction) error {
	value, err := json.Marshal(writerRow{Transaction: transaction.ID})
	if err != nil {
		return errors.Wrap(err, "encode writer row")
	}
	transaction.Puts = append(transaction.Puts, connector.Put{Key: w.Key(), Value: value})
	return nil
}

// attempt makes one attempt. It first resolves a transaction in doubt, then sends the transaction.
func (w *Writer) attempt(ctx context.Context, transaction connector.Transaction) (connector.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if w.inDoubt != "" {
		lastID, err := w.readBack(ctx)
		if err != nil {
			return connector.Outcome{}, err
		}
		if lastID == transaction.ID {
			w.inDoubt = ""
			return connector.Outcome{Committed: true, Version: w.rowVersion}, nil
		}
	}
	return w.send(ctx, transaction)
}

// readBack reads the writer row, updates rowVersion and returns the ID in the row. If the ID is not
// that of the transaction in doubt, that transaction may still take effect later; the precondition
// on the writer row guards against this.
func (w *Writer) readBack(ctx context.Context) (string, error) {
	rows, err := w.table.Read(ctx, w.Key())
	if err != nil {
		return "", err
	}
	row := rows[w.Key()]
	w.rowVersion = row.Version
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
	// The precondition on the writer row goes last, so that a conflict on it can be distinguished
	// from conflicts of the caller's preconditions.
	own := connector.Precondition{Key: w.Key(), Version: w.rowVersion}
	transaction.Preconditions = append(transaction.Preconditions[:len(transaction.Preconditions):len(transaction.Preconditions)], own)
	sentAt := w.clock.Now()
	outcome, err := w.transact(ctx, transaction)
	if err != nil {
		var unreachable *connector.UnreachableError
		if errors.As(err, &unreachable) && !unreachable.NeverSent {
			w.inDoubt = transaction.ID
			w.sendTimeout = min(2*w.sendTimeout, callTimeout)
		}
		return connector.Outcome{}, err
	}
	w.sendTimeout = min(max(initialSendTimeout, sendTimeoutFactor*w.clock.Since(sentAt)), callTimeout)
	if outcome.Committed {
		w.rowVersion = outcome.Version
		w.inDoubt = ""
		return outcome, nil
	}
	return w.resolveConflict(transaction.ID, outcome)
}

// transactResult is the result of a Transact.
type transactResult struct {
	outcome connector.Outcome
	err     error
}

// transact sends a transaction once. If there is no reply within the send timeout, it reads the writer
// row while it goes on waiting: how long the read takes shows whether the table is slow or the connection
// is dead. On a dead connection the transaction is given up as in doubt.
func (w *Writer) transact(ctx context.Context, transaction connector.Transaction) (connector.Outcome, error) {
	transactCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan transactResult, 1)
	go func() {
		outcome, err := w.table.Transact(transactCtx, transaction)
		results <- transactResult{outcome, err}
	}()
	sendTimeout := w.sendTimeout
	timeout, stopTimeout := context.WithTimeout(ctx, sendTimeout)
	defer stopTimeout()
	select {
	case result := <-results:
		return result.outcome, result.err
	case <-timeout.Done():
	}
	dead := make(chan struct{})
	go func() {
		w.awaitDeadConnection(transactCtx, sendTimeout)
		close(dead)
	}()
	select {
	case result := <-results:
		return result.outcome, result.err
	case <-dead:
	}
	cancel()
	result := <-results
	return result.outcome, result.err
}

// awaitDeadConnection returns when a transaction that has had no reply within the send timeout must have
// been lost, judged by the time that a read takes, or when the context ends. If the read fails, nothing is
// known, and the transaction keeps the time of its context. It may outlive transact, so it uses no state
// of the writer.
func (w *Writer) awaitDeadConnection(ctx context.Context, sendTimeout time.Duration) {
	began := w.clock.Now()
	readCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if _, err := w.table.Read(readCtx, w.Key()); err != nil {
		<-ctx.Done()
		return
	}
	expected, stop := context.WithTimeout(ctx, maxTransactReads*w.clock.Since(began)-sendTimeout)
	defer stop()
	<-expected.Done()
}

// resolveConflict separates a conflict on the writer row from conflicts of the caller's
// preconditions. The writer row can have changed only if a transaction in doubt took effect late.
// If that is this very transaction, it was committed.
func (w *Writer) resolveConflict(id string, outcome connector.Outcome) (connector.Outcome, error) {
	otherConflicts := outcome.Conflicts[:0:0]
	for _, row := range outcome.Conflicts {
		if row.Key != w.Key() {
			otherConflicts = append(otherConflicts, row)
			continue
		}
		w.rowVersion = row.Version
		var last writerRow
		if err := json.Unmarshal(row.Value, &last); err != nil {
			return connector.Outcome{}, errors.Wrap(err, "decode "+w.Key())
		}
		if last.Transaction == id {
			w.inDoubt = ""
			return connector.Outcome{Committed: true, Version: row.Version}, nil
		}
	}
	if len(otherConflicts) == 0 {
		return connector.Outcome{}, &StaleWriterError{Writer: w.name}
	}
	w.inDoubt = ""
	return connector.Outcome{Conflicts: otherConflicts}, nil
}

// StaleWriterError reports that the transaction was not applied because the writer row had changed.
// The writer now knows the current version of the row.
type StaleWriterError struct {
	Writer string
}

func (e *StaleWriterError) Error() string {
	return fmt.Sprintf("writer %s: writer row was changed by an earlier transaction that arrived late", e.Writer)
}
