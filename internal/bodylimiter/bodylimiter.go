// Package bodylimiter limits the memory that request bodies hold while they are received and decoded, and the time
// that they may take.
//
// # Usage
//
//	limiter := bodylimiter.New(bodylimiter.Budget(memoryLimit, maxBodyBytes), clock, log)
//	err := limiter.Read(w, r, maxBodyBytes, timeout, func(data []byte) { job, err = decode(data) })
//	if err != nil {
//		// *EndedError: refuse the request and close the connection; *http.MaxBytesError: too large
//	}
//
// Read charges the buffer of a body against the budget as bytes arrive, whatever length was declared. The
// first FreeBytes of a body are part of what a connection costs and are not charged, so that small bodies pass beside a
// full budget. When others need the budget, bodies without progress give way, then those that have been open longest.
package bodylimiter

import (
	"expvar"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"
)

const (
	// FreeBytes is the part of a body that is not charged.
	FreeBytes = 4 << 10
	// memoryDivisor is the inverse of the share of the memory limit that bodies may hold.
	memoryDivisor = 8
	// unlimitedBudget is the budget of a process without a memory limit.
	unlimitedBudget = 32 << 20
	// minBudgetBodies is the number of bodies of the largest size that any budget has room for.
	minBudgetBodies = 4
	// stallTimeout is how long a body may make no progress.
	stallTimeout = 5 * time.Second
	// maxBodyTime limits how long a body may take if its caller waits longer.
	maxBodyTime = 30 * time.Second
	// logInterval and logBurst limit the logged bodies.
	logInterval = 100 * time.Millisecond
	logBurst    = 10
)

// longAgo is a read deadline that ends a pending read.
var longAgo = time.Unix(1, 0)

// EndedError reports that a body was ended before it was whole. Nothing was done with it.
type EndedError struct {
	Reason Reason
}

func (e *EndedError) Error() string {
	switch e.Reason {
	case NoProgress, TooSlow:
		return "the request body did not arrive in time; send it again on a new connection"
	case BudgetFull, GaveWay:
	}
	return "too many request bodies are being received; send it again later"
}

// Limiter limits the bodies of a process. Its methods may be called concurrently.
type Limiter struct {
	clock clockwork.Clock
	log   *slog.Logger

	mu     sync.Mutex
	ledger ledger

	// decoding has room for the one charged body that is being decoded, because its content may take more
	// memory than the body.
	decoding chan struct{}
	counts   map[Reason]*expvar.Int
	logged   *rate.Limiter
	unlogged atomic.Int64
}

// Budget returns the budget of a process with a memory limit, 0 for none, whose largest body has maxBytes.
func Budget(memoryLimit, maxBytes int64) int64 {
	if memoryLimit <= 0 {
		return max(unlimitedBudget, minBudgetBodies*maxBytes)
	}
	return max(memoryLimit/memoryDivisor, minBudgetBodies*maxBytes)
}

// New returns a limiter with a budget in bytes.
func New(budget int64, clock clockwork.Clock, log *slog.Logger) *Limiter {
	l := &Limiter{
		clock: clock, log: log, ledger: ledger{budget: budget}, decoding: make(chan struct{}, 1),
		counts: make(map[Reason]*expvar.Int), logged: rate.NewLimiter(rate.Every(logInterval), logBurst),
	}
	for _, reason := range []Reason{BudgetFull, GaveWay, NoProgress, TooSlow} {
		l.counts[reason] = new(expvar.Int)
	}
	return l
}

// Map returns the metrics: held and allowed bytes, the number of incomplete bodies that are charged, and the number of
// bodies ended for each reason.
func (l *Limiter) Map() *expvar.Map {
	m := new(expvar.Map).Init()
	m.Set("held-bytes", expvar.Func(func() any { return l.held() }))
	m.Set("budget-bytes", expvar.Func(func() any { return l.ledger.budget }))
	m.Set("open", expvar.Func(func() any {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.ledger.open.Len()
	}))
	for reason, count := range l.counts {
		m.Set("ended-"+string(reason), count)
	}
	return m
}

func (l *Limiter) held() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.held
}

// Guard limits how long the body of a request may take that is not read, or not with Read: the server discards it.
func (l *Limiter) Guard(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		// It fails only for a ResponseWriter without a connection.
		_ = http.NewResponseController(w).SetReadDeadline(l.clock.Now().Add(stallTimeout))
	}
}

// noRelease is the release function of a body that is not charged.
func noRelease() {}

// Read reads a body of at most limit bytes for a caller that waits for timeout, and calls decode with it. What the body
// holds is returned when decode has returned or panicked. The error is an *EndedError, an *http.MaxBytesError or that of
// the connection; decode has not been called then.
func (l *Limiter) Read(w http.ResponseWriter, r *http.Request, limit int64, timeout time.Duration, decode func(data []byte)) error {
	data, release, err := l.read(w, r, limit, timeout)
	if err != nil {
		return err
	}
	defer release()
	decode(data)
	return nil
}

