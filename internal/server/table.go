package server

import (
	"context"

	"dotterelpost.example/dotterelpost/internal/connector"
)

// countedTable counts the calls to the table service.
type countedTable struct {
	server *Server
}

func (s *Server) table() countedTable { return countedTable{server: s} }

func (t countedTable) Transact(ctx context.Context, transaction connector.Transaction) (connector.Outcome, error) {
	t.server.tableWrites.Add(1)
	return t.server.platform.Transact(ctx, transaction)
}

func (t countedTable) Read(ctx context.Context, keys ...string) (map[string]connector.Row, error) {
	t.server.tableReads.Add(1)
	return t.server.platform.Read(ctx, keys...)
}
