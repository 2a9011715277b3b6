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

// remoteTimeout bounds an operator's call.
const remoteTimeout = 20 * time.Second

// UnreachableError tells that an instance gave no certain answer.
type UnreachableError struct {
	Address string
	Reason  string
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("%s: %s; check the address, or ask another instance", e.Address, e.Reason)
}

// operatorOptions say which instance an operator's command talks to.
type operatorOptions struct {
	Operators string `long:"operators" env:"DOTTERELPOST_OPERATORS" description:"address of an operators' listener" required:"true"`
	Token     string `long:"token-file" env:"DOTTERELPOST_OPERATOR_TOKEN_FILE" description:"file that holds the operator's token" required:"true"`
	JSON      bool   `long:"json" description:"write JSON"`
}

// callerOptions say as whom and where a caller's command sends.
type callerOptions struct {
	Callers string        `long:"callers" env:"DOTTERELPOST_CALLERS" description:"addresses of callers' listeners, with commas" required:"true"`
	Token   string        `long:"token-file" env:"DOTTERELPOST_CALLER_TOKEN_FILE" description:"file that holds the caller's token" required:"true"`
	JSON    bool          `long:"json" description:"write JSON"`
	Timeout time.Duration `long:"timeout" default:"60s" description:"how long to repeat before the answer counts as unknown"`
}

func readToken(file string) (string, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return "", &InputError{Reason: err.Error(), Remedy: "name a file that holds the token and nothing else"}
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

// client returns a caller's client, its clean-up function and a context that ends in time.
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

// call asks an operators' listener and decodes the answer into reply.
func (o *operatorOptions) call(s *session, method, path string, body []byte, reply any) error {
	addresses, err := parseAddresses(o.Operators)
	if err != nil {
		return err
	}
	token, err := readToken(o.Token)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(s.ctx, remoteTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+addresses[0].String()+path, bytes.NewReader(body))
	if err != nil {
		return &InputError{Reason: err.Error(), Remedy: "see --help"}
	}
	request.Header.Set("Authorization", "Bearer "+token)
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return &UnreachableError{Address: o.Operators, Reason: err.Error()}
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return &UnreachableError{Address: o.Operators, Reason: err.Error()}
	}
	if answer.StatusCode/100 != 2 {
		return refusalError(o.Operators, answer.StatusCode, text)
	}
	if err := json.Unmarshal(text, reply); err != nil {
		return errors.Wrap(err, "decode the answer of "+o.Operators)
	}
	return nil
}

func refusalError(address string, status int, text []byte) error {
	var refusal adminserver.ErrorResponse
	if json.Unmarshal(text, &refusal) != nil || refusal.Error == "" {
		refusal.Error = string(text)
	}
	switch {
	case len(refusal.Faults) > 0:
		return refusal.Faults
	case status == http.StatusConflict, status == http.StatusNotFound:
		return &NegativeError{Reason: refusal.Error}
	case status == http.StatusUnauthorized:
		return &InputError{Reason: refusal.Error, Remedy: "check --token-file"}
	default:
		return &UnreachableError{Address: address, Reason: refusal.Error}
	}
}
