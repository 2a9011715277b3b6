package connector

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/internal/modeler"
)

// Row is a row of the table. Version is the number of the transaction that wrote it; 0 stands for
// a row that is not there.
type Row struct {
	Key     string          `json:"key"`
	Value   json.RawMessage `json:"value,omitempty"`
	Version int64           `json:"version"`
}

// Precondition holds if the row still has the version; version 0 asks that there is no such row.
type Precondition struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// Put writes a whole row.
type Put struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
}

// Transaction is applied whole or not at all.
type Transaction struct {
	ID            string         `json:"id"`
	Preconditions []Precondition `json:"preconditions,omitempty"`
	Puts          []Put          `json:"puts,omitempty"`
	Deletes       []string       `json:"deletes,omitempty"`
}

// Outcome tells whether a transaction was applied, under which version, and otherwise the rows
// that failed their preconditions as they are now.
type Outcome struct {
	Committed bool  `json:"committed"`
	Version   int64 `json:"version,omitempty"`
	Conflicts []Row `json:"conflicts,omitempty"`
}

// ReadRequest asks for rows by key, or for a page of the rows under a prefix after a key.
type ReadRequest struct {
	Keys   []string `json:"keys,omitempty"`
	Prefix string   `json:"prefix,omitempty"`
	After  string   `json:"after,omitempty"`
	Limit  int      `json:"limit,omitempty"`
}

// ReadReply holds the rows that are there, in order of key.
type ReadReply struct {
	Rows []Row `json:"rows"`
}

// scanPageRows is how many rows one page of a scan asks for.
const scanPageRows = 500

// Transact sends one transaction, once.
func (p *Client) Transact(ctx context.Context, transaction Transaction) (Outcome, error) {
	var outcome Outcome
	err := p.call(ctx, http.MethodPost, p.path("table", "transact"), transaction, &outcome)
	return outcome, err
}

// Read returns the rows that are there, by key.
func (p *Client) Read(ctx context.Context, keys ...string) (map[string]Row, error) {
	var reply ReadReply
	if err := p.call(ctx, http.MethodPost, p.path("table", "read"), ReadRequest{Keys: keys}, &reply); err != nil {
		return nil, err
	}
	rows := make(map[string]Row, len(reply.Rows))
	for _, row := range reply.Rows {
		rows[row.Key] = row
	}
	return rows, nil
}

// Scan returns all rows under a prefix in order of key, page by page.
func (p *Client) Scan(ctx context.Context, prefix string) ([]Row, error) {
	var rows []Row
	after := ""
	for {
		var reply ReadReply
		ask := ReadRequest{Prefix: prefix, After: after, Limit: scanPageRows}
		if err := p.call(ctx, http.MethodPost, p.path("table", "read"), ask, &reply); err != nil {
			return nil, err
		}
		rows = append(rows, reply.Rows...)
		if len(reply.Rows) < scanPageRows {
			return rows, nil
		}
		after = reply.Rows[len(reply.Rows)-1].Key
	}
}

// PutObject stores an object whole.
func (p *Client) PutObject(ctx context.Context, name string, content json.RawMessage) error {
	return p.call(ctx, http.MethodPut, p.path("objects", url.PathEscape(name)), content, nil)
}

// GetObject reads an object.
func (p *Client) GetObject(ctx context.Context, name string) (json.RawMessage, error) {
	var content json.RawMessage
	err := p.call(ctx, http.MethodGet, p.path("objects", url.PathEscape(name)), nil, &content)
	return content, err
}

// DeleteObject removes an object that nothing refers to any more.
func (p *Client) DeleteObject(ctx context.Context, name string) error {
	return p.call(ctx, http.MethodDelete, p.path("objects", url.PathEscape(name)), nil, nil)
}

// InstanceList is the platform's list of live and leaving instances and workers. It lags.
type InstanceList struct {
	Instances []modeler.Instance `json:"instances"`
	Workers   []modeler.Worker   `json:"workers"`
}

// List returns the instance list, with the workers of one region. The list is sent anew only if it
// changed since the last call: at two years' size it has hundreds of kilobytes, and every instance
// asks for it all the time. The caller must not change what is returned.
func (p *Client) List(ctx context.Context, region string) (InstanceList, error) {
	p.listMu.Lock()
	known := p.list
	p.listMu.Unlock()
	target := p.path("instances") + "?" + url.Values{"region": {region}}.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return InstanceList{}, errors.Wrap(err, "build "+target)
	}
	if known.tag != "" && known.region == region {
		request.Header.Set("If-None-Match", known.tag)
	}
	status, header, text, err := p.send(request)
	if err != nil {
		return InstanceList{}, err
	}
	if status == http.StatusNotModified {
		return known.list, nil
	}
	if status != http.StatusOK {
		return InstanceList{}, &RefusedError{Call: "GET " + target, Status: status, Reason: string(text)}
	}
	fresh := knownList{region: region, tag: header.Get("ETag")}
	if err := json.Unmarshal(text, &fresh.list); err != nil {
		return InstanceList{}, &UnreachableError{Call: "GET " + target, Err: err}
	}
	p.listMu.Lock()
	defer p.listMu.Unlock()
	p.list = fresh
	return fresh.list, nil
}

// knownList is the list as it was sent last, with the tag that the platform gave it.
type knownList struct {
	region string
	tag    string
	list   InstanceList
}

// Register tells the platform that an entry instance runs at these addresses.
func (p *Client) Register(ctx context.Context, instance modeler.Instance) error {
	return p.call(ctx, http.MethodPost, p.path("instances"), instance, nil)
}

// Changes are rows that changed in a table up to a version. A removed row has the version 0 and no
// value.
type Changes struct {
	Rows    []Row
	Version int64
}

// CompactedError tells that the store no longer has the history that was asked for. What is there
// now has to be read anew.
type CompactedError struct {
	Table string
	After int64
}

func (e *CompactedError) Error() string {
	return fmt.Sprintf("the history of table %s after version %d is forgotten", e.Table, e.After)
}
