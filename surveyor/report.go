package surveyor

import (
	"math"
	"time"

	"agatevalve/common/fault"
)

// Units of the costs.
const (
	unitBytes        = "bytes"
	unitMicroseconds = "microseconds"
)

// Report holds the slopes of one survey.
type Report struct {
	// EndedAt is the time at which the survey ended.
	EndedAt time.Time
	// Commit is the VCS revision of the program, with a plus sign if its sources
	// were modified; empty if the build information lacks it.
	Commit string
	// GoVersion and Processors describe the environment of the survey.
	GoVersion  string
	Processors int
	Slopes     []Slope
}

// Slope is a cost measured at several sizes, with the line fitted to the points.
type Slope struct {
	// Name is unique in a report.
	Name string
	// Unit is the unit of the cost, and SizeUnit that of the size.
	Unit     string
	SizeUnit string
	// Method describes what was measured, and what the cost includes besides the
	// production code.
	Method string
	// Points are sorted by size.
	Points []Point
	Line   Line
}

// Point is the cost at one size.
type Point struct {
	Size float64
	Cost float64
}

// Line is the least-squares fit of cost = Intercept + Gradient*size.
type Line struct {
	Intercept float64
	Gradient  float64
	// RSquared is the coefficient of determination: 1 if all points lie on the
	// line, and 0 if the cost doesn't depend linearly on the size.
	RSquared float64
}

// At returns the value of the line at a size.
func (l Line) At(size float64) float64 { return l.Intercept + l.Gradient*size }

// approxEqual reports whether two lines are equal within rounding errors.
func (l Line) approxEqual(other Line) bool {
	const tolerance = 1e-6
	approxEqual := func(a, b float64) bool { return math.Abs(a-b) <= tolerance*math.Max(1, math.Abs(a)) }
	return approxEqual(l.Intercept, other.Intercept) && approxEqual(l.Gradient, other.Gradient) && approxEqual(l.RSquared, other.RSquared)
}

// Slope returns the slope with the given name.
func (r Report) Slope(name string) (Slope, error) {
	for _, s := range r.Slopes {
		if s.Name == name {
			return s, nil
		}
	}
	return Slope{}, fault.New(fault.NotFound, "run agatevalve measure --scenario slopes again", "the survey holds no slope %q", name)
}

// withFittedLine returns the slope with the line fitted to its points.
func (s Slope) withFittedLine() Slope {
	s.Line = FitLine(s.Points)
	return s
}

// FitLine returns the least-squares line through at least two points of
// different size.
func FitLine(points []Point) Line {
	var sizes, costs float64
	for _, p := range points {
		sizes += p.Size
		costs += p.Cost
	}
	n := float64(len(points))
	meanSize, meanCost := sizes/n, costs/n
	var sizeSquares, crossProducts, costSquares float64 // Sums of products of deviations from the means.
	for _, p := range points {
		sizeSquares += (p.Size - meanSize) * (p.Size - meanSize)
		crossProducts += (p.Size - meanSize) * (p.Cost - meanCost)
		costSquares += (p.Cost - meanCost) * (p.Cost - meanCost)
	}
	line := Line{Gradient: crossProducts / sizeSquares}
	line.Intercept = meanCost - line.Gradient*meanSize
	line.RSquared = 1
	if costSquares > 0 {
		line.RSquared = crossProducts * crossProducts / (sizeSquares * costSquares)
	}
	return line
}
