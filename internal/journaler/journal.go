package journaler

import (
	"context"
	"fmt"
	"log/slog"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"dotterelpost.example/dotterelpost/internal/committer"
	"dotterelpost.example/dotterelpost/internal/connector"
	"dotterelpost.example/dotterelpost/internal/modeler"
)

// maxEntriesPerTransaction bounds a transaction; what is over goes into the next one.
const maxEntriesPerTransaction = 500

// commitPatience is how long one commit is tried before the journal counts as not writable. The
// commit itself goes on: its entries are in doubt and can't be given up.
const commitPatience = 2 * time.Second

// DeposedError tells that another instance owns the partition now, so that an entry was not and
// never will be written by this one.
type DeposedError struct {
	Partition string
}

func (e *DeposedError) Error() string {
	return fmt.Sprintf("partition %s has another owner now", e.Partition)
}

// PermitTakenError tells that a permit for the same key and task was written before. At most that
// earlier attempt ran.
type PermitTakenError struct {
	Key string
}

func (e *PermitTakenError) Error() string {
	return fmt.Sprintf("%s: a permit was written for it before, and a second attempt is not allowed", e.Key)
}

// Piggybacker rides along with the journal: its rows go into every transaction for nothing, which
// saves writes of their own.
type Piggybacker interface {
	// PiggybackRows returns rows to add to the next transaction and what has to hold for them. If it does
	// not hold, the journal goes on without them.
	PiggybackRows() ([]connector.Put, []connector.Precondition)
	// PiggybackCommitted tells when the transaction that carried them was sent first.
	PiggybackCommitted(sent time.Time)
}

// Pacer spreads transactions over time.
type Pacer interface {
	// MinInterval returns the least time between two transactions that keeps to the write budget.
	MinInterval() time.Duration
}

// pending is an entry with the function that is told how its write ended.
type pending struct {
	entry Entry
	done  func(error)
}

// book is the journal of one partition.
type book struct {
	epoch    modeler.Epoch
	version  int64
	sequence int64
	queue    []pending
	rows     int
	last     string
}

// Settings of a journal.
type Settings struct {
	// RowsPerSnapshot is after how many rows of a partition a snapshot is due.
	RowsPerSnapshot int
}

// Journal writes the entries of all partitions that an instance owns.
type Journal struct {
	settings Settings
	writer   *committer.Writer
	clock    clockwork.Clock
	log      *slog.Logger

	mu    sync.Mutex
	books map[string]*book
	wake  chan struct{}
	// due is when the queued entry that may linger least has to go; zero if nothing is queued.
	due time.Time

	companion Piggybacker
	pace      Pacer
	// stuckSince is when the commit in flight began to fail, in Unix nanoseconds; 0 if it does not.
	stuckSince atomic.Int64
	commits    atomic.Int64
	entries    atomic.Int64
}

// New returns a journal and the function that stops it. Entries whose commit is in flight then
// may or may not have been written; those still queued were not.
func New(settings Settings, writer *committer.Writer, companion Piggybacker, pace Pacer, clock clockwork.Clock, log *slog.Logger) (*Journal, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	j := &Journal{
		settings:  settings,
		writer:    writer,
		companion: companion,
		pace:      pace,
		clock:     clock,
		log:       log,
		books:     make(map[string]*book),
		wake:      make(chan struct{}, 1),
	}
	var running sync.WaitGroup
	running.Go(func() { j.run(ctx) })
	return j, func() {
		cancel()
		running.Wait()
	}
}

// Open begins the journal of a partition under a new epoch. Version is that of the owner row.
func (j *Journal) Open(partition string, epoch modeler.Epoch, version int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.books[partition] = &book{epoch: epoch, version: version}
}

// Close ends the journal of a partition. Queued entries end with a *DeposedError.
func (j *Journal) Close(partition string) {
	j.mu.Lock()
	b := j.books[partition]
	delete(j.books, partition)
	j.mu.Unlock()
	if b == nil {
		return
	}
	// Not on this goroutine: whoever closes the journal may be the one that takes the messages.
	go finish([]batch{{taken: b.queue}}, &DeposedError{Partition: partition})
}

// Append queues an entry that may linger for a while, so that others share its transaction. Done is
// called once, from another goroutine, when the entry is durable or provably never will be.
func (j *Journal) Append(partition string, entry Entry, linger time.Duration, done func(error)) {
	j.mu.Lock()
	b := j.books[partition]
	if b == nil {
		j.mu.Unlock()
		go done(&DeposedError{Partition: partition})
		return
	}
	b.queue = append(b.queue, pending{entry: entry, done: done})
	if due := j.clock.Now().Add(linger); j.due.IsZero() || due.Before(j.due) {
		j.due = due
	}
	j.mu.Unlock()
	select {
	case j.wake <- struct{}{}:
	default:
	}
}

// Writable tells whether the journal gets its entries written in good time. While it is not, no
// durable work should be accepted.
func (j *Journal) Writable() bool {
	since := j.stuckSince.Load()
	return since == 0 || j.clock.Now().UnixNano()-since < int64(commitPatience)
}

// Counts returns how many transactions and entries were written.
func (j *Journal) Counts() (commits, entries int64) {
	return j.commits.Load(), j.entries.Load()
}

// run commits whenever something is due and the budget allows a transaction. What is queued until
// then goes along, whether it is due or not.
// Retries returns how often a transaction was tried again.
func (j *Journal) Retries() int64 { return j.writer.Retries() }

