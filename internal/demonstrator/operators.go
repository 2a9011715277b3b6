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

// submit sends a ticket to the operators' listener of a running instance.
func (c *cell) submit(ctx context.Context, ticket ticketer.Ticket) (status int, body []byte, err error) {
	text, err := json.Marshal(ticket)
	if err != nil {
		return 0, nil, errors.Wrap(err, "encode ticket")
	}
	running := c.running()
	address := running[int(ticket.After)%len(running)].Addresses().Operators
	return c.sendOperatorRequest(ctx, http.MethodPost, "http://"+address.String()+"/v1/tickets", text)
}

func (c *cell) sendOperatorRequest(ctx context.Context, method, target string, text []byte) (status int, body []byte, err error) {
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(text))
	if err != nil {
		return 0, nil, errors.Wrap(err, "build operator request")
	}
	request.Header.Set("Authorization", "Bearer "+operatorToken)
	reply, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, errors.Wrap(err, "send operator request")
	}
	defer reply.Body.Close()
	body, err = io.ReadAll(reply.Body)
	if err != nil {
		return 0, nil, errors.Wrap(err, "read operator response")
	}
	return reply.StatusCode, body, nil
}

// TicketError reports that an example ticket was not accepted.
type TicketError struct {
	Status int
	Body   string
}

func (e *TicketError) Error() string {
	return "ticket not accepted: " + http.StatusText(e.Status) + ": " + e.Body
}

// submitConcurrently has several operators submit the same ticket concurrently, and returns how many
// submissions were accepted.
func (c *cell) submitConcurrently(ctx context.Context, ticket ticketer.Ticket, operators int) (accepted int, err error) {
	var mu sync.Mutex
	var group sync.WaitGroup
	for range operators {
		group.Go(func() {
			status, _, submitErr := c.submit(ctx, ticket)
			mu.Lock()
			defer mu.Unlock()
			if status == http.StatusCreated {
				accepted++
			}
			if submitErr != nil {
				err = submitErr
			}
		})
	}
	group.Wait()
	return accepted, err
}

// ticketObserver records which ticket each instance reports as being in force.
type ticketObserver struct {
	cell         *cell
	mu           sync.Mutex
	observations []auditor.TicketObservation
	acceptedAt   map[int64]time.Time
}

// pollInterval is the time between two queries of all instances.
const pollInterval = 250 * time.Millisecond

func (o *ticketObserver) run(ctx context.Context) {
	for {
		for _, instance := range o.cell.running() {
			o.observe(ctx, instance.Name(), "http://"+instance.Addresses().Operators.String()+"/v1/report")
		}
		select {
		case <-ctx.Done():
			return
		case <-o.cell.clock.After(pollInterval):
		}
	}
}

func (o *ticketObserver) observe(ctx context.Context, instance, target string) {
	status, body, err := o.cell.sendOperatorRequest(ctx, http.MethodGet, target, nil)
	if err != nil || status != http.StatusOK {
		return
	}
	var report adminserver.Report
	if json.Unmarshal(body, &report) != nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.observations = append(o.observations, auditor.TicketObservation{Instance: instance, Number: report.Ticket, At: o.cell.clock.Now()})
}

func (o *ticketObserver) recordAccepted(number int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.acceptedAt[number] = o.cell.clock.Now()
}
