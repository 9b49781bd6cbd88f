package drill

import (
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/kingcupstile/kingcupstile/state/fault"
)

const (
	width  = 16 * vg.Centimeter
	height = 9 * vg.Centimeter
)

// drawRows writes an SVG file with the times after which the last entry is current and registered, by the number of entries.
func drawRows(file string, rows []row) error {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "entries", "seconds until the last one"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Y.Min = 0
	p.Legend.Top, p.Legend.Left = true, true
	for i, series := range []struct {
		name string
		of   func(Result) float64
	}{
		{"knows the last changes", func(r Result) float64 { return r.Current.Seconds() }},
		{"is registered again", func(r Result) float64 { return r.Registered.Seconds() }},
	} {
		points := make(plotter.XYs, len(rows))
		for at, r := range rows {
			points[at] = plotter.XY{X: float64(r.entries), Y: series.of(r.with)}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return fault.New("plot", KindPlot, err)
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(series.name, line)
	}
	canvas := vgsvg.New(width, height)
	p.Draw(draw.New(canvas))
	f, err := os.Create(file)
	if err != nil {
		return fault.New("plot", KindPlot, err)
	}
	_, err = canvas.WriteTo(f)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return fault.New("plot", KindPlot, err)
	}
	return nil
}
