package leaseholder

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"dotterelpost.example/dotterelpost/internal/connector"
	"dotterelpost.example/dotterelpost/internal/journaler"
	"dotterelpost.example/dotterelpost/internal/modeler"
)

// looksPerLease is how often the rows are renewed and read within one lease.
const looksPerLease = 4

// Reader reads rows of the table.
type Reader interface {
	Read(ctx context.Context, keys ...string) (map[string]connector.Row, error)
}

// Committer commits a transaction and resolves a lost reply.
type Committer interface {
	Commit(ctx context.Context, transaction connector.Transaction) (connector.Outcome, error)
}

// Grant is an ownership that was just gained.
type Grant struct {
	Partition string        `json:"partition"`
	Epoch     modeler.Epoch `json:"epoch"`
	Version   int64         `json:"version"`
}

// Listener hears of gains and losses, on the lease holder's goroutine.
type Listener interface {
	LeaseAcquired(grant Grant)
	LeaseLost(grant Grant)
}

// Settings of a lease holder. Instance is unique to this run of the process.
type Settings struct {
	Instance string
	Lease    time.Duration
}

// Dependencies of a lease holder.
type Dependencies struct {
	Reader    Reader
	Committer Committer
	Listener  Listener
	Clock     clockwork.Clock
	Log       *slog.Logger
	// LiveInstances returns how many live instances of the region share its partitions, this one included.
	LiveInstances func() int
}

// ownerRow names the owner of a partition; empty if it was given up.
type ownerRow struct {
	Owner string        `json:"owner"`
	Epoch modeler.Epoch `json:"epoch"`
}

// renewalRow counts the renewals of an instance.
type renewalRow struct {
	Count int64 `json:"count"`
}

func renewalKey(instance string) string { return "renewal/" + instance }

// watch is how long the rows of another owner's partition have stood still.
type watch struct {
	owner, renewal int64
	since          time.Time
}

// sighting is what the last successful read showed of a partition.
type sighting struct {
	row     ownerRow
	version int64
}

// Holder holds the partitions of one instance.
type Holder struct {
	settings Settings
	Dependencies

	mu       sync.Mutex
	names    []string
	held     map[string]Grant
	seen     map[string]sighting
	watches  map[string]watch
	renewals int64
	renewed  time.Time
	leaving  bool

	ownedUntil atomic.Int64
	wake       chan struct{}
}

// New returns a lease holder that has begun to claim, and the function that stops it without giving
// anything up.
func New(settings Settings, dependencies Dependencies) (*Holder, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	h := &Holder{
		settings:     settings,
		Dependencies: dependencies,
		held:         make(map[string]Grant),
		seen:         make(map[string]sighting),
		watches:      make(map[string]watch),
		wake:         make(chan struct{}, 1),
	}
	var running sync.WaitGroup
	running.Go(func() { h.run(ctx) })
	return h, func() {
		cancel()
		running.Wait()
	}
}

// SetPartitions names the partitions of the region.
func (h *Holder) SetPartitions(names []string) {
	h.mu.Lock()
	h.names = append([]string(nil), names...)
	h.mu.Unlock()
	h.hurry()
}

// StopClaiming ends claiming: what is given up goes to others.
func (h *Holder) StopClaiming() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaving = true
}

func (h *Holder) hurry() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// OwnedUntil returns until when nobody else can have taken a partition over that is held under an
// epoch, by this clock. The time is zero for one that is not held so: renewals go on for the others.
func (h *Holder) OwnedUntil(partition string, epoch modeler.Epoch) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	if grant, held := h.held[partition]; !held || grant.Epoch != epoch {
		return time.Time{}
	}
	return time.Unix(0, h.ownedUntil.Load())
}

// Held returns the grants that this instance holds, by name.
func (h *Holder) Held() []Grant {
	h.mu.Lock()
	defer h.mu.Unlock()
	grants := make([]Grant, 0, len(h.held))
	for _, grant := range h.held {
		grants = append(grants, grant)
	}
	sort.Slice(grants, func(i, j int) bool { return grants[i].Partition < grants[j].Partition })
	return grants
}

// OwnerOf returns the owner of a partition as the table showed it last; empty if not known.
func (h *Holder) OwnerOf(partition string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.seen[partition].row.Owner
}

// MarkLost drops a grant that turned out to be lost, unless a later one was gained meanwhile.
func (h *Holder) MarkLost(partition string, epoch modeler.Epoch) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.held[partition].Epoch <= epoch {
		delete(h.held, partition)
	}
	h.hurry()
}

// Accept takes a grant that the predecessor wrote into the table for this instance. False tells
// that it is held already.
func (h *Holder) Accept(grant Grant) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leaving || h.held[grant.Partition].Epoch >= grant.Epoch {
		return false
	}
	h.held[grant.Partition] = grant
	return true
}

