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

// roundsPerLease is how often the lease is renewed and the rows are read within one lease.
const roundsPerLease = 4

// Reader reads rows of the table.
type Reader interface {
	Read(ctx context.Context, keys ...string) (map[string]connector.Row, error)
}

// Committer commits a transaction and determines its outcome if the reply is lost.
type Committer interface {
	Commit(ctx context.Context, transaction connector.Transaction) (connector.Outcome, error)
}

// Grant is the ownership of a partition under an epoch. Version is the version of the owner row.
type Grant struct {
	Partition string        `json:"partition"`
	Epoch     modeler.Epoch `json:"epoch"`
	Version   int64         `json:"version"`
}

// Listener is notified when leases are acquired and lost.
type Listener interface {
	// LeaseAcquired is called on the lease holder's goroutine.
	LeaseAcquired(grant Grant)
	// LeaseLost is called on a goroutine of its own.
	LeaseLost(grant Grant)
}

// Settings are the settings of a lease holder. Instance must be unique to this run of the process.
type Settings struct {
	Instance string
	Lease    time.Duration
}

// Dependencies are the services that a lease holder uses.
type Dependencies struct {
	Reader    Reader
	Committer Committer
	Listener  Listener
	Clock     clockwork.Clock
	Log       *slog.Logger
	// LiveInstances returns the number of live instances of the region, including this one. The
	// partitions of the region are shared among them.
	LiveInstances func() int
}

// ownerRow is the owner row of a partition. Owner is empty if the partition was released.
type ownerRow struct {
	Owner string        `json:"owner"`
	Epoch modeler.Epoch `json:"epoch"`
}

// renewalRow is the renewal row of an instance. Count is incremented by each renewal.
type renewalRow struct {
	Count int64 `json:"count"`
}

func renewalKey(instance string) string { return "renewal/" + instance }

// expiryWatch records the versions of both rows of another owner's partition and since when they
// have not changed.
type expiryWatch struct {
	ownerVersion, renewalVersion int64
	since                        time.Time
}

// observedRow is the owner row of a partition as last read, with its version.
type observedRow struct {
	row     ownerRow
	version int64
}

// Holder holds the partition leases of one instance.
type Holder struct {
	settings Settings
	Dependencies

	mu              sync.Mutex
	partitions      []string
	held            map[string]Grant
	observed        map[string]observedRow
	watches         map[string]expiryWatch
	renewalCount    int64
	lastRenewal     time.Time
	claimingStopped bool

	ownedUntil atomic.Int64
	wake       chan struct{}
}

// New starts a lease holder that claims partitions, and returns it with a function that stops it
// without releasing any partition.
func New(settings Settings, dependencies Dependencies) (*Holder, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	h := &Holder{
		settings:     settings,
		Dependencies: dependencies,
		held:         make(map[string]Grant),
		observed:     make(map[string]observedRow),
		watches:      make(map[string]expiryWatch),
		wake:         make(chan struct{}, 1),
	}
	var running sync.WaitGroup
	running.Go(func() { h.run(ctx) })
	return h, func() {
		cancel()
		running.Wait()
	}
}

// SetPartitions sets the partitions of the region.
func (h *Holder) SetPartitions(names []string) {
	h.mu.Lock()
	h.partitions = append([]string(nil), names...)
	h.mu.Unlock()
	h.wakeUp()
}

// StopClaiming stops claiming partitions, so that the partitions that this instance releases go to
// other instances.
func (h *Holder) StopClaiming() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.claimingStopped = true
}

func (h *Holder) wakeUp() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// OwnedUntil returns the time, by this instance's clock, before which no other instance can have
// taken over the partition. It is zero if the partition is not held under the given epoch. The
// field ownedUntil alone does not show that, because renewals for the other held partitions still
// extend it.
func (h *Holder) OwnedUntil(partition string, epoch modeler.Epoch) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	if grant, held := h.held[partition]; !held || grant.Epoch != epoch {
		return time.Time{}
	}
	return time.Unix(0, h.ownedUntil.Load())
}

// Held returns the grants that this instance holds, sorted by partition.
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

// OwnerOf returns the owner of a partition as of the last successful read, or "" if it is not
// known.
func (h *Holder) OwnerOf(partition string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.observed[partition].row.Owner
}

// MarkLost removes a grant whose partition has another owner, unless it has since been acquired
// under a higher epoch.
func (h *Holder) MarkLost(partition string, epoch modeler.Epoch) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.held[partition].Epoch <= epoch {
		delete(h.held, partition)
	}
	h.wakeUp()
}

// Accept adds a grant that the predecessor wrote to the table for this instance. It returns false
// if this instance already holds the partition under this or a higher epoch, or no longer claims
// partitions.
func (h *Holder) Accept(grant Grant) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.claimingStopped || h.held[grant.Partition].Epoch >= grant.Epoch {
		return false
	}
	h.held[grant.Partition] = grant
	return true
}

func (h *Holder) run(ctx context.Context) {
	interval := h.settings.Lease / roundsPerLease
	for {
		h.runRound(ctx, interval)
		select {
		case <-ctx.Done():
			return
		case <-h.wake:
		case <-h.Clock.After(interval):
		}
	}
}

// runRound renews the leases, reads the rows, and claims the partitions that are available.
func (h *Holder) runRound(ctx context.Context, timeout time.Duration) {
	h.renew(ctx, timeout)
	rows, err := h.read(ctx, timeout)
	if err != nil {
		h.mu.Lock()
		clear(h.watches)
		h.mu.Unlock()
		if ctx.Err() == nil {
			h.Log.Warn("partition rows not read; restarting lease expiry observation", "error", err)
		}
		return
	}
	h.processRows(ctx, rows)
}

