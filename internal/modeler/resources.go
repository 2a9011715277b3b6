package modeler

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"github.com/c2h5oh/datasize"
)

// Processors is an amount of processor capacity in thousandths of a processor. In JSON it is a
// number of processors: 1.5 stands for 1,500 thousandths.
type Processors int64

const millisPerProcessor = 1000

// ProcessorsOf converts a number of processors, such as 1.5, to Processors.
func ProcessorsOf(amount float64) Processors {
	return Processors(math.Round(amount * millisPerProcessor))
}

// Number returns the amount as a number of processors.
func (p Processors) Number() float64 { return float64(p) / millisPerProcessor }

// MarshalJSON encodes the amount as a number of processors.
func (p Processors) MarshalJSON() ([]byte, error) {
	return json.Marshal(p.Number())
}

// UnmarshalJSON decodes a number of processors and rounds it up to a thousandth, so that a
// reservation is never smaller than the declared need.
func (p *Processors) UnmarshalJSON(text []byte) error {
	var amount float64
	if err := json.Unmarshal(text, &amount); err != nil {
		return err
	}
	if math.Abs(amount) > maxProcessors {
		return &AmountError{Amount: amount}
	}
	*p = Processors(math.Ceil(amount*millisPerProcessor - 1e-6))
	return nil
}

// maxProcessors is the largest number of processors that can be decoded; sums of such amounts do not overflow.
const maxProcessors = 1e9

// AmountError reports a number of processors that is too large for any cluster.
type AmountError struct{ Amount float64 }

func (e *AmountError) Error() string { return fmt.Sprintf("%g processors are out of range", e.Amount) }

// Duration is a time.Duration that is encoded as text such as "1m30s".
type Duration time.Duration

// MarshalText encodes the duration in the format of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText decodes any text that time.ParseDuration accepts.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// Resources is the amount that a task reserves or that a worker provides. Every placement checks
// all three dimensions; a worker is full as soon as one of them is exhausted.
type Resources struct {
	Processors   Processors        `json:"processors"`
	Memory       datasize.ByteSize `json:"memory"`
	Accelerators int64             `json:"accelerators,omitempty"`
}

// The limits of one worker. The largest worker of the users' sheets has 64 processors and 128 GB; an entry that claims
// far more does not describe a worker.
const (
	MaxWorkerProcessors   Processors        = 1024 * millisPerProcessor
	MaxWorkerMemory       datasize.ByteSize = 16 * datasize.TB
	MaxWorkerAccelerators int64             = 64
)

// FitOneWorker reports whether one worker can have these resources.
func (r Resources) FitOneWorker() bool {
	return r.Processors >= 0 && r.Accelerators >= 0 &&
		r.Fits(Resources{Processors: MaxWorkerProcessors, Memory: MaxWorkerMemory, Accelerators: MaxWorkerAccelerators})
}

// Times returns r multiplied by count.
func (r Resources) Times(count int) Resources {
	r.Processors *= Processors(count)
	r.Memory *= datasize.ByteSize(count)
	r.Accelerators *= int64(count)
	return r
}

// Plus returns the sum of r and other.
func (r Resources) Plus(other Resources) Resources {
	r.Processors += other.Processors
	r.Memory += other.Memory
	r.Accelerators += other.Accelerators
	return r
}

// Minus returns r minus other. No dimension of other may exceed that of r: memory is unsigned and
// would wrap around.
func (r Resources) Minus(other Resources) Resources {
	r.Processors -= other.Processors
	r.Memory -= other.Memory
	r.Accelerators -= other.Accelerators
	return r
}

// Fits reports whether r does not exceed free in any dimension.
func (r Resources) Fits(free Resources) bool {
	return r.Processors <= free.Processors && r.Memory <= free.Memory && r.Accelerators <= free.Accelerators
}

// DominantShare returns the largest fraction of any dimension of whole that r takes; it is between
// 0 and 1 if r fits. A dimension that is zero in whole counts as 1 if r requests any of it, and as 0
// otherwise.
func (r Resources) DominantShare(whole Resources) float64 {
	share := fraction(float64(r.Processors), float64(whole.Processors))
	share = max(share, fraction(float64(r.Memory), float64(whole.Memory)))
	return max(share, fraction(float64(r.Accelerators), float64(whole.Accelerators)))
}

func fraction(part, whole float64) float64 {
	if part == 0 {
		return 0
	}
	if whole == 0 {
		return 1
	}
	return part / whole
}
