package surveyor

import (
	"math"
	"time"

	"agatevalve/common/fault"
)

// Units of the costs.
const (
	unitBytes = "bytes"
	unitTime  = "microseconds"
)

// Report holds the slopes of one survey.
type Report struct {
	// At is when the survey ended.
	At time.Time
	// Commit is the version of the program, with a plus sign when its sources
	// had changed since; empty when the build didn't note it.
	Commit string
	// Go and Processors describe the machine.
	Go         string
	Processors int
	Slopes     []Slope
}

// Slope is a cost measured at several sizes, with the line through the points.
type Slope struct {
	// Name is unique in a report.
	Name string
	// Unit is the unit of the cost, and Per what the size counts.
	Unit string
	Per  string
	// Method tells what was measured, and what it includes beside the shipped
	// code.
	Method string
	// Points are in the order of their sizes.
	Points []Point
	Line   Line
}

// Point is the cost at one size.
type Point struct {
	Size float64
	Cost float64
}

// Line is the least-squares fit of cost = Base + Each*size.
type Line struct {
	Base float64
	Each float64
	// Fit is the coefficient of determination: 1 when all points lie on the
	// line, and 0 when the size explains nothing.
	Fit float64
}

// At returns the cost that the line gives for a size.
func (l Line) At(size float64) float64 { return l.Base + l.Each*size }

// near reports whether two lines differ by no more than rounding does.
func (l Line) near(other Line) bool {
	const part = 1e-6
	near := func(a, b float64) bool { return math.Abs(a-b) <= part*math.Max(1, math.Abs(a)) }
	return near(l.Base, other.Base) && near(l.Each, other.Each) && near(l.Fit, other.Fit)
}

// Slope returns the slope of a name.
func (r Report) Slope(name string) (Slope, error) {
	for _, s := range r.Slopes {
		if s.Name == name {
			return s, nil
		}
	}
	return Slope{}, fault.New(fault.NotFound, "run agatevalve measure --scenario slopes again", "the survey holds no slope %q", name)
}

// fitted returns the slope with its line.
func (s Slope) fitted() Slope {
	s.Line = LineThrough(s.Points)
	return s
}

// LineThrough returns the least-squares line through at least two points of
// different size.
func LineThrough(points []Point) Line {
	var sizes, costs float64
	for _, p := range points {
		sizes += p.Size
		costs += p.Cost
	}
	n := float64(len(points))
	meanSize, meanCost := sizes/n, costs/n
	var spread, common, scatter float64
	for _, p := range points {
		spread += (p.Size - meanSize) * (p.Size - meanSize)
		common += (p.Size - meanSize) * (p.Cost - meanCost)
		scatter += (p.Cost - meanCost) * (p.Cost - meanCost)
	}
	line := Line{Each: common / spread}
	line.Base = meanCost - line.Each*meanSize
	line.Fit = 1
	if scatter > 0 {
		line.Fit = common * common / (spread * scatter)
	}
	return line
}
