package surveyor

import (
	"encoding/json"
	"io"
	"time"

	"agatevalve/common/fault"
)

// maxReportBytes limits the size of a report that ReadJSON accepts.
const maxReportBytes = 4 << 20

type wireReport struct {
	At         time.Time   `json:"at"`
	Command    string      `json:"command"`
	Commit     string      `json:"commit"`
	Go         string      `json:"go"`
	Processors int         `json:"processors"`
	Slopes     []wireSlope `json:"slopes"`
}

type wireSlope struct {
	Name   string      `json:"name"`
	Unit   string      `json:"unit"`
	Per    string      `json:"per"`
	Method string      `json:"method"`
	Points []wirePoint `json:"points"`
	Line   wireLine    `json:"line"`
}

type wirePoint struct {
	Size float64 `json:"size"`
	Cost float64 `json:"cost"`
}

type wireLine struct {
	Base float64 `json:"base"`
	Each float64 `json:"each"`
	Fit  float64 `json:"fit"`
}

// WriteJSON writes the report as JSON.
func (r Report) WriteJSON(w io.Writer) error {
	wire := wireReport{At: r.EndedAt, Command: Command, Commit: r.Commit, Go: r.GoVersion, Processors: r.Processors}
	for _, s := range r.Slopes {
		wire.Slopes = append(wire.Slopes, slopeToWire(s))
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(wire)
}

// ReadJSON is the inverse of WriteJSON. It fits the lines to the points again,
// and returns an error if they differ from those in the JSON.
func ReadJSON(r io.Reader) (Report, error) {
	var wire wireReport
	d := json.NewDecoder(io.LimitReader(r, maxReportBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&wire); err != nil {
		return Report{}, fault.Wrap(err, fault.Invalid, "write the survey again", "the survey can't be read")
	}
	report := Report{EndedAt: wire.At, Commit: wire.Commit, GoVersion: wire.Go, Processors: wire.Processors}
	for _, w := range wire.Slopes {
		s := slopeFromWire(w)
		if !s.Line.approxEqual(Line{Intercept: w.Line.Base, Gradient: w.Line.Each, RSquared: w.Line.Fit}) {
			return Report{}, fault.New(fault.Invalid, "write the survey again", "the line of slope %q isn't that of its points", s.Name)
		}
		report.Slopes = append(report.Slopes, s)
	}
	return report, nil
}

func slopeToWire(s Slope) wireSlope {
	w := wireSlope{
		Name: s.Name, Unit: s.Unit, Per: s.SizeUnit, Method: s.Method,
		Line: wireLine{Base: s.Line.Intercept, Each: s.Line.Gradient, Fit: s.Line.RSquared},
	}
	for _, p := range s.Points {
		w.Points = append(w.Points, wirePoint(p))
	}
	return w
}

func slopeFromWire(w wireSlope) Slope {
	s := Slope{Name: w.Name, Unit: w.Unit, SizeUnit: w.Per, Method: w.Method}
	for _, p := range w.Points {
		s.Points = append(s.Points, Point(p))
	}
	return s.withFittedLine()
}