// read reads the owner rows and the renewal rows of the known owners in a single call.
func (h *Holder) read(ctx context.Context, timeout time.Duration) (map[string]connector.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	h.mu.Lock()
	var keys []string
	requested := make(map[string]bool)
	for _, name := range h.partitions {
		keys = append(keys, journaler.OwnerKey(name))
		owner := h.observed[name].row.Owner
		if owner != "" && owner != h.settings.Instance && !requested[owner] {
			requested[owner] = true
			keys = append(keys, renewalKey(owner))
		}
	}
	h.mu.Unlock()
	if len(keys) == 0 {
		return nil, nil
	}
	return h.Reader.Read(ctx, keys...)
}

func (h *Holder) processRows(ctx context.Context, rows map[string]connector.Row) {
	h.mu.Lock()
	names := append([]string(nil), h.partitions...)
	h.mu.Unlock()
	for _, name := range names {
		row := rows[journaler.OwnerKey(name)]
		var owner ownerRow
		if row.Version != 0 {
			if err := json.Unmarshal(row.Value, &owner); err != nil {
				h.Log.Error("cannot decode owner row of partition", "partition", name, "error", err)
				continue
			}
		}
		current := observedRow{row: owner, version: row.Version}
		preconditions := h.claimPreconditions(name, current, rows[renewalKey(owner.Owner)].Version)
		if preconditions != nil {
			h.claim(ctx, name, current, preconditions)
		}
	}
}

// claimPreconditions compares the owner row of a partition with the held grant. It returns the
// preconditions of a claim, or nil if the partition is not to be claimed now.
func (h *Holder) claimPreconditions(name string, current observedRow, renewalVersion int64) []connector.Precondition {
	h.mu.Lock()
	defer h.mu.Unlock()
	previous := h.observed[name]
	h.observed[name] = current
	grant, held := h.held[name]
	if held && grant.Version < current.version {
		delete(h.held, name)
		go h.Listener.LeaseLost(grant)
		held = false
	}
	rowUnchanged := []connector.Precondition{{Key: journaler.OwnerKey(name), Version: current.version}}
	switch {
	case held || h.claimingStopped:
		return nil
	case current.row.Owner == h.settings.Instance:
		return rowUnchanged
	case current.row.Owner == "":
		if h.belowFairShare() {
			return rowUnchanged
		}
		return nil
	}
	if previous.row.Owner != current.row.Owner || !h.leaseExpired(name, current.version, renewalVersion) {
		return nil
	}
	return append(rowUnchanged, connector.Precondition{Key: renewalKey(current.row.Owner), Version: renewalVersion})
}

// belowFairShare reports whether this instance holds fewer partitions than its share. The caller
// must hold h.mu.
func (h *Holder) belowFairShare() bool {
	instances := max(1, h.LiveInstances())
	return len(h.held) < (len(h.partitions)+instances-1)/instances
}

// leaseExpired reports whether neither row has changed for a whole lease. An instance that already
// holds its share waits twice as long, so that other instances claim the partition first.
func (h *Holder) leaseExpired(name string, ownerVersion, renewalVersion int64) bool {
	w, watched := h.watches[name]
	if !watched || w.ownerVersion != ownerVersion || w.renewalVersion != renewalVersion {
		h.watches[name] = expiryWatch{ownerVersion: ownerVersion, renewalVersion: renewalVersion, since: h.Clock.Now()}
		return false
	}
	wait := h.settings.Lease
	if !h.belowFairShare() {
		wait *= 2
	}
	return h.Clock.Since(w.since) >= wait
}

// claim writes this instance as the owner, under the next epoch, and renews its leases in the same
// transaction.
func (h *Holder) claim(ctx context.Context, name string, current observedRow, preconditions []connector.Precondition) {
	epoch := current.row.Epoch + 1
	transaction, err := h.ownerTransaction(name, h.settings.Instance, epoch)
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
	h.Log.Info("claimed", "partition", name, "epoch", epoch, "from", current.row.Owner)
	if h.Accept(grant) {
		h.RenewalCommitted(sent)
		h.Listener.LeaseAcquired(grant)
	}
}

// ownerTransaction returns a transaction, without preconditions, that writes the owner row.
func (h *Holder) ownerTransaction(name, owner string, epoch modeler.Epoch) (connector.Transaction, error) {
	value, err := json.Marshal(ownerRow{Owner: owner, Epoch: epoch})
	if err != nil {
		return connector.Transaction{}, errors.Wrap(err, "encode owner row")
	}
	put := connector.Put{Key: journaler.OwnerKey(name), Value: value}
	return connector.Transaction{Puts: []connector.Put{put}}, nil
}

// NotHeldError reports that this instance does not hold the partition.
type NotHeldError struct {
	Partition string
}

func (e *NotHeldError) Error() string {
	return fmt.Sprintf("partition %s is not held by this instance", e.Partition)
}

// Transfer writes the successor into the owner row of a held partition, or releases the partition
// if successor is empty. This instance stops holding the partition in any case. After an error, the
// table may or may not name the successor; the next round reads the owner row and claims the
// partition again if this instance is still the owner.
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
		// This is the epoch under which the successor will own the partition.
		next.Epoch++
	}
	transaction, err := h.ownerTransaction(partition, successor, next.Epoch)
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
