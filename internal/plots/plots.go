// Package plots draws line plots for reports.
package plots

import (
	"maps"
	"slices"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	width  = 24 * vg.Centimeter
	height = 12 * vg.Centimeter
)

// Series holds the points of each line by its name.
type Series map[string]plotter.XYs

// Add appends a point to a line.
func (s Series) Add(name string, x, y float64) { s[name] = append(s[name], plotter.XY{X: x, Y: y}) }

// Axes holds the title of a plot and the labels of its axes.
type Axes struct{ Title, X, Y string }

// Write plots lines to a file, in the image format of its extension.
func Write(path string, axes Axes, lines Series) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = axes.Title, axes.X, axes.Y
	p.Y.Min = 0
	p.Legend.Top = true
	for i, name := range slices.Sorted(maps.Keys(lines)) {
		line, err := plotter.NewLine(lines[name])
		if err != nil {
			return errors.Wrap(err, path)
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i / len(plotutil.SoftColors))
		p.Add(line)
		p.Legend.Add(name, line)
	}
	return errors.Wrap(p.Save(width, height, path), path)
}
