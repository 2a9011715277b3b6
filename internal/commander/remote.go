package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/internal/adminserver"
	"dotterelpost.example/dotterelpost/pkg/caller"
)

// operatorCallTimeout is the timeout of a call to an operators' listener.
const operatorCallTimeout = 20 * time.Second

// UnreachableError reports that an instance was not reached or that its answer left the outcome open.
type UnreachableError struct {
	Address string
	Reason  string
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("%s: %s; check the address or use another instance", e.Address, e.Reason)
}

// operatorOptions are the flags of commands that call an operators' listener.
type operatorOptions struct {
	Operators string `long:"operators" env:"DOTTERELPOST_OPERATORS" description:"address of an operators' listener" required:"true"`
	Token     string `long:"token-file" env:"DOTTERELPOST_OPERATOR_TOKEN_FILE" description:"file that holds the operator's token" required:"true"`
	JSON      bool   `long:"json" description:"write JSON"`
}

// callerOptions are the flags of commands that call callers' listeners.
type callerOptions struct {
	Callers string        `long:"callers" env:"DOTTERELPOST_CALLERS" description:"comma-separated addresses of callers' listeners" required:"true"`
	Token   string        `long:"token-file" env:"DOTTERELPOST_CALLER_TOKEN_FILE" description:"file that holds the caller's token" required:"true"`
	JSON    bool          `long:"json" description:"write JSON"`
	Timeout time.Duration `long:"timeout" default:"60s" description:"how long to retry before the answer is considered unknown"`
}

func readToken(file string) (string, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return "", &InputError{Reason: err.Error(), Remedy: "give a readable file that contains only the token"}
	}
	return strings.TrimSpace(string(text)), nil
}

func parseAddresses(list string) ([]netip.AddrPort, error) {
	var addresses []netip.AddrPort
	for _, text := range strings.Split(list, ",") {
		address, err := netip.ParseAddrPort(strings.TrimSpace(text))
		if err != nil {
			return nil, &InputError{Reason: err.Error(), Remedy: "write an address as 127.0.0.1:7001"}
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// client returns a caller's client, a context that ends at the timeout, and the function that releases
// both.
func (o *callerOptions) client(s *session) (*caller.Client, context.Context, func(), error) {
	addresses, err := parseAddresses(o.Callers)
	if err != nil {
		return nil, nil, nil, err
	}
	token, err := readToken(o.Token)
	if err != nil {
		return nil, nil, nil, err
	}
	client, closeClient := caller.New(caller.Settings{Endpoints: addresses, Token: token})
	ctx, cancel := context.WithTimeout(s.ctx, o.Timeout)
	return client, ctx, func() { cancel(); closeClient() }, nil
}

// call sends a request to the operators' listener and decodes the response into reply.
func (o *operatorOptions) call(s *session, method, path string, body []byte, reply any) error {
	addresses, err := parseAddresses(o.Operators)
	if err != nil {
		return err
	}
	token, err := readToken(o.Token)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(s.ctx, operatorCallTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+addresses[0].String()+path, bytes.NewReader(body))
	if err != nil {
		return &InputError{Reason: err.Error(), Remedy: "see --help"}
	}
	request.Header.Set("Authorization", "Bearer "+token)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return &UnreachableError{Address: o.Operators, Reason: err.Error()}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return &UnreachableError{Address: o.Operators, Reason: err.Error()}
	}
	if response.StatusCode/100 != 2 {
		return responseError(o.Operators, response.StatusCode, text)
	}
	if err := json.Unmarshal(text, reply); err != nil {
		return errors.Wrap(err, "decode the response of "+o.Operators)
	}
	return nil
}

func responseError(address string, status int, text []byte) error {
	var response adminserver.ErrorResponse
	if json.Unmarshal(text, &response) != nil || response.Error == "" {
		response.Error = string(text)
	}
	switch {
	case len(response.Faults) > 0:
		return response.Faults
	case status == http.StatusConflict, status == http.StatusNotFound:
		return &NegativeError{Reason: response.Error}
	case status == http.StatusUnauthorized:
		return &InputError{Reason: response.Error, Remedy: "check --token-file"}
	default:
		return &UnreachableError{Address: address, Reason: response.Error}
	}
}
