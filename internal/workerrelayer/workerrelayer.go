// Package workerrelayer sends an owner's orders to workers through other instances, the relays. An
// order costs the owner a message on the mesh, a tenth of an HTTP request, and reaches the worker over
// a connection within its own zone.
//
// # Usage
//
//	client := workerrelayer.New(workerrelayer.Dependencies{Direct: workers, Relays: selector, CallPeer: callPeer})
//	header, err := client.Start(ctx, worker, order)
//	reply, err := workerrelayer.Serve(ctx, workers, request)
//
// A relay keeps no state and decides nothing. Orders carry the owner's fencing token, so that a worker
// refuses those of a former owner however late a relay delivers them. An order whose relay does not
// reply is in doubt like one whose worker does not reply.
package workerrelayer

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	json "github.com/go-json-experiment/json/v1"

	"dotterelpost.example/dotterelpost/internal/mesher"
	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

// WorkerClient sends orders to workers. Its errors are *workerdriver.RefusedError or
// *workerdriver.InDoubtError.
type WorkerClient interface {
	Start(ctx context.Context, to *workerdriver.Worker, order *workerdriver.Start) (workerdriver.ReplyHeader, error)
	Stop(ctx context.Context, to *workerdriver.Worker, order workerdriver.Stop) (workerdriver.ReplyHeader, error)
	Sync(ctx context.Context, to *workerdriver.Worker, order workerdriver.Sync) (workerdriver.SyncReply, error)
	Throttle(ctx context.Context, to *workerdriver.Worker, order workerdriver.Throttle) error
}

// RelaySelector selects the relay for each worker.
type RelaySelector interface {
	// Relay returns the relay for a worker, or "" if orders should be sent directly.
	Relay(worker *workerdriver.Worker) string
	// RecordFailure records that a relay did not reply.
	RecordFailure(relay string)
}

// Dependencies are the dependencies of a Client.
type Dependencies struct {
	Direct WorkerClient
	Relays RelaySelector
	// CallPeer sends an encoded request to a relay and returns the result of Serve there.
	CallPeer func(ctx context.Context, relay string, request []byte) ([]byte, error)
}

// Client sends orders through relays.
type Client struct{ Dependencies }

// New returns a client.
func New(dependencies Dependencies) *Client { return &Client{Dependencies: dependencies} }

// replyTimeout is how long a relay may take for an order in addition to the time that the worker may
// wait: the relay's own timeout for the worker and the way to the relay and back.
const replyTimeout = 1300 * time.Millisecond

// request is an order for a worker; one of Start, Stop, Sync and Throttle is set.
type request struct {
	Worker   string                 `json:"worker"`
	Address  netip.AddrPort         `json:"address"`
	Start    *workerdriver.Start    `json:"start,omitempty"`
	Stop     *workerdriver.Stop     `json:"stop,omitempty"`
	Sync     *workerdriver.Sync     `json:"sync,omitempty"`
	Throttle *workerdriver.Throttle `json:"throttle,omitempty"`
}

// reply is the worker's reply to an order.
type reply struct {
	Header workerdriver.ReplyHeader `json:"header"`
	// Running, Ended and AllEnds are set in the reply to a Sync. Relays of versions that do not know AllEnds
	// leave it unset.
	Running []workerdriver.RunningTask `json:"running,omitempty"`
	Ended   []workerdriver.EndedTask   `json:"ended,omitempty"`
	AllEnds bool                       `json:"all-ends,omitempty"`
	// Refused is why the worker refused the order, Status the HTTP status with which it did, InDoubt why it is unknown whether the worker has
	// carried it out. NeverSent is set if it certainly has not.
	Refused   workerdriver.Reason `json:"refused,omitempty"`
	Status    int                 `json:"status,omitempty"`
	InDoubt   string              `json:"doubt,omitempty"`
	NeverSent bool                `json:"never-sent,omitempty"`
}

// RelayError reports that an order got no reply from its relay, or that the relay got none from the
// worker.
type RelayError struct {
	Relay  string
	Reason string
}

func (e *RelayError) Error() string { return fmt.Sprintf("through %s: %s", e.Relay, e.Reason) }

// Start sends a start order.
func (c *Client) Start(ctx context.Context, to *workerdriver.Worker, order *workerdriver.Start) (workerdriver.ReplyHeader, error) {
	if relay := c.Relays.Relay(to); relay != "" {
		answer, sent, err := c.send(ctx, relay, to, &request{Start: order}, 0)
		if sent {
			answer.Header.Relay = relay
			return answer.Header, err
		}
	}
	return c.Direct.Start(ctx, to, order)
}

// Stop sends a stop order.
func (c *Client) Stop(ctx context.Context, to *workerdriver.Worker, order workerdriver.Stop) (workerdriver.ReplyHeader, error) {
	if relay := c.Relays.Relay(to); relay != "" {
		answer, sent, err := c.send(ctx, relay, to, &request{Stop: &order}, 0)
		if sent {
			return answer.Header, err
		}
	}
	return c.Direct.Stop(ctx, to, order)
}

