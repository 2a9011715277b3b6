package ticketer

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"dotterelpost.example/dotterelpost/internal/connector"
)

// headKey is the row that holds the state in force.
const headKey = "ticket/head"

// historyKey is the row that keeps the ticket itself.
func historyKey(number int64) string { return fmt.Sprintf("ticket/%012d", number) }

// ConflictError tells that another ticket was accepted since the one that the author saw.
type ConflictError struct {
	After   int64
	Current State
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("ticket after %d lost the race: number %d by %s is in force (%s); look at it and submit anew after %d",
		e.After, e.Current.Number, e.Current.Author, e.Current.Reason, e.Current.Number)
}

// NotFoundError tells that there is no ticket of that number.
type NotFoundError struct {
	Number int64
}

func (e *NotFoundError) Error() string { return fmt.Sprintf("there is no ticket %d", e.Number) }

// Reader reads rows of the table.
type Reader interface {
	Read(ctx context.Context, keys ...string) (map[string]connector.Row, error)
}

// Committer commits a transaction and resolves a lost reply.
type Committer interface {
	Commit(ctx context.Context, transaction connector.Transaction) (connector.Outcome, error)
}

// Store accepts tickets.
type Store struct {
	reader    Reader
	committer Committer
	clock     clockwork.Clock
}

// NewStore returns a store of tickets.
func NewStore(reader Reader, committer Committer, clock clockwork.Clock) *Store {
	return &Store{reader: reader, committer: committer, clock: clock}
}

// Head reads the state in force from the table.
func (s *Store) Head(ctx context.Context) (*State, error) {
	state, _, err := s.head(ctx)
	return state, err
}

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

// Submit checks a ticket whole against the state in force and accepts it. The error is Faults, a
// *ConflictError, or tells that the table did not answer.
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

func (s *Store) conflict(ctx context.Context, ticket Ticket) error {
	current, err := s.Head(ctx)
	if err != nil {
		return err
	}
	return &ConflictError{After: ticket.After, Current: *current}
}

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

// Get reads an accepted ticket.
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

// Follower holds the state in force on one instance. Any goroutine may read it.
type Follower struct {
	current   atomic.Pointer[State]
	mu        sync.Mutex
	listeners []func(*State)
}

// NewFollower returns a follower that knows no ticket yet.
func NewFollower() *Follower {
	f := &Follower{}
	f.current.Store(&State{})
	return f
}

// OnChange has a function called with each newer state, in order. Call it before the first Offer.
func (f *Follower) OnChange(listener func(*State)) { f.listeners = append(f.listeners, listener) }

// State returns the state in force here. Its number never decreases.
func (f *Follower) State() *State { return f.current.Load() }

// Advance puts a state in force if its number is higher, and tells whether it did.
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
