package cellscheduler_test

import (
	"context"
	"fmt"
	"slices"
	"time"

	"dotterelpost.example/dotterelpost/internal/connector"
)

// Transact applies a transaction.
func (env *testEnv) Transact(ctx context.Context, transaction connector.Transaction) (connector.Outcome, error) {
	env.mu.Lock()
	blocked := env.blocked
	env.mu.Unlock()
	if blocked != nil {
		select {
		case <-blocked:
		case <-ctx.Done():
			return connector.Outcome{}, &connector.UnreachableError{Err: ctx.Err()}
		}
	}
	env.beginCommit(transaction)
	sleep(env.commitTime())
	env.mu.Lock()
	defer env.mu.Unlock()
	env.endCommit(transaction)
	for _, condition := range transaction.Preconditions {
		if row := env.rows[condition.Key]; row.Version != condition.Version {
			return connector.Outcome{Conflicts: []connector.Row{row}}, nil
		}
	}
	env.version++
	for _, put := range transaction.Puts {
		env.rows[put.Key] = connector.Row{Key: put.Key, Value: put.Value, Version: env.version}
	}
	for _, key := range transaction.Deletes {
		delete(env.rows, key)
	}
	return connector.Outcome{Committed: true, Version: env.version}, nil
}

// commitTime returns how long a transaction that is sent now takes.
func (env *testEnv) commitTime() time.Duration {
	env.mu.Lock()
	defer env.mu.Unlock()
	if !env.serialStore {
		return env.commitDelay
	}
	now := time.Now()
	if env.busyUntil.Before(now) {
		env.busyUntil = now
	}
	env.busyUntil = env.busyUntil.Add(env.commitDelay)
	return env.busyUntil.Sub(now)
}

// beginCommit records the rows that a transaction writes. Concurrent transactions that write the
// same row could take effect in either order, so they fail the test.
func (env *testEnv) beginCommit(transaction connector.Transaction) {
	env.mu.Lock()
	defer env.mu.Unlock()
	// The writer adds a precondition and a put.
	if entries := len(transaction.Preconditions) + len(transaction.Puts) + len(transaction.Deletes) + 2; entries > maxTransactionEntries {
		env.t.Errorf("a transaction has %d entries, the store accepts %d", entries, maxTransactionEntries)
	}
	for _, key := range writtenKeys(transaction) {
		if env.rowsInFlight[inFlightKey(transaction, key)] {
			env.t.Errorf("row %s is in two concurrent transactions", key)
		}
		env.rowsInFlight[inFlightKey(transaction, key)], env.sentKeys[key] = true, true
	}
	env.commitsInFlight++
	env.maxCommitsInFlight = max(env.maxCommitsInFlight, env.commitsInFlight)
}

func (env *testEnv) endCommit(transaction connector.Transaction) {
	for _, key := range writtenKeys(transaction) {
		delete(env.rowsInFlight, inFlightKey(transaction, key))
	}
	env.commitsInFlight--
}

// inFlightKey distinguishes the transactions of several owners, of which the store accepts only those of the last one.
func inFlightKey(transaction connector.Transaction, key string) string {
	if len(transaction.Preconditions) == 0 || transaction.Preconditions[0].Key != ownerKey {
		return key
	}
	return fmt.Sprintf("%s %v", key, transaction.Preconditions[0])
}

func writtenKeys(transaction connector.Transaction) []string {
	all := slices.Clone(transaction.Deletes)
	for _, put := range transaction.Puts {
		all = append(all, put.Key)
	}
	return all
}

// Commit implements cellscheduler.Committer.
func (env *testEnv) Commit(ctx context.Context, transaction connector.Transaction) (connector.Outcome, error) {
	return env.Transact(ctx, transaction)
}

// Snapshot returns the rows of a part.
func (env *testEnv) Snapshot(_ context.Context, table, part string) (connector.Changes, error) {
	if env.rowsBlocked != nil {
		<-env.rowsBlocked
	}
	env.mu.Lock()
	defer env.mu.Unlock()
	env.snapshots[table]++
	if env.snapshots[table] <= env.refusedSnapshots[table] {
		return connector.Changes{}, &connector.RefusedError{Status: 503}
	}
	prefix := table + "/" + part + "/"
	changes, rows := connector.Changes{Version: env.version}, env.rows
	if env.staleRows != nil && env.snapshots[table] == 1 {
		changes.Version, rows = env.staleVersion, env.staleRows
	}
	for key, row := range rows {
		if len(key) > len(prefix) && key[:len(prefix)] == prefix {
			changes.Rows = append(changes.Rows, row)
		}
	}
	return changes, nil
}

// Read returns the existing rows among the keys.
func (env *testEnv) Read(_ context.Context, keys ...string) (map[string]connector.Row, error) {
	env.mu.Lock()
	defer env.mu.Unlock()
	rows := make(map[string]connector.Row)
	for _, key := range keys {
		if row, found := env.rows[key]; found {
			rows[key] = row
		}
	}
	return rows, nil
}
