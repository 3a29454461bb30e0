package capacity

import (
	"fmt"
	"image/color"
	"path/filepath"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// curve is one measured quantity over the sizes of a plot, drawn as a multiple of limit. Its figures are named prefix plus
// size.
type curve struct {
	name   string
	prefix string
	limit  float64
	color  color.Color
}

// Plots writes the plots of the page into a directory. The error names a figure that is missing or a file that cannot be
// written.
func Plots(f *Figures, dir string) error {
	control := []curve{
		{"processor time / 1 % of a core", "control_cpu_pct_", limitCPU, color.RGBA{R: 200, A: 255}},
		{"memory / 32 MB", "control_rss_mb_", limitMemoryMB, color.RGBA{G: 140, A: 255}},
		{"bytes / 25 KB/s", "control_bytes_s_", limitBytesPerSecond, color.RGBA{B: 200, A: 255}},
	}
	if err := draw(f, filepath.Join(dir, "control.svg"), "instances of a domain", "share of the limit", []int{8, 32, 64, 128}, control); err != nil {
		return err
	}
	state := []curve{
		{"memory, MB", "config_state_mb_", 1, color.RGBA{G: 140, A: 255}},
		{"time to apply a change, 10 ms", "config_apply_ms_", 10, color.RGBA{R: 200, A: 255}},
	}
	return draw(f, filepath.Join(dir, "state.svg"), "client accounts", "", []int{5000, 10_000, 20_000}, state)
}

// draw writes one plot with the curves over the sizes, and the labels x and y of its axes.
func draw(f *Figures, path, x, y string, sizes []int, curves []curve) error {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = x, y
	p.Y.Min = 0
	p.Legend.Top = true
	for _, c := range curves {
		points := make(plotter.XYs, len(sizes))
		for i, n := range sizes {
			v, err := f.Get(fmt.Sprint(c.prefix, n))
			if err != nil {
				return err
			}
			points[i] = plotter.XY{X: float64(n), Y: v / c.limit}
		}
		line, dots, err := plotter.NewLinePoints(points)
		if err != nil {
			return errors.Wrap(err, "capacity: plot")
		}
		line.Color, dots.Color = c.color, c.color
		p.Add(line, dots)
		p.Legend.Add(c.name, line, dots)
	}
	return errors.Wrap(p.Save(plotWidth, plotHeight, path), "capacity: plot")
}
