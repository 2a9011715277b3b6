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

// maxEntriesPerTransaction bounds a transaction; further entries go into the next one.
const maxEntriesPerTransaction = 500

// commitTimeout is how long a commit may take before the journal is reported as not writable. The
// commit is still retried: its entries are in doubt and cannot be abandoned.
const commitTimeout = 2 * time.Second

// DeposedError reports that another instance owns the partition, so that the entry was not and
// never will be written by this instance.
type DeposedError struct {
	Partition string
}

func (e *DeposedError) Error() string {
	return fmt.Sprintf("partition %s is owned by another instance", e.Partition)
}

// PermitTakenError reports that a permit for the same key and task already exists. Only the attempt
// of that permit may have run.
type PermitTakenError struct {
	Key string
}

func (e *PermitTakenError) Error() string {
	return fmt.Sprintf("%s: a start permit already exists and a second attempt is not allowed", e.Key)
}

// Piggybacker adds rows to the journal's transactions, which saves separate writes.
type Piggybacker interface {
	// PiggybackRows returns rows to add to the next transaction, and their preconditions. If a
	// precondition fails, the journal retries the transaction without them.
	PiggybackRows() ([]connector.Put, []connector.Precondition)
	// PiggybackCommitted is called after a transaction with these rows was committed, with the time
	// at which it was first sent.
	PiggybackCommitted(sent time.Time)
}

// Pacer limits the rate of transactions.
type Pacer interface {
	// MinInterval returns the minimum interval between two transactions that keeps to the write
	// budget.
	MinInterval() time.Duration
}

// pendingEntry is an entry with the callback that receives the result of its write.
type pendingEntry struct {
	entry Entry
	done  func(error)
}

// partitionJournal is the journal of one partition.
type partitionJournal struct {
	epoch             modeler.Epoch
	ownerVersion      int64
	sequence          int64
	queued            []pendingEntry
	rowsSinceSnapshot int
	lastRow           string
}

// Settings are the settings of a journal.
type Settings struct {
	// RowsPerSnapshot is the number of journal rows of a partition after which a snapshot is due.
	RowsPerSnapshot int
}

// Journal writes the entries of all partitions that an instance owns.
type Journal struct {
	settings Settings
	writer   *committer.Writer
	clock    clockwork.Clock
	log      *slog.Logger

	mu         sync.Mutex
	partitions map[string]*partitionJournal
	wake       chan struct{}
	// due is the earliest time by which a queued entry must be sent; zero if nothing is queued.
	due time.Time

	piggybacker Piggybacker
	pacer       Pacer
	// commitStarted is when the commit in flight started, in Unix nanoseconds; 0 if there is none.
	commitStarted atomic.Int64
	commits       atomic.Int64
	entries       atomic.Int64
}

// New starts a journal and returns it with a function that stops it. Entries whose commit is then
// in flight may or may not have been written; entries that are still queued are not written.
func New(settings Settings, writer *committer.Writer, piggybacker Piggybacker, pacer Pacer, clock clockwork.Clock, log *slog.Logger) (*Journal, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	j := &Journal{
		settings:    settings,
		writer:      writer,
		piggybacker: piggybacker,
		pacer:       pacer,
		clock:       clock,
		log:         log,
		partitions:  make(map[string]*partitionJournal),
		wake:        make(chan struct{}, 1),
	}
	var running sync.WaitGroup
	running.Go(func() { j.run(ctx) })
	return j, func() {
		cancel()
		running.Wait()
	}
}

// Open opens the journal of a partition under a new epoch. version is the version of the owner row.
func (j *Journal) Open(partition string, epoch modeler.Epoch, version int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.partitions[partition] = &partitionJournal{epoch: epoch, ownerVersion: version}
}

// Close closes the journal of a partition. Its queued entries fail with a *DeposedError.
func (j *Journal) Close(partition string) {
	j.mu.Lock()
	pj := j.partitions[partition]
	delete(j.partitions, partition)
	j.mu.Unlock()
	if pj == nil {
		return
	}
	// This runs on another goroutine because the caller may be the control goroutine of package
	// partitioncontroller, which receives the results and must not block on sending them to itself.
	go notify([]batch{{entries: pj.queued}}, &DeposedError{Partition: partition})
}

// Append queues an entry that may wait up to linger so that it shares a transaction with others.
// done is called once, on another goroutine, when the entry is durable or is certain never to be
// written.
func (j *Journal) Append(partition string, entry Entry, linger time.Duration, done func(error)) {
	j.mu.Lock()
	pj := j.partitions[partition]
	if pj == nil {
		j.mu.Unlock()
		go done(&DeposedError{Partition: partition})
		return
	}
	pj.queued = append(pj.queued, pendingEntry{entry: entry, done: done})
	if due := j.clock.Now().Add(linger); j.due.IsZero() || due.Before(j.due) {
		j.due = due
	}
	j.mu.Unlock()
	select {
	case j.wake <- struct{}{}:
	default:
	}
}

// Writable reports whether commits succeed within commitTimeout. While they do not, no durable jobs
// should be accepted.
func (j *Journal) Writable() bool {
	since := j.commitStarted.Load()
	return since == 0 || j.clock.Now().UnixNano()-since < int64(commitTimeout)
}

// Counts returns the number of transactions and of entries written.
func (j *Journal) Counts() (commits, entries int64) {
	return j.commits.Load(), j.entries.Load()
}

