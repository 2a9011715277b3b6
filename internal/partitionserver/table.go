package partitionserver

import (
	"context"
	"time"

	"dotterelpost.example/dotterelpost/internal/connector"
	"dotterelpost.example/dotterelpost/internal/messenger"
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

// renewalPiggybacker has renewals ride along with the journal. The lease holder comes to be after the journal,
// and before the first partition whose entries there could be.
type renewalPiggybacker struct {
	server *Server
}

func (c renewalPiggybacker) PiggybackRows() ([]connector.Put, []connector.Precondition) {
	return c.server.leaseHolder.PiggybackRenewal()
}

func (c renewalPiggybacker) PiggybackCommitted(sent time.Time) {
	c.server.leaseHolder.RenewalCommitted(sent)
}

// deferredMesh is the mesh for those that come to be before it.
type deferredMesh struct {
	server *Server
}

func (m deferredMesh) Call(ctx context.Context, instance string, call *messenger.Call) (*messenger.Reply, error) {
	return m.server.mesh.Call(ctx, instance, call)
}

func (m deferredMesh) LivePeers() map[string]*messenger.Heartbeat { return m.server.mesh.LivePeers() }

// writePacer keeps to this instance's share of the write budget of the ticket in force.
type writePacer struct {
	server *Server
}

func (p writePacer) MinInterval() time.Duration {
	instances := 1 + len(p.server.mesh.LivePeers())
	return time.Duration(instances) * time.Second / time.Duration(p.server.follower.State().WriteBudget())
}
