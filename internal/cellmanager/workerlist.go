package cellmanager

import (
	"dotterelpost.example/dotterelpost/internal/cellscheduler"
	"dotterelpost.example/dotterelpost/internal/connector"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

// maxLoggedEntries limits the entries that a workerList logs as invalid.
const maxLoggedEntries = 100

// workerList passes the platform's list of workers to the scheduler of a cell. The list may contain entries by
// other writers.
type workerList struct {
	manager   *Manager
	scheduler *cellscheduler.Scheduler
	relays    *relaySelector
	// invalid holds the IDs of the entries that have been logged as invalid and were not valid since.
	invalid map[string]bool
}

// apply processes the rows that have changed, or all rows of a snapshot. An entry that is or has become invalid names
// no worker.
func (l *workerList) apply(rows []connector.Row, snapshot bool) {
	var ofCell []workerdriver.Worker
	var removed []string
	for _, row := range rows {
		id, known := rowID(row.Key)
		if !known {
			continue
		}
		if row.Value == nil {
			delete(l.invalid, id)
			removed = append(removed, id)
			continue
		}
		worker, err := l.manager.Decoders.Worker(row.Key, row.Value)
		if err != nil {
			l.logInvalid(id, row.Version, err)
			removed = append(removed, id)
			continue
		}
		delete(l.invalid, id)
		if worker.Service == l.scheduler.Claim().Cell {
			ofCell = append(ofCell, worker)
		}
	}
	l.relays.updateWorkers(ofCell, removed, snapshot)
	l.scheduler.UpdateWorkers(ofCell, removed, snapshot)
}

// logInvalid logs an invalid entry once, however often it is read or written.
func (l *workerList) logInvalid(id string, version int64, err error) {
	if l.invalid[id] || len(l.invalid) >= maxLoggedEntries {
		return
	}
	l.invalid[id] = true
	l.manager.Log.Warn("invalid worker row", "worker", id, "version", version, "error", err)
}

// rowID returns the part of a row's key after the second slash, and false if it is empty or missing.
func rowID(key string) (string, bool) {
	slashes := 0
	for i := range key {
		if key[i] == '/' {
			if slashes++; slashes == 2 {
				return key[i+1:], i+1 < len(key)
			}
		}
	}
	return "", false
}
