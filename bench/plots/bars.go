// Package plots draws the figures of the experiments.
package plots

import (
	"image/color"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	width  = 9 * vg.Inch
	height = 3.5 * vg.Inch
	bar    = 9 // points
	// headroom keeps the legend above the bars.
	headroom = 1.25
)

var colours = []color.Color{
	color.RGBA{R: 0xd9, G: 0x6b, B: 0x3a, A: 0xff},
	color.RGBA{R: 0x2f, G: 0x6d, B: 0x9e, A: 0xff},
}

// Bars is a chart with one group of bars per label, one bar per series.
type Bars struct {
	Title  string
	Unit   string // of the vertical axis
	Labels []string
	Series []Series
}

// Series is one value per label.
type Series struct {
	Name   string
	Values []float64
}

// Save draws the chart into a PNG file.
func (b *Bars) Save(path string) error {
	p := plot.New()
	p.Title.Text = b.Title
	p.Y.Label.Text = b.Unit
	p.Y.Min = 0
	p.Legend.Top = true
	for i, s := range b.Series {
		chart, err := plotter.NewBarChart(plotter.Values(s.Values), vg.Points(bar))
		if err != nil {
			return eris.Wrapf(err, "series %s", s.Name)
		}
		chart.Color = colours[i%len(colours)]
		chart.LineStyle.Width = 0
		chart.Offset = vg.Points(bar * (float64(i) - float64(len(b.Series)-1)/2))
		p.Add(chart)
		p.Legend.Add(s.Name, chart)
	}
	p.NominalX(b.Labels...)
	p.Y.Max *= headroom
	return eris.Wrapf(p.Save(width, height, path), "plot %s", path)
}
