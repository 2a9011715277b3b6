package ticketer

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"dotterelpost.example/dotterelpost/internal/connector"
)

// headKey is the key of the row that holds the state in force.
const headKey = "ticket/head"

// historyKey returns the key of the row that holds an accepted ticket.
func historyKey(number int64) string { return fmt.Sprintf("ticket/%012d", number) }

// ConflictError reports that another ticket has been accepted since the one numbered After. Current
// is the state in force.
type ConflictError struct {
	After   int64
	Current State
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("ticket after %d lost the race: number %d by %s is in force (%s); review it and submit the ticket again with after set to %d",
		e.After, e.Current.Number, e.Current.Author, e.Current.Reason, e.Current.Number)
}

// NotFoundError reports that there is no ticket with the number.
type NotFoundError struct {
	Number int64
}

func (e *NotFoundError) Error() string { return fmt.Sprintf("there is no ticket %d", e.Number) }

// Reader reads rows of the table.
type Reader interface {
	Read(ctx context.Context, keys ...string) (map[string]connector.Row, error)
}

// Committer commits a transaction. If the reply is lost, it finds out the outcome.
type Committer interface {
	Commit(ctx context.Context, transaction connector.Transaction) (connector.Outcome, error)
}

// Store reads tickets from the table and accepts new ones.
type Store struct {
	reader    Reader
	committer Committer
	clock     clockwork.Clock
}

// NewStore returns a Store that uses the given table access.
func NewStore(reader Reader, committer Committer, clock clockwork.Clock) *Store {
	return &Store{reader: reader, committer: committer, clock: clock}
}

// Head reads the state in force from the table.
func (s *Store) Head(ctx context.Context) (*State, error) {
	state, _, err := s.head(ctx)
	return state, err
}

// head also returns the version of the head row, which is 0 if no ticket has been accepted.
func (s *Store) head(ctx context.Context) (*State, int64, error) {
	rows, err := s.reader.Read(ctx, headKey)
	if err != nil {
		return nil, 0, errors.Wrap(err, "read the ticket in force")
	}
	row := rows[headKey]
	state := &State{}
	if row.Version == 0 {
		return state, 0, nil
	}
	if err := json.Unmarshal(row.Value, state); err != nil {
		return nil, 0, errors.Wrap(err, "decode the ticket in force")
	}
	return state, row.Version, nil
}

// Submit checks a ticket against the state in force and accepts it. The error is of type
// validator.Faults if the ticket is invalid and of type *ConflictError if it is based on an outdated
// number; any other error means that the table could not be read or written.
func (s *Store) Submit(ctx context.Context, ticket Ticket) (*State, error) {
	state, version, err := s.head(ctx)
	if err != nil {
		return nil, err
	}
	if state.Number != ticket.After {
		return nil, &ConflictError{After: ticket.After, Current: *state}
	}
	if faults := Check("ticket", state, ticket); len(faults) > 0 {
		return nil, faults
	}
	next := state.Apply(ticket, s.clock.Now())
	transaction, err := newTransaction(ticket, next, version)
	if err != nil {
		return nil, err
	}
	outcome, err := s.committer.Commit(ctx, transaction)
	if err != nil {
		return nil, err
	}
	if !outcome.Committed {
		return nil, s.conflict(ctx, ticket)
	}
	return next, nil
}

// conflict returns the error for a ticket whose compare-and-set failed.
func (s *Store) conflict(ctx context.Context, ticket Ticket) error {
	current, err := s.Head(ctx)
	if err != nil {
		return err
	}
	return &ConflictError{After: ticket.After, Current: *current}
}

// newTransaction replaces the head row, provided that it still has the given version, and adds the
// ticket to the history.
func newTransaction(ticket Ticket, next *State, version int64) (connector.Transaction, error) {
	head, err := json.Marshal(next)
	if err != nil {
		return connector.Transaction{}, errors.Wrap(err, "encode state")
	}
	body, err := json.Marshal(ticket)
	if err != nil {
		return connector.Transaction{}, errors.Wrap(err, "encode ticket")
	}
	return connector.Transaction{
		Preconditions: []connector.Precondition{{Key: headKey, Version: version}},
		Puts: []connector.Put{
			{Key: headKey, Value: head},
			{Key: historyKey(next.Number), Value: body},
		},
	}, nil
}

// Get reads an accepted ticket. The error is a *NotFoundError if there is none with the number.
func (s *Store) Get(ctx context.Context, number int64) (Ticket, error) {
	var ticket Ticket
	rows, err := s.reader.Read(ctx, historyKey(number))
	if err != nil {
		return ticket, errors.Wrap(err, "read ticket")
	}
	row := rows[historyKey(number)]
	if row.Version == 0 {
		return ticket, &NotFoundError{Number: number}
	}
	if err := json.Unmarshal(row.Value, &ticket); err != nil {
		return ticket, errors.Wrap(err, "decode ticket")
	}
	return ticket, nil
}

// Follower holds the state in force on one instance. It is safe for concurrent use.
type Follower struct {
	current   atomic.Pointer[State]
	confirmed atomic.Pointer[time.Time]
	mu        sync.Mutex
	listeners []func(*State)
}

// NewFollower returns a Follower with the empty state, whose number is 0.
func NewFollower() *Follower {
	f := &Follower{}
	f.current.Store(&State{})
	return f
}

// OnChange registers a function that is called with each newer state, in order. It must be called
// before the first Advance.
func (f *Follower) OnChange(listener func(*State)) { f.listeners = append(f.listeners, listener) }

// State returns the state in force on this instance. Its number never decreases.
func (f *Follower) State() *State { return f.current.Load() }

// InForceLimit is how long after its acceptance a ticket must be in force at all instances.
const InForceLimit = 13 * time.Second

// clockDriftPercent is subtracted from InForceLimit: the clock of an instance may be that much slower than the
// one by which the limit counts.
const clockDriftPercent = 2

// Confirm records that no newer state was in the table when a read was sent, at a time of this instance's clock.
func (f *Follower) Confirm(sentAt time.Time) {
	for {
		known := f.confirmed.Load()
		if known != nil && !known.Before(sentAt) || f.confirmed.CompareAndSwap(known, &sentAt) {
			return
		}
	}
}

// Proven reports whether each ticket that was accepted longer ago than InForceLimit is known not to be newer than the
// state on this instance. If it is not, the state does not show that a contract does not exist.
func (f *Follower) Proven(now time.Time) bool {
	known := f.confirmed.Load()
	return known != nil && now.Sub(*known) <= InForceLimit*(100-clockDriftPercent)/100
}

// Advance puts a state in force if its number is higher than the current one, and reports whether it
// did.
func (f *Follower) Advance(state *State) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if state.Number <= f.current.Load().Number {
		return false
	}
	f.current.Store(state)
	for _, listener := range f.listeners {
		listener(state)
	}
	return true
}
