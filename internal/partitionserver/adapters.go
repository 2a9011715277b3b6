package partitionserver

import (
	"context"
	"time"

	"dotterelpost.example/dotterelpost/internal/connector"
	"dotterelpost.example/dotterelpost/internal/messenger"
)

// countedTable accesses the table service and counts the calls.
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

// renewalPiggybacker adds lease renewals to the transactions of the journal. It looks up the lease
// holder at each call, because the holder is created after the journal. It exists before the journal
// has any entries, since these belong to partitions that the holder has claimed.
type renewalPiggybacker struct {
	server *Server
}

func (p renewalPiggybacker) PiggybackRows() ([]connector.Put, []connector.Precondition) {
	return p.server.leaseHolder.PiggybackRenewal()
}

func (p renewalPiggybacker) PiggybackCommitted(sent time.Time) {
	p.server.leaseHolder.RenewalCommitted(sent)
}

// deferredMesh gives access to the mesh for components that are created before it.
type deferredMesh struct {
	server *Server
}

func (m deferredMesh) Call(ctx context.Context, instance string, call *messenger.Call) (*messenger.Reply, error) {
	return m.server.mesh.Call(ctx, instance, call)
}

func (m deferredMesh) LivePeers() map[string]*messenger.Heartbeat { return m.server.mesh.LivePeers() }

// writePacer limits the journal's writes to this instance's share of the write budget in the ticket in
// force.
type writePacer struct {
	server *Server
}

func (p writePacer) MinInterval() time.Duration {
	instances := 1 + len(p.server.mesh.LivePeers())
	return time.Duration(instances) * time.Second / time.Duration(p.server.follower.State().WriteBudget())
}
