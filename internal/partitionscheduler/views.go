package partitionscheduler

import "dotterelpost.example/dotterelpost/internal/modeler"

// WorkerView describes a worker as seen by the owner of its partition.
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

// PartitionView describes a partition as seen by its owner.
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

// View returns the state of the partition for operators.
func (p *Partition) View() PartitionView {
	capacity, reserved := p.placer.Totals()
	return PartitionView{
		Name:     p.name,
		Owner:    p.settings.Instance,
		Epoch:    p.epoch,
		Ready:    p.reconciled,
		Workers:  p.registrar.Len(),
		Jobs:     p.tracker.Len(),
		Waiting:  p.queue.Total(),
		Capacity: capacity,
		Reserved: reserved,
	}
}

// WorkerViews returns the state of the partition's workers for operators.
func (p *Partition) WorkerViews() []WorkerView {
	views := make([]WorkerView, 0, p.registrar.Len())
	for index := range p.registrar.Len() {
		worker := p.registrar.Worker(index)
		pool, _ := p.Tickets().PoolOf(worker.Rack)
		views = append(views, WorkerView{
			Name:      worker.Name,
			Partition: p.name,
			Rack:      worker.Rack,
			Pool:      pool,
			Condition: p.registrar.Condition(index),
			Tasks:     len(p.placed[index]),
			Capacity:  worker.Capacity,
			Reserved:  p.placer.Reserved(index),
		})
	}
	return views
}