func (j *Journal) run(ctx context.Context) {
	var next time.Time
	for {
		due, queued := j.dueAt()
		var timer <-chan time.Time
		if queued {
			if due.Before(next) {
				due = next
			}
			timer = j.clock.After(j.clock.Until(due))
		}
		select {
		case <-ctx.Done():
			return
		case <-j.wake:
		case <-timer:
			next = j.clock.Now().Add(j.pace.MinInterval())
			j.commitOnce(ctx)
		}
	}
}

func (j *Journal) dueAt() (due time.Time, queued bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.due, !j.due.IsZero()
}

// batch is what one transaction carries: some entries of each partition.
type batch struct {
	partition string
	book      *book
	taken     []pending
	key       string
}

func (j *Journal) take() []batch {
	j.mu.Lock()
	defer j.mu.Unlock()
	names := make([]string, 0, len(j.books))
	for name, b := range j.books {
		if len(b.queue) > 0 {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	var batches []batch
	room := maxEntriesPerTransaction
	for _, name := range names {
		b := j.books[name]
		count := min(room, len(b.queue))
		if count == 0 {
			break
		}
		b.sequence++
		batches = append(batches, batch{
			partition: name,
			book:      b,
			taken:     b.queue[:count:count],
			key:       rowKey(name, b.epoch, b.sequence),
		})
		b.queue = b.queue[count:]
		room -= count
	}
	if room > 0 {
		j.due = time.Time{}
	}
	return batches
}

// commitOnce writes what is queued as one transaction.
func (j *Journal) commitOnce(ctx context.Context) {
	batches := j.take()
	for alone := false; len(batches) > 0; alone = true {
		transaction, err := assemble(batches)
		if err != nil {
			finish(batches, err)
			return
		}
		if !alone {
			puts, preconditions := j.companion.PiggybackRows()
			transaction.Puts = append(transaction.Puts, puts...)
			transaction.Preconditions = append(transaction.Preconditions, preconditions...)
		}
		sent := j.clock.Now()
		outcome, err := j.commit(ctx, transaction)
		if err != nil {
			// Stopped in doubt: nobody is told anything, because nothing certain can be said.
			j.log.Warn("journal stopped with a transaction in doubt", "error", err)
			return
		}
		if outcome.Committed {
			if !alone {
				j.companion.PiggybackCommitted(sent)
			}
			j.settle(batches)
			return
		}
		batches = strike(batches, outcome.Conflicts)
	}
}

func (j *Journal) commit(ctx context.Context, transaction connector.Transaction) (connector.Outcome, error) {
	j.stuckSince.Store(j.clock.Now().UnixNano())
	outcome, err := j.writer.Commit(ctx, transaction)
	if err == nil {
		j.stuckSince.Store(0)
	}
	return outcome, err
}

func (j *Journal) settle(batches []batch) {
	j.commits.Add(1)
	// Those concerned are told before the row counts as last: whoever then reads which row is the
	// last one has the news of every row up to it in its mailbox already.
	finish(batches, nil)
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, b := range batches {
		b.book.rows++
		b.book.last = b.key
		j.entries.Add(int64(len(b.taken)))
	}
}

func finish(batches []batch, err error) {
	for _, b := range batches {
		for _, p := range b.taken {
			p.done(err)
		}
	}
}

func assemble(batches []batch) (connector.Transaction, error) {
	var transaction connector.Transaction
	for _, b := range batches {
		row := journalRow{}
		for _, p := range b.taken {
			row.Entries = append(row.Entries, p.entry)
			if p.entry.Kind != Permitted {
				continue
			}
			if err := addPermit(&transaction, b.partition, p.entry); err != nil {
				return transaction, err
			}
		}
		value, err := encodeRow(row)
		if err != nil {
			return transaction, err
		}
		transaction.Puts = append(transaction.Puts, connector.Put{Key: b.key, Value: value})
		owner := connector.Precondition{Key: OwnerKey(b.partition), Version: b.book.version}
		transaction.Preconditions = append(transaction.Preconditions, owner)
	}
	return transaction, nil
}

func addPermit(transaction *connector.Transaction, partition string, entry Entry) error {
	value, err := encodeRow(permitRow{Attempt: *entry.Attempt, Worker: entry.Worker, Boot: entry.Boot})
	if err != nil {
		return err
	}
	key := permitKey(partition, entry)
	transaction.Preconditions = append(transaction.Preconditions, connector.Precondition{Key: key})
	transaction.Puts = append(transaction.Puts, connector.Put{Key: key, Value: value})
	return nil
}

// strike drops what caused the conflicts and tells those concerned; the rest is tried again. A
// conflict means that nothing of the transaction was written.
func strike(batches []batch, conflicts []connector.Row) []batch {
	conflicting := make(map[string]bool, len(conflicts))
	for _, row := range conflicts {
		conflicting[row.Key] = true
	}
	var left []batch
	for _, b := range batches {
		if conflicting[OwnerKey(b.partition)] {
			finish([]batch{b}, &DeposedError{Partition: b.partition})
			continue
		}
		b.taken = strikePermits(b, conflicting)
		if len(b.taken) > 0 {
			left = append(left, b)
		}
	}
	return left
}

func strikePermits(b batch, conflicting map[string]bool) []pending {
	var left []pending
	for _, p := range b.taken {
		if p.entry.Kind == Permitted && conflicting[permitKey(b.partition, p.entry)] {
			p.done(&PermitTakenError{Key: p.entry.Key})
			continue
		}
		left = append(left, p)
	}
	return left
}
