package connector

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"dotterelpost.example/dotterelpost/internal/modeler"
)

// Row is a row of the table. Version is the number of the transaction that wrote it, or 0 if the
// row does not exist.
type Row struct {
	Key     string          `json:"key"`
	Value   json.RawMessage `json:"value,omitempty"`
	Version int64           `json:"version"`
}

// Precondition is met if the row still has the given version. Version 0 requires that the row does
// not exist.
type Precondition struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// Put creates or replaces a row.
type Put struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
}

// Transaction is a set of writes that are applied atomically if all preconditions are met.
type Transaction struct {
	ID            string         `json:"id"`
	Preconditions []Precondition `json:"preconditions,omitempty"`
	Puts          []Put          `json:"puts,omitempty"`
	Deletes       []string       `json:"deletes,omitempty"`
}

// Outcome is the result of a transaction. Version is the version of a committed transaction;
// Conflicts are the current rows that did not meet their preconditions.
type Outcome struct {
	Committed bool  `json:"committed"`
	Version   int64 `json:"version,omitempty"`
	Conflicts []Row `json:"conflicts,omitempty"`
}

// ReadRequest asks for rows by their keys, or for a page of at most Limit rows with a key prefix,
// starting after the key After.
type ReadRequest struct {
	Keys   []string `json:"keys,omitempty"`
	Prefix string   `json:"prefix,omitempty"`
	After  string   `json:"after,omitempty"`
	Limit  int      `json:"limit,omitempty"`
}

// ReadReply holds the rows that exist, ordered by key.
type ReadReply struct {
	Rows []Row `json:"rows"`
}

// scanPageRows is the number of rows that Scan requests per page.
const scanPageRows = 500

// Transact sends a transaction once, without retrying.
func (c *Client) Transact(ctx context.Context, transaction Transaction) (Outcome, error) {
	var outcome Outcome
	err := c.call(ctx, http.MethodPost, c.endpoint("table", "transact"), transaction, &outcome)
	return outcome, err
}

// Read returns the rows that exist, indexed by their keys.
func (c *Client) Read(ctx context.Context, keys ...string) (map[string]Row, error) {
	var reply ReadReply
	if err := c.call(ctx, http.MethodPost, c.endpoint("table", "read"), ReadRequest{Keys: keys}, &reply); err != nil {
		return nil, err
	}
	rows := make(map[string]Row, len(reply.Rows))
	for _, row := range reply.Rows {
		rows[row.Key] = row
	}
	return rows, nil
}

// Scan reads all rows with a key prefix page by page and returns them ordered by key.
func (c *Client) Scan(ctx context.Context, prefix string) ([]Row, error) {
	var rows []Row
	after := ""
	for {
		var reply ReadReply
		request := ReadRequest{Prefix: prefix, After: after, Limit: scanPageRows}
		if err := c.call(ctx, http.MethodPost, c.endpoint("table", "read"), request, &reply); err != nil {
			return nil, err
		}
		rows = append(rows, reply.Rows...)
		if len(reply.Rows) < scanPageRows {
			return rows, nil
		}
		after = reply.Rows[len(reply.Rows)-1].Key
	}
}

// PutObject creates or replaces an object.
func (c *Client) PutObject(ctx context.Context, name string, content json.RawMessage) error {
	return c.call(ctx, http.MethodPut, c.endpoint("objects", url.PathEscape(name)), content, nil)
}

// GetObject returns the content of an object.
func (c *Client) GetObject(ctx context.Context, name string) (json.RawMessage, error) {
	var content json.RawMessage
	err := c.call(ctx, http.MethodGet, c.endpoint("objects", url.PathEscape(name)), nil, &content)
	return content, err
}

// DeleteObject deletes an object. Nothing may refer to it any more.
func (c *Client) DeleteObject(ctx context.Context, name string) error {
	return c.call(ctx, http.MethodDelete, c.endpoint("objects", url.PathEscape(name)), nil, nil)
}

// Register adds an instance with its addresses to the instance list.
func (c *Client) Register(ctx context.Context, instance modeler.Instance) error {
	return c.call(ctx, http.MethodPost, c.endpoint("instances"), instance, nil)
}

// Changes holds the rows of a table that changed, up to Version. A removed row has version 0 and no
// value.
type Changes struct {
	Rows    []Row
	Version int64
}

// CompactedError reports that the store has discarded the requested part of its change history. The
// reader has to read the current rows again.
type CompactedError struct {
	Table string
	After int64
}

func (e *CompactedError) Error() string {
	return fmt.Sprintf("the store has discarded the history of table %s after version %d", e.Table, e.After)
}