// Sync sends a sync order.
func (c *Client) Sync(ctx context.Context, to *workerdriver.Worker, order workerdriver.Sync) (workerdriver.SyncReply, error) {
	if relay := c.Relays.Relay(to); relay != "" {
		answer, sent, err := c.send(ctx, relay, to, &request{Sync: &order}, order.MaxWait)
		if sent {
			return workerdriver.SyncReply{ReplyHeader: answer.Header, Running: answer.Running, Ended: answer.Ended, AllEnds: answer.AllEnds}, err
		}
	}
	return c.Direct.Sync(ctx, to, order)
}

// Throttle sends a throttle order.
func (c *Client) Throttle(ctx context.Context, to *workerdriver.Worker, order workerdriver.Throttle) error {
	if relay := c.Relays.Relay(to); relay != "" {
		if _, sent, err := c.send(ctx, relay, to, &request{Throttle: &order}, 0); sent {
			return err
		}
	}
	return c.Direct.Throttle(ctx, to, order)
}

// send sends an order through a relay. sent is false if the relay certainly did not get it.
func (c *Client) send(parent context.Context, relay string, to *workerdriver.Worker, order *request, wait time.Duration) (answer reply, sent bool, err error) {
	ctx, cancel := context.WithTimeout(parent, wait+replyTimeout)
	defer cancel()
	order.Worker, order.Address = to.Worker, to.Address
	payload, err := json.Marshal(order)
	if err != nil {
		return reply{}, true, &workerdriver.InDoubtError{Worker: to.Worker, NeverSent: true, Err: errors.Wrap(err, "encode order")}
	}
	payload, err = c.CallPeer(ctx, relay, payload)
	if err != nil {
		if parent.Err() == nil {
			// Otherwise the owner has stopped waiting, which says nothing about the relay.
			c.Relays.RecordFailure(relay)
		}
		var notConnected *mesher.NotConnectedError
		if errors.As(err, &notConnected) {
			return reply{}, false, err
		}
		return reply{}, true, &workerdriver.InDoubtError{Worker: to.Worker, Err: err}
	}
	if err := json.Unmarshal(payload, &answer); err != nil {
		return reply{}, true, &workerdriver.InDoubtError{Worker: to.Worker, Err: errors.Wrap(err, "decode the reply of "+relay)}
	}
	switch {
	case answer.Refused != "":
		return answer, true, &workerdriver.RefusedError{Worker: to.Worker, Reason: answer.Refused, Status: answer.Status}
	case answer.InDoubt != "":
		return answer, true, &workerdriver.InDoubtError{Worker: to.Worker, NeverSent: answer.NeverSent, Err: &RelayError{Relay: relay, Reason: answer.InDoubt}}
	default:
		return answer, true, nil
	}
}

// EmptyOrderError reports a request in which no order is set.
type EmptyOrderError struct{}

func (*EmptyOrderError) Error() string { return "the request contains no order" }

// Serve sends the order in a peer's request to its worker and returns the encoded reply. An error
// means that nothing was sent.
func Serve(ctx context.Context, workers WorkerClient, payload []byte) ([]byte, error) {
	var order request
	if err := json.Unmarshal(payload, &order); err != nil {
		return nil, errors.Wrap(err, "decode order")
	}
	to := &workerdriver.Worker{Incarnation: steptracker.Incarnation{Worker: order.Worker}, Address: order.Address}
	var answer reply
	var err error
	switch {
	case order.Start != nil:
		answer.Header, err = workers.Start(ctx, to, order.Start)
	case order.Stop != nil:
		answer.Header, err = workers.Stop(ctx, to, *order.Stop)
	case order.Sync != nil:
		var listing workerdriver.SyncReply
		listing, err = workers.Sync(ctx, to, *order.Sync)
		answer.Header, answer.Running, answer.Ended, answer.AllEnds = listing.ReplyHeader, listing.Running, listing.Ended, listing.AllEnds
	case order.Throttle != nil:
		err = workers.Throttle(ctx, to, *order.Throttle)
	default:
		return nil, &EmptyOrderError{}
	}
	var refused *workerdriver.RefusedError
	var inDoubt *workerdriver.InDoubtError
	switch {
	case err == nil:
	case errors.As(err, &refused):
		answer.Refused, answer.Status = refused.Reason, refused.Status
	case errors.As(err, &inDoubt):
		answer.InDoubt, answer.NeverSent = inDoubt.Err.Error(), inDoubt.NeverSent
	default:
		answer.InDoubt = err.Error()
	}
	text, err := json.Marshal(answer)
	if err != nil {
		return nil, errors.Wrap(err, "encode reply")
	}
	return text, nil
}
