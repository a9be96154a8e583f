package vwloadtest

import (
	"math/rand/v2"

	"github.com/gravitational/trace"
)

// Shape is the form of a Distribution.
type Shape string

// The shapes of distributions.
const (
	// ShapeConstant always yields Mean.
	ShapeConstant Shape = "Constant"
	// ShapeUniform yields values from Least to Most.
	ShapeUniform Shape = "Uniform"
	// ShapeExponential yields values with Mean, cut off at Most.
	ShapeExponential Shape = "Exponential"
)

// Distribution is a distribution of sizes or run times. A TailShare of the values is uniform from
// Most to TailMost instead, for the few that take much longer than the others.
type Distribution struct {
	Shape     Shape
	Mean      float64
	Least     float64
	Most      float64
	TailShare float64
	TailMost  float64
}

func (d Distribution) check(name string) error {
	switch {
	case d.Shape != ShapeConstant && d.Shape != ShapeUniform && d.Shape != ShapeExponential:
		return trace.BadParameter("%s: unknown Shape %q", name, d.Shape)
	case d.Mean < 0 || d.Least < 0 || d.Most < 0:
		return trace.BadParameter("%s: a negative value", name)
	case d.Shape == ShapeUniform && d.Most < d.Least:
		return trace.BadParameter("%s: Most is below Least", name)
	case d.Shape != ShapeUniform && d.Mean == 0:
		return trace.BadParameter("%s: Mean is missing", name)
	case d.TailShare < 0 || d.TailShare > 1:
		return trace.BadParameter("%s: TailShare must be from 0 to 1", name)
	case d.TailShare > 0 && d.TailMost < d.Most:
		return trace.BadParameter("%s: TailMost is below Most", name)
	}
	return nil
}

func (d Distribution) sample(random *rand.Rand) float64 {
	if d.TailShare > 0 && random.Float64() < d.TailShare {
		return d.Most + random.Float64()*(d.TailMost-d.Most)
	}
	switch d.Shape {
	case ShapeUniform:
		return d.Least + random.Float64()*(d.Most-d.Least)
	case ShapeExponential:
		value := d.Mean * random.ExpFloat64()
		if d.Most > 0 {
			value = min(value, d.Most)
		}
		return max(value, d.Least)
	default:
		return d.Mean
	}
}

// meanSamples makes the standard error of the mean about half a percent of the standard deviation.
const meanSamples = 40_000

// mean estimates the mean of f, always with the same random numbers.
func mean(f func(*rand.Rand) float64) float64 {
	random := rand.New(rand.NewPCG(1, 1))
	sum := 0.0
	for range meanSamples {
		sum += f(random)
	}
	return sum / meanSamples
}
