// Package plotter draws the slopes of a survey as an SVG file.
package plotter

import (
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"agatevalve/common/fault"
	"agatevalve/surveyor"
)

const (
	// File is the name of the SVG file.
	File = "slopes.svg"

	columns    = 4
	tileWidth  = 8 * vg.Centimeter
	tileHeight = 6 * vg.Centimeter
	padding    = 3 * vg.Millimeter
)

// Draw writes an SVG file to dir, with one plot of the points and the line for
// each slope. It creates dir if necessary, and writes nothing for a report
// without slopes.
func Draw(dir string, r surveyor.Report) error {
	if len(r.Slopes) == 0 {
		return nil
	}
	rows := (len(r.Slopes) + columns - 1) / columns
	plots := make([][]*plot.Plot, rows)
	for i := range plots {
		plots[i] = make([]*plot.Plot, columns)
	}
	for i, s := range r.Slopes {
		p, err := drawSlope(s)
		if err != nil {
			return fault.Wrap(err, fault.Internal, "report this", "slope %s can't be drawn", s.Name)
		}
		plots[i/columns][i%columns] = p
	}
	canvas := vgsvg.New(columns*tileWidth, vg.Length(rows)*tileHeight)
	tiles := draw.Tiles{Rows: rows, Cols: columns, PadX: padding, PadY: padding}
	canvases := plot.Align(plots, tiles, draw.New(canvas))
	for i := range plots {
		for j, p := range plots[i] {
			if p != nil {
				p.Draw(canvases[i][j])
			}
		}
	}
	return save(dir, canvas)
}

func drawSlope(s surveyor.Slope) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = s.Name
	p.X.Label.Text, p.Y.Label.Text = s.SizeUnit, s.Unit
	p.Y.Min = 0
	points := make(plotter.XYs, len(s.Points))
	fitted := make(plotter.XYs, len(s.Points))
	for i, point := range s.Points {
		points[i] = plotter.XY{X: point.Size, Y: point.Cost}
		fitted[i] = plotter.XY{X: point.Size, Y: s.Line.At(point.Size)}
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return nil, err
	}
	line, err := plotter.NewLine(fitted)
	if err != nil {
		return nil, err
	}
	p.Add(scatter, line)
	return p, nil
}

func save(dir string, canvas *vgsvg.Canvas) error {
	wrapError := func(err error) error {
		return fault.Wrap(err, fault.Invalid, "name a directory that can be written", "the plot can't be written to %s", dir)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return wrapError(err)
	}
	file, err := os.Create(filepath.Join(dir, File))
	if err != nil {
		return wrapError(err)
	}
	if _, err := canvas.WriteTo(file); err != nil {
		_ = file.Close() // The first error is the cause.
		return wrapError(err)
	}
	if err := file.Close(); err != nil {
		return wrapError(err)
	}
	return nil
}