// read reads a body. The function release returns what it holds.
func (l *Limiter) read(w http.ResponseWriter, r *http.Request, limit int64, timeout time.Duration) (data []byte, release func(), err error) {
	if r.ContentLength > limit {
		return nil, nil, &http.MaxBytesError{Limit: limit}
	}
	reader := &reader{
		limiter: l, body: http.MaxBytesReader(w, r.Body, limit), connection: http.NewResponseController(w),
		started: l.clock.Now(), timeout: min(timeout, maxBodyTime),
	}
	size := int64(FreeBytes)
	if r.ContentLength >= 0 {
		size = min(size, r.ContentLength)
	}
	// It fails only for a ResponseWriter without a connection.
	_ = reader.connection.SetReadDeadline(reader.deadline(reader.started))
	data, err = reader.read(make([]byte, 0, size), r.ContentLength, limit)
	if err != nil {
		reader.close()
		return nil, nil, l.ended(reader, err)
	}
	_ = reader.connection.SetReadDeadline(time.Time{})
	if reader.entry == nil {
		return data, noRelease, nil
	}
	l.mu.Lock()
	l.ledger.close(reader.entry)
	l.mu.Unlock()
	select {
	case l.decoding <- struct{}{}:
	case <-r.Context().Done():
		reader.close()
		return nil, nil, r.Context().Err()
	}
	return data, func() {
		<-l.decoding
		reader.close()
	}, nil
}

// ended returns the error for a body that was not read completely. If it was ended, it is counted and nothing more is
// read from the connection.
func (l *Limiter) ended(r *reader, err error) error {
	var ended *EndedError
	if errors.As(err, &ended) {
		_ = r.connection.SetReadDeadline(longAgo)
		l.counts[ended.Reason].Add(1)
		now := l.clock.Now()
		if l.logged.AllowN(now, 1) {
			l.log.Info("request body ended", "reason", ended.Reason, "received-bytes", r.received, "open-ms", now.Sub(r.started).Milliseconds(),
				"held-bytes", l.held(), "unlogged", l.unlogged.Swap(0))
		} else {
			l.unlogged.Add(1)
		}
	}
	return err
}

// reader reads one body.
type reader struct {
	limiter    *Limiter
	body       io.Reader
	connection *http.ResponseController
	started    time.Time
	timeout    time.Duration
	received   int64
	// entry is nil until the body is charged.
	entry *entry
}

// deadline returns until when a body that made progress now may take for the next bytes.
func (r *reader) deadline(now time.Time) time.Time {
	end := r.started.Add(r.timeout)
	if stalled := now.Add(stallTimeout); stalled.Before(end) {
		return stalled
	}
	return end
}

// read reads the body into a buffer and returns it.
func (r *reader) read(buffer []byte, declared, limit int64) ([]byte, error) {
	for int64(len(buffer)) != declared {
		if len(buffer) == cap(buffer) {
			var err error
			if buffer, err = r.grow(buffer, declared, limit); err != nil {
				return nil, err
			}
		}
		n, err := r.body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		r.received += int64(n)
		switch {
		case errors.Is(err, io.EOF):
			return buffer, nil
		case err != nil:
			return nil, r.reason(err)
		case r.entry != nil:
			if err := r.progress(); err != nil {
				return nil, err
			}
		}
	}
	return buffer, nil
}

// grow doubles a buffer, up to the declared length or one byte more than the limit.
func (r *reader) grow(buffer []byte, declared, limit int64) ([]byte, error) {
	size := min(2*int64(cap(buffer)), limit+1)
	if declared >= 0 {
		size = min(size, declared)
	}
	previous := int64(0)
	if r.entry != nil {
		previous = r.entry.held
	}
	if err := r.take(size); err != nil {
		return nil, err
	}
	larger := make([]byte, len(buffer), size)
	copy(larger, buffer)
	r.limiter.mu.Lock()
	defer r.limiter.mu.Unlock()
	r.limiter.ledger.give(r.entry, previous)
	return larger, nil
}

// take charges the body with more bytes.
func (r *reader) take(amount int64) error {
	l := r.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	if r.entry == nil {
		r.entry = &entry{interrupt: func() { _ = r.connection.SetReadDeadline(longAgo) }}
		l.ledger.add(r.entry, now)
	}
	if r.entry.reason != "" {
		return &EndedError{Reason: r.entry.reason}
	}
	refusal, ended := l.ledger.take(r.entry, amount, now)
	for _, other := range ended {
		other.interrupt()
	}
	if refusal != "" {
		return &EndedError{Reason: refusal}
	}
	return nil
}

// progress records that bytes have arrived and sets the deadline for the next.
func (r *reader) progress() error {
	l := r.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.entry.reason != "" {
		return &EndedError{Reason: r.entry.reason}
	}
	now := l.clock.Now()
	l.ledger.progress(r.entry, now)
	// The mutex is held, so that the deadline does not replace that of interrupt.
	_ = r.connection.SetReadDeadline(r.deadline(now))
	return nil
}

// reason returns the error for a failed read: an *EndedError if the body was told to end or its deadline has passed.
func (r *reader) reason(err error) error {
	var timeout interface{ Timeout() bool }
	if !errors.As(err, &timeout) || !timeout.Timeout() {
		return err
	}
	r.limiter.mu.Lock()
	defer r.limiter.mu.Unlock()
	if r.entry != nil && r.entry.reason != "" {
		return &EndedError{Reason: r.entry.reason}
	}
	if r.limiter.clock.Since(r.started) >= r.timeout {
		return &EndedError{Reason: TooSlow}
	}
	return &EndedError{Reason: NoProgress}
}

// close returns what the body holds.
func (r *reader) close() {
	if r.entry == nil {
		return
	}
	l := r.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ledger.close(r.entry)
	l.ledger.give(r.entry, r.entry.held)
}