// Retries returns the number of commit attempts after the first one, over all transactions.
func (j *Journal) Retries() int64 { return j.writer.Retries() }

// run commits when an entry is due and the pacer allows a transaction. All entries queued by then
// are included, whether due or not.
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
			next = j.clock.Now().Add(j.pacer.MinInterval())
			j.commitOnce(ctx)
		}
	}
}

func (j *Journal) dueAt() (due time.Time, queued bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.due, !j.due.IsZero()
}

// batch is the part of a transaction that belongs to one partition.
type batch struct {
	partition string
	journal   *partitionJournal
	entries   []pendingEntry
	key       string
}

// takeBatches removes up to maxEntriesPerTransaction entries from the queues.
func (j *Journal) takeBatches() []batch {
	j.mu.Lock()
	defer j.mu.Unlock()
	names := make([]string, 0, len(j.partitions))
	for name, pj := range j.partitions {
		if len(pj.queued) > 0 {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	var batches []batch
	remaining := maxEntriesPerTransaction
	for _, name := range names {
		pj := j.partitions[name]
		count := min(remaining, len(pj.queued))
		if count == 0 {
			break
		}
		pj.sequence++
		batches = append(batches, batch{
			partition: name,
			journal:   pj,
			entries:   pj.queued[:count:count],
			key:       rowKey(name, pj.epoch, pj.sequence),
		})
		pj.queued = pj.queued[count:]
		remaining -= count
	}
	if remaining > 0 {
		j.due = time.Time{}
	}
	return batches
}

// commitOnce writes the queued entries in one transaction. After a conflict it retries with the
// batches that are left, without piggybacked rows.
func (j *Journal) commitOnce(ctx context.Context) {
	batches := j.takeBatches()
	for withoutPiggyback := false; len(batches) > 0; withoutPiggyback = true {
		transaction, err := buildTransaction(batches)
		if err != nil {
			notify(batches, err)
			return
		}
		if !withoutPiggyback {
			puts, preconditions := j.piggybacker.PiggybackRows()
			transaction.Puts = append(transaction.Puts, puts...)
			transaction.Preconditions = append(transaction.Preconditions, preconditions...)
		}
		sent := j.clock.Now()
		outcome, err := j.commit(ctx, transaction)
		if err != nil {
			// The journal was stopped while the transaction was in doubt. No callback is called
			// because the outcome is unknown.
			j.log.Warn("journal stopped with a transaction in doubt", "error", err)
			return
		}
		if outcome.Committed {
			if !withoutPiggyback {
				j.piggybacker.PiggybackCommitted(sent)
			}
			j.markCommitted(batches)
			return
		}
		batches = dropConflicting(batches, outcome.Conflicts)
	}
}

func (j *Journal) commit(ctx context.Context, transaction connector.Transaction) (connector.Outcome, error) {
	j.commitStarted.Store(j.clock.Now().UnixNano())
	outcome, err := j.writer.Commit(ctx, transaction)
	if err == nil {
		j.commitStarted.Store(0)
	}
	return outcome, err
}

// markCommitted reports the batches as written and updates the counters.
func (j *Journal) markCommitted(batches []batch) {
	j.commits.Add(1)
	// The callbacks are called before lastRow is updated. When the control goroutine then reads
	// lastRow to take a snapshot, the results of all rows up to it are already in its mailbox.
	notify(batches, nil)
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, b := range batches {
		b.journal.rowsSinceSnapshot++
		b.journal.lastRow = b.key
		j.entries.Add(int64(len(b.entries)))
	}
}

// notify calls the callbacks of all entries of the batches.
func notify(batches []batch, err error) {
	for _, b := range batches {
		for _, p := range b.entries {
			p.done(err)
		}
	}
}

// buildTransaction returns the transaction that writes the batches.
func buildTransaction(batches []batch) (connector.Transaction, error) {
	var transaction connector.Transaction
	for _, b := range batches {
		row := journalRow{}
		for _, p := range b.entries {
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
		owner := connector.Precondition{Key: OwnerKey(b.partition), Version: b.journal.ownerVersion}
		transaction.Preconditions = append(transaction.Preconditions, owner)
	}
	return transaction, nil
}

// addPermit adds the permit row of an entry, with the precondition that the row does not exist yet.
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

// dropConflicting removes the entries that caused the conflicts, reports the error to their
// callbacks, and returns the remaining batches for a retry. After a conflict, nothing of the
// transaction was written.
func dropConflicting(batches []batch, conflicts []connector.Row) []batch {
	conflicting := make(map[string]bool, len(conflicts))
	for _, row := range conflicts {
		conflicting[row.Key] = true
	}
	var left []batch
	for _, b := range batches {
		if conflicting[OwnerKey(b.partition)] {
			notify([]batch{b}, &DeposedError{Partition: b.partition})
			continue
		}
		b.entries = dropTakenPermits(b, conflicting)
		if len(b.entries) > 0 {
			left = append(left, b)
		}
	}
	return left
}

// dropTakenPermits removes the permit entries of a batch whose permit rows already exist.
func dropTakenPermits(b batch, conflicting map[string]bool) []pendingEntry {
	var left []pendingEntry
	for _, p := range b.entries {
		if p.entry.Kind == Permitted && conflicting[permitKey(b.partition, p.entry)] {
			p.done(&PermitTakenError{Key: p.entry.Key})
			continue
		}
		left = append(left, p)
	}
	return left
}
