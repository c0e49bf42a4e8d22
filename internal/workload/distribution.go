package workload

import (
	"math"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// Shape names a family of distributions.
type Shape string

// The shapes. Constant uses Mean, Exponential uses Mean, Lognormal uses Median
// and Sigma, Uniform uses Min and Max.
const (
	Constant    Shape = "constant"
	Uniform     Shape = "uniform"
	Exponential Shape = "exponential"
	Lognormal   Shape = "lognormal"
)

// Distribution of a non-negative quantity. Min and Max clip it; a Max of zero
// does not.
type Distribution struct {
	Shape  Shape   `yaml:"shape" validate:"omitempty,oneof=constant uniform exponential lognormal"`
	Mean   float64 `yaml:"mean" validate:"gte=0"`
	Median float64 `yaml:"median" validate:"gte=0"`
	Sigma  float64 `yaml:"sigma" validate:"gte=0"`
	Min    float64 `yaml:"min" validate:"gte=0"`
	Max    float64 `yaml:"max" validate:"gte=0"`
}

// Sample draws a value. The zero Distribution always gives 0.
func (d Distribution) Sample(random *rand.Rand) float64 {
	var value float64
	switch d.Shape {
	case Constant:
		value = d.Mean
	case Uniform:
		value = d.Min + random.Float64()*(d.Max-d.Min)
	case Exponential:
		value = random.ExpFloat64() * d.Mean
	case Lognormal:
		value = d.Median * math.Exp(random.NormFloat64()*d.Sigma)
	}
	value = math.Max(value, d.Min)
	if d.Max > 0 {
		value = math.Min(value, d.Max)
	}
	return value
}

// count draws a whole number of at least least.
func (d Distribution) count(random *rand.Rand, least int) int {
	return max(int(math.Round(d.Sample(random))), least)
}

// stream returns the random numbers of one named part of a workload, so that a
// change to one part leaves the others as they are.
func stream(seed uint64, name string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(name)))
}
