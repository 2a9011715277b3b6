package leaseholder

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/internal/connector"
	"dotterelpost.example/dotterelpost/internal/journaler"
)

// PiggybackRenewal returns the renewal row and its preconditions, to be added to a journal
// transaction that is sent anyway.
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

// ownership returns the preconditions of a renewal: this instance must still own every partition
// that it holds. Without them, a renewal would also succeed after a take-over, for example when a
// network partition heals, and this instance would go on granting task leases and answering for a
// partition that it lost.
func (h *Holder) ownership() []connector.Precondition {
	var preconditions []connector.Precondition
	for _, grant := range h.Held() {
		preconditions = append(preconditions, connector.Precondition{Key: journaler.OwnerKey(grant.Partition), Version: grant.Version})
	}
	return preconditions
}

// RenewalCommitted extends the leases after a renewal that was sent at the given time was
// committed.
func (h *Holder) RenewalCommitted(sent time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.held) == 0 || sent.Before(h.lastRenewal) {
		return
	}
	h.lastRenewal = sent
	h.ownedUntil.Store(sent.Add(h.settings.Lease).UnixNano())
}

// renewedWithin reports whether a renewal, for example by a journal transaction, was sent so
// recently that a separate write is not needed.
func (h *Holder) renewedWithin(interval time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.Clock.Since(h.lastRenewal) < interval
}

// renew writes the renewal row if this instance holds any partition and no journal transaction
// renewed the leases recently.
func (h *Holder) renew(ctx context.Context, timeout time.Duration) {
	preconditions := h.ownership()
	if len(preconditions) == 0 || h.renewedWithin(timeout) {
		return
	}
	put, err := h.renewalPut()
	if err != nil {
		h.Log.Error("renewal not encoded", "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent := h.Clock.Now()
	outcome, err := h.Committer.Commit(ctx, connector.Transaction{Preconditions: preconditions, Puts: []connector.Put{put}})
	if err != nil {
		h.Log.Warn("renewal not written", "error", err)
		return
	}
	if !outcome.Committed {
		h.dropLost(outcome.Conflicts)
		return
	}
	h.RenewalCommitted(sent)
}

// dropLost drops the partitions whose owner rows have changed. The next round renews the others.
func (h *Holder) dropLost(conflicts []connector.Row) {
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
	h.renewalCount++
	count := h.renewalCount
	h.mu.Unlock()
	value, err := json.Marshal(renewalRow{Count: count})
	if err != nil {
		return connector.Put{}, errors.Wrap(err, "encode renewal")
	}
	return connector.Put{Key: renewalKey(h.settings.Instance), Value: value}, nil
}
