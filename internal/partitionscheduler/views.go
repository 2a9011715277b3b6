package partitionscheduler

import "dotterelpost.example/dotterelpost/internal/modeler"

// WorkerView shows a worker as its owner sees it.
type WorkerView struct {
	Name      string            `json:"name"`
	Partition string            `json:"partition"`
	Rack      string            `json:"rack"`
	Pool      string            `json:"pool"`
	Condition string            `json:"condition"`
	Tasks     int               `json:"tasks"`
	Capacity  modeler.Resources `json:"capacity"`
	Reserved  modeler.Resources `json:"reserved"`
}

// PartitionView shows a partition as its owner sees it.
type PartitionView struct {
	Name     string            `json:"name"`
	Owner    string            `json:"owner"`
	Epoch    modeler.Epoch     `json:"epoch"`
	Ready    bool              `json:"ready"`
	Workers  int               `json:"workers"`
	Jobs     int               `json:"jobs"`
	Waiting  int               `json:"waiting"`
	Capacity modeler.Resources `json:"capacity"`
	Reserved modeler.Resources `json:"reserved"`
}

// View returns the partition for an operator.
func (p *Partition) View() PartitionView {
	capacity, reserved := p.cell.Totals()
	return PartitionView{
		Name:     p.name,
		Owner:    p.settings.Instance,
		Epoch:    p.epoch,
		Ready:    p.settled,
		Workers:  p.roster.Len(),
		Jobs:     p.book.Len(),
		Waiting:  p.queue.Total(),
		Capacity: capacity,
		Reserved: reserved,
	}
}

// WorkerViews returns the workers of the partition for an operator.
func (p *Partition) WorkerViews() []WorkerView {
	views := make([]WorkerView, 0, p.roster.Len())
	for site := range p.roster.Len() {
		worker := p.roster.Worker(site)
		pool, _ := p.Tickets().PoolOf(worker.Rack)
		views = append(views, WorkerView{
			Name:      worker.Name,
			Partition: p.name,
			Rack:      worker.Rack,
			Pool:      pool,
			Condition: p.roster.Condition(site),
			Tasks:     len(p.tasks[site]),
			Capacity:  worker.Capacity,
			Reserved:  p.cell.Reserved(site),
		})
	}
	return views
}
