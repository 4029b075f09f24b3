package report

import (
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/lacewingtally/lacewingtally/internal/model/experiment"
)

const (
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	barWidth   = 8 * vg.Millimeter / 2
)

// figure is a plot of one measure over the scenarios of a deployment.
type figure struct {
	deployment string
	measure    Measure
}

// figures returns the plots of the measures that matter most to each deployment.
func figures() []figure {
	var out []figure
	wanted := map[string][]string{
		"Asociace":        {"Worst-served workspace, wait p99", "Worst-served workspace, in time"},
		"Cosecha Escolar": {"Trainer idle", "Staleness", "Tokens on spot servers"},
	}
	for _, d := range []string{"Asociace", "Cosecha Escolar"} {
		for _, m := range Measures() {
			if slices.Contains(wanted[d], m.Name) {
				out = append(out, figure{deployment: d, measure: m})
			}
		}
	}
	return out
}

// Plot writes the plots to a directory, which it creates if necessary.
func (p *Page) Plot(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "report: create plot directory")
	}
	for _, f := range figures() {
		if err := p.plot(f, filepath.Join(dir, f.file())); err != nil {
			return errors.Wrapf(err, "report: plot %s", f.file())
		}
	}
	return nil
}

func (f *figure) file() string {
	s := strings.ToLower(f.title())
	s = strings.NewReplacer(": ", "-", ", ", "-", " ", "-").Replace(s)
	return s + ".svg"
}

func (f *figure) title() string {
	return f.deployment + ": " + f.measure.Name
}

func (p *Page) plot(f figure, path string) error {
	c := plot.New()
	c.Title.Text = f.title()
	c.Y.Label.Text = f.measure.Unit
	c.Legend.Top = true
	var blocks []*experiment.Block
	var names []string
	for i := range p.Blocks {
		if b := &p.Blocks[i]; b.Deployment == f.deployment {
			blocks = append(blocks, b)
			names = append(names, string(b.Scenario))
		}
	}
	top := 0.0
	for i, v := range p.Variants {
		values := make(plotter.Values, len(blocks))
		for k, b := range blocks {
			values[k] = f.measure.summarize(b.Results[i]).mean
			top = max(top, values[k])
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return err
		}
		bars.Color = plotutil.Color(i)
		bars.LineStyle.Width = 0
		bars.Offset = barWidth * vg.Length(float64(i)-float64(len(p.Variants)-1)/2)
		c.Add(bars)
		c.Legend.Add(v.Name, bars)
	}
	c.Y.Min = 0
	c.Y.Max = max(top*1.6, 0.01)
	c.NominalX(names...)
	return c.Save(plotWidth, plotHeight, path)
}
