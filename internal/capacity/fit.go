// Package capacity measures how the costs of a fleet grow with its size. It
// writes the layout of a fleet of one size on loopback, samples the processes
// under load, and fits a line to the values of several sizes. It starts no
// process; scripts/capacity.sh does.
package capacity

import (
	"math"

	"github.com/pkg/errors"
	"gonum.org/v1/gonum/stat"
)

// ErrTooFewPoints means that the points don't determine a line.
var ErrTooFewPoints = errors.New("a fit needs points at two sizes or more: measure at more sizes")

// Point is one measurement: the value Y at the size X.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Fit is a line through points: Y = Intercept + Slope * X.
type Fit struct {
	// Intercept is the part that doesn't depend on X.
	Intercept float64 `json:"intercept"`
	// Slope is the growth per unit of X.
	Slope float64 `json:"slope"`
	// Residual is the standard deviation of the points from the line, or zero
	// for two points.
	Residual float64 `json:"residual"`
}

// FitLine fits a line by least squares.
func FitLine(points []Point) (Fit, error) {
	xs, ys := split(points)
	if len(xs) < 2 || stat.Variance(xs, nil) == 0 {
		return Fit{}, ErrTooFewPoints
	}
	intercept, slope := stat.LinearRegression(xs, ys, nil, false)
	fit := Fit{Intercept: intercept, Slope: slope}
	fit.Residual = fit.residual(points)
	return fit, nil
}

// At returns the value of the line at a size.
func (f Fit) At(x float64) float64 { return f.Intercept + f.Slope*x }

// residual divides by the degrees of freedom: the points beyond the two that
// determine a line.
func (f Fit) residual(points []Point) float64 {
	const lineParameters = 2
	if len(points) <= lineParameters {
		return 0
	}
	sum := 0.0
	for _, p := range points {
		deviation := p.Y - f.At(p.X)
		sum += deviation * deviation
	}
	return math.Sqrt(sum / float64(len(points)-lineParameters))
}

func split(points []Point) (xs, ys []float64) {
	for _, p := range points {
		xs = append(xs, p.X)
		ys = append(ys, p.Y)
	}
	return xs, ys
}
