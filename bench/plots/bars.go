// Package plots draws bar charts of experiment results.
package plots

import (
	"image/color"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	chartWidth  = 9 * vg.Inch
	chartHeight = 3.5 * vg.Inch
	barWidth    = 9 // points
	// legendHeadroom extends the vertical axis so that the legend stays above
	// the bars.
	legendHeadroom = 1.25
)

var seriesColours = []color.Color{
	color.RGBA{R: 0xd9, G: 0x6b, B: 0x3a, A: 0xff},
	color.RGBA{R: 0x2f, G: 0x6d, B: 0x9e, A: 0xff},
}

// BarChart is a chart with one group of bars per label and one bar per series in
// each group.
type BarChart struct {
	Title  string
	YLabel string // label of the vertical axis
	Labels []string
	Series []Series
}

// Series holds one value per label.
type Series struct {
	Name   string
	Values []float64
}

// Save writes the chart to a file. The extension of path selects the format.
func (b *BarChart) Save(path string) error {
	p := plot.New()
	p.Title.Text = b.Title
	p.Y.Label.Text = b.YLabel
	p.Y.Min = 0
	p.Legend.Top = true
	for i, s := range b.Series {
		bars, err := plotter.NewBarChart(plotter.Values(s.Values), vg.Points(barWidth))
		if err != nil {
			return eris.Wrapf(err, "draw series %s", s.Name)
		}
		bars.Color = seriesColours[i%len(seriesColours)]
		bars.LineStyle.Width = 0
		bars.Offset = vg.Points(barWidth * (float64(i) - float64(len(b.Series)-1)/2))
		p.Add(bars)
		p.Legend.Add(s.Name, bars)
	}
	p.NominalX(b.Labels...)
	p.Y.Max *= legendHeadroom
	return eris.Wrapf(p.Save(chartWidth, chartHeight, path), "save plot %s", path)
}
