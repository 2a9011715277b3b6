package interferencedetector

import (
	"math"
	"strconv"
	"time"
)

// mean is a weighted mean.
type mean struct{ sum, weight float64 }

func (m *mean) add(value, weight float64) {
	m.sum += value * weight
	m.weight += weight
}

// value returns the mean, shrunk towards zero by a prior of the given weight.
func (m *mean) value(prior float64) float64 {
	if m.weight <= 0 {
		return 0
	}
	return m.sum / (m.weight + prior)
}

func (m *mean) scale(factor float64) {
	m.sum *= factor
	m.weight *= factor
}

// limit scales the mean down to a weight.
func (m *mean) limit(weight float64) {
	if m.weight > weight {
		m.scale(weight / m.weight)
	}
}

// minFadeAge is the age from which evidence is faded, which bounds how often that is computed.
const minFadeAge = time.Second

// fadeFactor returns the factor by which evidence of a given age loses weight.
func fadeFactor(age time.Duration) float64 { return math.Exp2(-age.Seconds() / halfLife.Seconds()) }

// String returns the kind as it appears in log lines.
func (k Kind) String() string {
	if k.Image != "" {
		return k.Image
	}
	return k.Queue + "/" + strconv.Itoa(k.Size)
}
