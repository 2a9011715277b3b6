// Package tablewatcher keeps a reader up to date with a table of the store: it reads a snapshot,
// watches for changes, and reads a new snapshot when the store has compacted the history that the
// watch needs.
//
// # Usage
//
//	go tablewatcher.Watch(ctx, tablewatcher.Options{Store: store, Table: "owners", Apply: apply, …})
//
// A watch may lag or stop delivering changes without an error, so a snapshot is also read
// periodically.
package tablewatcher

import (
	"context"
	"log/slog"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"dotterelpost.example/dotterelpost/internal/connector"
)

// Store is the part of the store interface that this package uses.
type Store interface {
	Snapshot(ctx context.Context, table, part string) (connector.Changes, error)
	Watch(ctx context.Context, table string, after int64, wait time.Duration) (connector.Changes, error)
}

// Options are the options of Watch.
type Options struct {
	Store Store
	Clock clockwork.Clock
	Log   *slog.Logger
	Table string
	Part  string
	// WatchTimeout is how long one watch call waits for a change.
	WatchTimeout time.Duration
	// ResyncInterval is the interval at which a new snapshot is read. It is longer for a snapshot that takes
	// long, so that snapshots take at most a twentieth of the time.
	ResyncInterval time.Duration
	// Apply is called with all rows when snapshot is set, and otherwise with the rows that changed.
	// All calls are made by one goroutine.
	Apply func(rows []connector.Row, snapshot bool)
	// Confirmed is called after Apply, or instead of it if nothing has changed, with the uptime at which
	// the call was sent whose answer shows that the reader is up to date, and the version of that answer. An
	// answer that is older than an earlier one does not show that. It may be nil; if it is not, Uptime must
	// be set.
	Confirmed func(sentAt time.Duration, version int64)
	Uptime    UptimeReader
}

// UptimeReader reads the time since the machine started, including the time for which it was suspended.
type UptimeReader interface {
	Uptime() time.Duration
}

// The delay after a failed call grows exponentially from initialBackoff to maxBackoff.
const (
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
)

// minResyncRatio is the shortest time from one snapshot to the next, in the time that a snapshot takes.
const minResyncRatio = 20

// Watch calls Apply with snapshots and changes of the table until the context ends.
func Watch(ctx context.Context, o Options) {
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval, retryBackoff.MaxInterval = initialBackoff, maxBackoff
	failing := false
	var after, newest int64
	var snapshotAt time.Time
	resyncInterval := o.ResyncInterval
	for ctx.Err() == nil {
		var changes connector.Changes
		var err error
		sentAt, startedAt := o.uptime(), o.Clock.Now()
		snapshotDue := snapshotAt.IsZero() || o.Clock.Since(snapshotAt) > resyncInterval
		if snapshotDue {
			changes, err = o.Store.Snapshot(ctx, o.Table, o.Part)
		} else {
			changes, err = o.Store.Watch(ctx, o.Table, after, o.WatchTimeout)
		}
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			var compacted *connector.CompactedError
			if errors.As(err, &compacted) {
				o.Log.Info("history forgotten", "table", o.Table, "after", after)
				snapshotAt = time.Time{}
				continue
			}
			if !failing {
				o.Log.Warn("table lost", "table", o.Table, "version", after, "error", err)
			}
			failing = true
			o.sleep(ctx, retryBackoff.NextBackOff())
			continue
		}
		if failing {
			o.Log.Info("table regained", "table", o.Table, "version", changes.Version)
		}
		failing = false
		retryBackoff.Reset()
		after = changes.Version
		if snapshotDue {
			snapshotAt = o.Clock.Now()
			resyncInterval = max(o.ResyncInterval, snapshotAt.Sub(startedAt)*minResyncRatio)
		}
		if snapshotDue || len(changes.Rows) > 0 {
			o.Apply(changes.Rows, snapshotDue)
		}
		if o.Confirmed != nil && changes.Version >= newest {
			o.Confirmed(sentAt, changes.Version)
		}
		newest = max(newest, changes.Version)
	}
}

func (o *Options) uptime() time.Duration {
	if o.Uptime == nil {
		return 0
	}
	return o.Uptime.Uptime()
}

func (o *Options) sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-o.Clock.After(duration):
	}
}