func (h *Holder) run(ctx context.Context) {
	interval := h.settings.Lease / looksPerLease
	for {
		h.look(ctx, interval)
		select {
		case <-ctx.Done():
			return
		case <-h.wake:
		case <-h.Clock.After(interval):
		}
	}
}

// look renews, reads, and acts on what was read.
func (h *Holder) look(ctx context.Context, patience time.Duration) {
	h.renew(ctx, patience)
	rows, err := h.read(ctx, patience)
	if err != nil {
		h.mu.Lock()
		clear(h.watches)
		h.mu.Unlock()
		if ctx.Err() == nil {
			h.Log.Warn("partition rows not read; watching anew", "error", err)
		}
		return
	}
	h.act(ctx, rows)
}

// PiggybackRenewal returns the renewal row, for a transaction that is sent anyway. It makes Holder the journal's
// companion.
func (h *Holder) PiggybackRenewal() ([]connector.Put, []connector.Precondition) {
	preconditions := h.ownership()
	if len(preconditions) == 0 {
		return nil, nil
	}
	put, err := h.renewalPut()
	if err != nil {
		h.Log.Error("renewal not encoded", "error", err)
		return nil, nil
	}
	return []connector.Put{put}, preconditions
}

// ownership returns the preconditions of a renewal: every held partition still has this owner. A
// renewal without them succeeds after a take-over too, as when a cut heals, and would let this
// instance grant leases and speak for a partition that it lost.
func (h *Holder) ownership() []connector.Precondition {
	var preconditions []connector.Precondition
	for _, grant := range h.Held() {
		preconditions = append(preconditions, connector.Precondition{Key: journaler.OwnerKey(grant.Partition), Version: grant.Version})
	}
	return preconditions
}

// RenewalCommitted notes a renewal that was sent at a time and took effect.
func (h *Holder) RenewalCommitted(sent time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.held) == 0 || sent.Before(h.renewed) {
		return
	}
	h.renewed = sent
	h.ownedUntil.Store(sent.Add(h.settings.Lease).UnixNano())
}

// isRenewed tells whether the journal renewed so lately that a write of our own is not due.
func (h *Holder) isRenewed(within time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.Clock.Since(h.renewed) < within
}

