// Package tablewatcher keeps a reader up to date with a table of the store: it reads the rows, watches
// for changes, and reads anew when the store has forgotten its history.
//
// # Usage
//
//	go tablewatcher.Follow(ctx, tablewatcher.Options{Store: store, Table: "owners", Apply: apply, …})
//
// A watch may be behind or cut off without a word, so the rows are also read anew from time to time.
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

// Store is what the package needs of the platform's store.
type Store interface {
	Snapshot(ctx context.Context, table, part string) (connector.Changes, error)
	Watch(ctx context.Context, table string, after int64, wait time.Duration) (connector.Changes, error)
}

// Options of a watcher.
type Options struct {
	Store Store
	Clock clockwork.Clock
	Log   *slog.Logger
	Table string
	Part  string
	// WatchTimeout is how long one watch waits for a change.
	WatchTimeout time.Duration
	// ResyncInterval is after how much time the rows are read anew.
	ResyncInterval time.Duration
	// Apply is called with all rows when whole is set, and otherwise with those that changed. It is
	// called by one goroutine.
	Apply func(rows []connector.Row, whole bool)
}

// The pause after a failed call grows from the first to the last of these.
const (
	firstPause = 50 * time.Millisecond
	lastPause  = 500 * time.Millisecond
)

// Watch runs until the context ends.
func Watch(ctx context.Context, o Options) {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval, pauses.MaxInterval = firstPause, lastPause
	lost := false
	var after int64
	var readAt time.Time
	for ctx.Err() == nil {
		var changes connector.Changes
		var err error
		whole := readAt.IsZero() || o.Clock.Since(readAt) > o.ResyncInterval
		if whole {
			changes, err = o.Store.Snapshot(ctx, o.Table, o.Part)
		} else {
			changes, err = o.Store.Watch(ctx, o.Table, after, o.WatchTimeout)
		}
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			var forgotten *connector.CompactedError
			if errors.As(err, &forgotten) {
				o.Log.Info("history forgotten", "table", o.Table, "after", after)
				readAt = time.Time{}
				continue
			}
			if !lost {
				o.Log.Warn("table lost", "table", o.Table, "version", after, "error", err)
			}
			lost = true
			o.pause(ctx, pauses.NextBackOff())
			continue
		}
		if lost {
			o.Log.Info("table regained", "table", o.Table, "version", changes.Version)
		}
		lost = false
		pauses.Reset()
		after = changes.Version
		if whole {
			readAt = o.Clock.Now()
		}
		if whole || len(changes.Rows) > 0 {
			o.Apply(changes.Rows, whole)
		}
	}
}

func (o *Options) pause(ctx context.Context, pause time.Duration) {
	select {
	case <-ctx.Done():
	case <-o.Clock.After(pause):
	}
}
