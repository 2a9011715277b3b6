package demonstrator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/internal/adminserver"
	"dotterelpost.example/dotterelpost/internal/auditor"
	"dotterelpost.example/dotterelpost/internal/ticketer"
)

// submit sends a ticket to the operators' listener of any instance.
func (c *cell) submit(ctx context.Context, ticket ticketer.Ticket) (status int, body []byte, err error) {
	text, err := json.Marshal(ticket)
	if err != nil {
		return 0, nil, errors.Wrap(err, "encode ticket")
	}
	running := c.running()
	address := running[int(ticket.After)%len(running)].Addresses().Operators
	return c.operate(ctx, http.MethodPost, "http://"+address.String()+"/v1/tickets", text)
}

func (c *cell) operate(ctx context.Context, method, target string, text []byte) (status int, body []byte, err error) {
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(text))
	if err != nil {
		return 0, nil, errors.Wrap(err, "build operator's request")
	}
	request.Header.Set("Authorization", "Bearer "+operatorToken)
	reply, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, errors.Wrap(err, "operator's request")
	}
	defer reply.Body.Close()
	body, err = io.ReadAll(reply.Body)
	if err != nil {
		return 0, nil, errors.Wrap(err, "read operator's answer")
	}
	return reply.StatusCode, body, nil
}

// TicketError tells that a ticket of the demo was not accepted.
type TicketError struct {
	Status int
	Body   string
}

func (e *TicketError) Error() string {
	return "ticket not accepted: " + http.StatusText(e.Status) + ": " + e.Body
}

// race has several operators submit a ticket after the same number, and returns how many won.
func (c *cell) race(ctx context.Context, ticket ticketer.Ticket, operators int) (won int, err error) {
	var mu sync.Mutex
	var racing sync.WaitGroup
	for range operators {
		racing.Go(func() {
			status, _, failure := c.submit(ctx, ticket)
			mu.Lock()
			defer mu.Unlock()
			if status == http.StatusCreated {
				won++
			}
			if failure != nil {
				err = failure
			}
		})
	}
	racing.Wait()
	return won, err
}

// watcher notes which ticket each instance says it has in force.
type watcher struct {
	cell      *cell
	mu        sync.Mutex
	sightings []auditor.TicketObservation
	accepted  map[int64]time.Time
}

// watchInterval is the time between two looks.
const watchInterval = 250 * time.Millisecond

func (w *watcher) run(ctx context.Context) {
	for {
		for _, instance := range w.cell.running() {
			w.look(ctx, instance.Name(), "http://"+instance.Addresses().Operators.String()+"/v1/report")
		}
		select {
		case <-ctx.Done():
			return
		case <-w.cell.clock.After(watchInterval):
		}
	}
}

func (w *watcher) look(ctx context.Context, instance, target string) {
	status, body, err := w.cell.operate(ctx, http.MethodGet, target, nil)
	if err != nil || status != http.StatusOK {
		return
	}
	var report adminserver.Report
	if json.Unmarshal(body, &report) != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sightings = append(w.sightings, auditor.TicketObservation{Instance: instance, Number: report.Ticket, At: w.cell.clock.Now()})
}

func (w *watcher) accept(number int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.accepted[number] = w.cell.clock.Now()
}
