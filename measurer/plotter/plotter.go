// Package plotter draws the figures of a measurement as SVG files.
package plotter

import (
	"errors"
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"agatevalve/common/fault"
	"agatevalve/measurer"
)

const (
	width  = 16 * vg.Centimeter
	height = 11 * vg.Centimeter
	// maxShare is the largest share of answers on a distribution's axis, which
	// shows the complement on a logarithmic scale.
	maxShare = 0.9999
	// steady and overload are the scenarios whose trials differ in load alone.
	steady   = "steady"
	overload = "overload"
)

// Draw writes SVG files into a directory: the distribution of ratios of each
// trial, and goodput against offered load.
func Draw(dir string, r measurer.Report) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fault.Wrap(err, fault.Invalid, "name a directory that can be written", "the plots can't be written to %s", dir)
	}
	var errs []error
	for _, s := range r.Scenarios {
		for _, t := range s.Trials {
			errs = append(errs, drawDistribution(plotFile(dir, r, t.Name), t))
		}
	}
	errs = append(errs, drawGoodput(plotFile(dir, r, "goodput"), r))
	return errors.Join(errs...)
}

func plotFile(dir string, r measurer.Report, name string) string {
	return filepath.Join(dir, strings.Join([]string{r.Deployment, name}, "-")+".svg")
}

// drawDistribution draws the share of answers above each ratio.
func drawDistribution(file string, t measurer.Trial) error {
	p := plot.New()
	p.Title.Text = t.Name
	p.X.Label.Text = "answer time over ideal"
	p.Y.Label.Text = "share of answers above"
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	p.Y.Min, p.Y.Max = 1-maxShare, 1
	p.Legend.Top = true
	for i, f := range t.Policies {
		line, err := plotter.NewLine(tailPoints(f.Distribution))
		if errors.Is(err, plotter.ErrNoData) {
			continue
		}
		if err != nil {
			return errPlot(err, file)
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(f.Policy, line)
	}
	return save(p, file)
}

func tailPoints(points []measurer.Point) plotter.XYs {
	var tail plotter.XYs
	for _, point := range points {
		above := 1 - point.Share
		if point.Ratio > 0 && above >= 1-maxShare {
			tail = append(tail, plotter.XY{X: point.Ratio, Y: above})
		}
	}
	return tail
}

// drawGoodput draws goodput against offered load. It writes no file if neither
// the steady nor the overload trials were run.
func drawGoodput(file string, r measurer.Report) error {
	lines := goodputLines(r)
	if len(lines) == 0 {
		return nil
	}
	p := plot.New()
	p.Title.Text = "goodput"
	p.X.Label.Text = "offered load over capacity"
	p.Y.Label.Text = "answers in time over capacity"
	p.Y.Min = 0
	p.Legend.Left, p.Legend.Top = true, true
	for i, l := range lines {
		line, err := plotter.NewLine(l.points)
		if err != nil {
			return errPlot(err, file)
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(l.policy, line)
	}
	return save(p, file)
}

type goodputLine struct {
	policy string
	points plotter.XYs
}

// goodputLines collects goodput by policy in the order of the offered load: the
// steady trials first, then the overload trials with a higher load.
func goodputLines(r measurer.Report) []goodputLine {
	var lines []goodputLine
	top := 0.0
	for _, s := range r.Scenarios {
		if s.Name != steady && s.Name != overload {
			continue
		}
		for _, t := range s.Trials {
			if t.Offered <= top {
				continue
			}
			top = t.Offered
			for i, f := range t.Policies {
				if i == len(lines) {
					lines = append(lines, goodputLine{policy: f.Policy})
				}
				lines[i].points = append(lines[i].points, plotter.XY{X: t.Offered, Y: f.Goodput})
			}
		}
	}
	return lines
}

func save(p *plot.Plot, file string) error {
	if err := p.Save(width, height, file); err != nil {
		return errPlot(err, file)
	}
	return nil
}

func errPlot(err error, file string) error {
	return fault.Wrap(err, fault.Internal, "look at the reason and report it", "the plot %s can't be drawn", file)
}
