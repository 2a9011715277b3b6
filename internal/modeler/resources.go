package modeler

import (
	"encoding/json"
	"math"
	"time"

	"github.com/c2h5oh/datasize"
)

// Processors is an amount of processor time per second, in thousandths of a processor. JSON shows
// it in processors: 1.5 is 1,500 thousandths.
type Processors int64

const millisPerProcessor = 1000

// ProcessorsOf returns an amount that is given in whole processors.
func ProcessorsOf(amount float64) Processors {
	return Processors(math.Round(amount * millisPerProcessor))
}

// MarshalJSON writes the amount in processors.
func (p Processors) MarshalJSON() ([]byte, error) {
	return json.Marshal(float64(p) / millisPerProcessor)
}

// UnmarshalJSON reads an amount in processors and rounds it up to a thousandth, so that a
// reservation is never smaller than what was declared.
func (p *Processors) UnmarshalJSON(text []byte) error {
	var amount float64
	if err := json.Unmarshal(text, &amount); err != nil {
		return err
	}
	*p = Processors(math.Ceil(amount*millisPerProcessor - 1e-6))
	return nil
}

// Duration is a time.Duration that JSON shows as "1m30s".
type Duration time.Duration

// MarshalText writes the duration as time.Duration prints it.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads what time.ParseDuration takes.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// Resources is what a task reserves or a worker holds. All three dimensions are checked on every
// placement; a worker is full as soon as one of them is.
type Resources struct {
	Processors   Processors        `json:"processors"`
	Memory       datasize.ByteSize `json:"memory"`
	Accelerators int64             `json:"accelerators,omitempty"`
}

// Times returns an amount so many times.
func (r Resources) Times(count int) Resources {
	r.Processors *= Processors(count)
	r.Memory *= datasize.ByteSize(count)
	r.Accelerators *= int64(count)
	return r
}

// Plus returns the sum of both.
func (r Resources) Plus(other Resources) Resources {
	r.Processors += other.Processors
	r.Memory += other.Memory
	r.Accelerators += other.Accelerators
	return r
}

// Minus returns r less other. The caller makes sure that other is part of r: memory is unsigned.
func (r Resources) Minus(other Resources) Resources {
	r.Processors -= other.Processors
	r.Memory -= other.Memory
	r.Accelerators -= other.Accelerators
	return r
}

// Fits tells whether r can be taken out of free.
func (r Resources) Fits(free Resources) bool {
	return r.Processors <= free.Processors && r.Memory <= free.Memory && r.Accelerators <= free.Accelerators
}

// DominantShare returns the largest fraction that r takes of any dimension of whole, 0 to 1 where
// r fits. A dimension that whole lacks counts only if r asks for it, and then as full.
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
