package experts

import (
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/kingcupstile/kingcupstile/standin/tracer"
	"github.com/kingcupstile/kingcupstile/state/fault"
)

const (
	width  = 16 * vg.Centimeter
	height = 18 * vg.Centimeter
)

// plotAll writes an SVG file for each trace: the skew over time above the cumulated number of moved experts.
func plotAll(folder string, results map[tracer.Name][]tracer.Result) error {
	for _, name := range tracer.Names() {
		skew, moves := plot.New(), plot.New()
		skew.Title.Text = string(name)
		skew.Y.Label.Text, moves.Y.Label.Text = "step time / mean", "experts moved (thousands)"
		moves.X.Label.Text = "minutes"
		skew.Legend.Top = true
		for i, c := range contenders() {
			r := results[name][i]
			sum := 0.0
			above, below := make(plotter.XYs, len(r.Skew)), make(plotter.XYs, len(r.Skew))
			for w := range r.Skew {
				sum += float64(r.Moves[w])
				at := float64(w) * tracer.Window.Minutes()
				above[w], below[w] = plotter.XY{X: at, Y: r.Skew[w]}, plotter.XY{X: at, Y: sum / 1000}
			}
			if err := add(skew, c.name, i, above); err != nil {
				return err
			}
			if err := add(moves, "", i, below); err != nil {
				return err
			}
		}
		if err := write(filepath.Join(folder, "experts-"+string(name)+".svg"), skew, moves); err != nil {
			return err
		}
	}
	return nil
}

func add(p *plot.Plot, name string, i int, points plotter.XYs) error {
	line, err := plotter.NewLine(points)
	if err != nil {
		return fault.New("plot "+name, KindPlot, err)
	}
	line.Color = plotutil.Color(i)
	p.Add(line)
	if name != "" {
		p.Legend.Add(name, line)
	}
	return nil
}

// write draws the plots one below the other into an SVG file.
func write(file string, plots ...*plot.Plot) error {
	canvas := vgsvg.New(width, height)
	tiles := draw.Tiles{Rows: len(plots), Cols: 1, PadY: vg.Millimeter}
	rows := make([][]*plot.Plot, len(plots))
	for i, p := range plots {
		rows[i] = []*plot.Plot{p}
	}
	for i, row := range plot.Align(rows, tiles, draw.New(canvas)) {
		plots[i].Draw(row[0])
	}
	f, err := os.Create(file)
	if err != nil {
		return fault.New("write plot", KindPlot, err)
	}
	_, err = canvas.WriteTo(f)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return fault.New("write plot", KindPlot, err)
	}
	return nil
}