// renew writes the renewal row if anything is held and no journal transaction carried it.
func (h *Holder) renew(ctx context.Context, patience time.Duration) {
	preconditions := h.ownership()
	if len(preconditions) == 0 || h.isRenewed(patience) {
		return
	}
	put, err := h.renewalPut()
	if err != nil {
		h.Log.Error("renewal not encoded", "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	sent := h.Clock.Now()
	outcome, err := h.Committer.Commit(ctx, connector.Transaction{Preconditions: preconditions, Puts: []connector.Put{put}})
	if err != nil {
		h.Log.Warn("renewal not written", "error", err)
		return
	}
	if !outcome.Committed {
		h.drop(outcome.Conflicts)
		return
	}
	h.RenewalCommitted(sent)
}

// drop gives up the partitions whose rows have another owner. The rest is renewed at the next look.
func (h *Holder) drop(conflicts []connector.Row) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, row := range conflicts {
		for name, grant := range h.held {
			if journaler.OwnerKey(name) == row.Key && grant.Version < row.Version {
				delete(h.held, name)
				go h.Listener.LeaseLost(grant)
			}
		}
	}
}

func (h *Holder) renewalPut() (connector.Put, error) {
	h.mu.Lock()
	h.renewals++
	count := h.renewals
	h.mu.Unlock()
	value, err := json.Marshal(renewalRow{Count: count})
	if err != nil {
		return connector.Put{}, errors.Wrap(err, "encode renewal")
	}
	return connector.Put{Key: renewalKey(h.settings.Instance), Value: value}, nil
}

// read gets the partitions' rows and the renewal rows of the owners known so far, in one call.
func (h *Holder) read(ctx context.Context, patience time.Duration) (map[string]connector.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	h.mu.Lock()
	var keys []string
	asked := make(map[string]bool)
	for _, name := range h.names {
		keys = append(keys, journaler.OwnerKey(name))
		owner := h.seen[name].row.Owner
		if owner != "" && owner != h.settings.Instance && !asked[owner] {
			asked[owner] = true
			keys = append(keys, renewalKey(owner))
		}
	}
	h.mu.Unlock()
	if len(keys) == 0 {
		return nil, nil
	}
	return h.Reader.Read(ctx, keys...)
}

func (h *Holder) act(ctx context.Context, rows map[string]connector.Row) {
	h.mu.Lock()
	names := append([]string(nil), h.names...)
	h.mu.Unlock()
	for _, name := range names {
		row := rows[journaler.OwnerKey(name)]
		var owner ownerRow
		if row.Version != 0 {
			if err := json.Unmarshal(row.Value, &owner); err != nil {
				h.Log.Error("row of partition unreadable", "partition", name, "error", err)
				continue
			}
		}
		now := sighting{row: owner, version: row.Version}
		claim := h.judge(name, now, rows[renewalKey(owner.Owner)].Version)
		if claim != nil {
			h.claim(ctx, name, now, claim)
		}
	}
}

// judge compares a partition's row with what is held, and returns the preconditions of a claim if
// one is due.
func (h *Holder) judge(name string, now sighting, renewal int64) []connector.Precondition {
	h.mu.Lock()
	defer h.mu.Unlock()
	before := h.seen[name]
	h.seen[name] = now
	grant, held := h.held[name]
	if held && grant.Version < now.version {
		delete(h.held, name)
		go h.Listener.LeaseLost(grant)
		held = false
	}
	mine := []connector.Precondition{{Key: journaler.OwnerKey(name), Version: now.version}}
	switch {
	case held || h.leaving:
		return nil
	case now.row.Owner == h.settings.Instance:
		return mine
	case now.row.Owner == "":
		if h.hasShare() {
			return mine
		}
		return nil
	}
	if before.row.Owner != now.row.Owner || !h.stoodStill(name, now.version, renewal) {
		return nil
	}
	return append(mine, connector.Precondition{Key: renewalKey(now.row.Owner), Version: renewal})
}

// hasShare tells whether this instance holds less than its part of the partitions.
func (h *Holder) hasShare() bool {
	peers := max(1, h.LiveInstances())
	return len(h.held) < (len(h.names)+peers-1)/peers
}

// stoodStill tells whether both rows were the same throughout a whole lease. An instance that has
// its share already waits for twice as long, so that others go first.
func (h *Holder) stoodStill(name string, owner, renewal int64) bool {
	w, watched := h.watches[name]
	if !watched || w.owner != owner || w.renewal != renewal {
		h.watches[name] = watch{owner: owner, renewal: renewal, since: h.Clock.Now()}
		return false
	}
	patience := h.settings.Lease
	if !h.hasShare() {
		patience *= 2
	}
	return h.Clock.Since(w.since) >= patience
}

// claim writes this instance into the row, with the next epoch, and renews in the same write.
func (h *Holder) claim(ctx context.Context, name string, now sighting, preconditions []connector.Precondition) {
	epoch := now.row.Epoch + 1
	transaction, err := h.handTo(name, h.settings.Instance, epoch)
	if err != nil {
		h.Log.Error("claim not encoded", "error", err)
		return
	}
	renewal, err := h.renewalPut()
	if err != nil {
		h.Log.Error("claim not encoded", "error", err)
		return
	}
	transaction.Preconditions = append(preconditions, h.ownership()...)
	transaction.Puts = append(transaction.Puts, renewal)
	sent := h.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, h.settings.Lease)
	defer cancel()
	outcome, err := h.Committer.Commit(ctx, transaction)
	if err != nil || !outcome.Committed {
		h.Log.Info("claim lost or in doubt", "partition", name, "epoch", epoch, "error", err)
		return
	}
	grant := Grant{Partition: name, Epoch: epoch, Version: outcome.Version}
	h.Log.Info("claimed", "partition", name, "epoch", epoch, "from", now.row.Owner)
	if h.Accept(grant) {
		h.RenewalCommitted(sent)
		h.Listener.LeaseAcquired(grant)
	}
}

func (h *Holder) handTo(name, owner string, epoch modeler.Epoch) (connector.Transaction, error) {
	value, err := json.Marshal(ownerRow{Owner: owner, Epoch: epoch})
	if err != nil {
		return connector.Transaction{}, errors.Wrap(err, "encode owner row")
	}
	put := connector.Put{Key: journaler.OwnerKey(name), Value: value}
	return connector.Transaction{Puts: []connector.Put{put}}, nil
}

// NotHeldError tells that a partition is not held here.
type NotHeldError struct {
	Partition string
}

func (e *NotHeldError) Error() string {
	return fmt.Sprintf("partition %s is not held by this instance", e.Partition)
}

// Transfer names a successor in the row of a held partition, or nobody if the name is empty. After
// it returned without error, this instance does not hold the partition any more; after an error
// that is for the next look to find out.
func (h *Holder) Transfer(ctx context.Context, partition, successor string) (Grant, error) {
	h.mu.Lock()
	grant, held := h.held[partition]
	delete(h.held, partition)
	h.mu.Unlock()
	if !held {
		return Grant{}, &NotHeldError{Partition: partition}
	}
	next := Grant{Partition: partition, Epoch: grant.Epoch}
	if successor != "" {
		// The epoch that the successor will own under.
		next.Epoch++
	}
	transaction, err := h.handTo(partition, successor, next.Epoch)
	if err != nil {
		return Grant{}, err
	}
	transaction.Preconditions = []connector.Precondition{{Key: journaler.OwnerKey(partition), Version: grant.Version}}
	outcome, err := h.Committer.Commit(ctx, transaction)
	if err != nil {
		return Grant{}, err
	}
	if !outcome.Committed {
		return Grant{}, &NotHeldError{Partition: partition}
	}
	next.Version = outcome.Version
	return next, nil
}
