package report

import (
	"fmt"
	"image/color"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	barWidth    = vg.Length(9)
	plotHeight  = 10 * vg.Centimeter
	groupGap    = vg.Length(28)
	leftMargin  = 3 * vg.Centimeter
	halfGroup   = 0.5  // of the width that a workload takes on the axis
	legendRoom  = 1.25 // of the highest bar, so that the legend covers none
	labelLength = 11   // of a workload's name, in characters, before it wraps
)

var palette = []color.Color{
	color.RGBA{R: 0xbd, G: 0xbd, B: 0xbd, A: 0xff},
	color.RGBA{R: 0x96, G: 0x96, B: 0x96, A: 0xff},
	color.RGBA{R: 0x6b, G: 0x8f, B: 0xb5, A: 0xff},
	color.RGBA{R: 0x3f, G: 0x66, B: 0x92, A: 0xff},
	color.RGBA{R: 0x1d, G: 0x3f, B: 0x66, A: 0xff},
}

// ownColor marks the policies that are no baselines.
var ownColor = color.RGBA{R: 0xe0, G: 0x7b, B: 0x2c, A: 0xff}

// chart is one figure: a value of each policy on each workload.
type chart struct {
	file  string
	title string
	label string
	value func(Row) float64
}

var charts = []chart{
	{"latency-p95.svg", "Program latency, 95th percentile", "seconds", func(r Row) float64 { return r.Latency.P95.Seconds() }},
	{"latency-p50.svg", "Program latency, median", "seconds", func(r Row) float64 { return r.Latency.P50.Seconds() }},
	{"waste.svg", "Wasted cache, avoidable share of computed tokens", "percent", func(r Row) float64 { return 100 * r.Waste.Share() }},
	{"goodput.svg", "Programs finished a minute while programs arrive", "programs a minute", func(r Row) float64 { return r.Goodput.ProgramsPerMinute }},
}

// WritePlots writes one SVG file per chart into directory and returns their paths.
// Ablations, whose names extend another policy's, are left out.
func (r *Report) WritePlots(directory string) ([]string, error) {
	var paths []string
	for _, c := range charts {
		path := filepath.Join(directory, c.file)
		if err := r.draw(c, path); err != nil {
			return nil, eris.Wrapf(err, "draw %s", path)
		}
		paths = append(paths, path)
	}
	return paths, nil
}

func (r *Report) draw(c chart, path string) error {
	figure := plot.New()
	figure.Title.Text = c.title
	figure.Y.Label.Text = c.label
	figure.Y.Min = 0
	figure.Legend.Top = true
	figure.Legend.YOffs = vg.Length(-4)
	policies := r.plotted()
	for i, policy := range policies {
		bars, err := plotter.NewBarChart(r.values(policy.Policy, c.value), barWidth)
		if err != nil {
			return err
		}
		bars.Offset = (vg.Length(i) - vg.Length(len(policies)-1)/2) * barWidth
		bars.LineStyle.Width = 0
		bars.Color = ownColor
		if policy.Baseline {
			bars.Color = palette[i%len(palette)]
		}
		figure.Add(bars)
		figure.Legend.Add(policy.Policy, bars)
	}
	figure.NominalX(r.labels()...)
	figure.X.Min = -halfGroup
	figure.X.Max = float64(len(r.Workloads)) - halfGroup
	figure.Y.Max *= legendRoom
	width := leftMargin + vg.Length(len(r.Workloads))*(vg.Length(len(policies))*barWidth+groupGap)
	return figure.Save(width, plotHeight, path)
}

// plotted are the policies of the first workload without ablations.
func (r *Report) plotted() []Row {
	if len(r.Workloads) == 0 {
		return nil
	}
	var rows []Row
	for _, row := range r.Workloads[0].Rows {
		if row.Baseline || !strings.Contains(row.Policy, "-") {
			rows = append(rows, row)
		}
	}
	return rows
}

func (r *Report) values(policy string, value func(Row) float64) plotter.Values {
	values := make(plotter.Values, len(r.Workloads))
	for i, workload := range r.Workloads {
		for _, row := range workload.Rows {
			if row.Policy == policy {
				values[i] = value(row)
			}
		}
	}
	return values
}

// labels are the workloads' names, long ones on two lines.
func (r *Report) labels() []string {
	labels := make([]string, len(r.Workloads))
	for i, workload := range r.Workloads {
		labels[i] = workload.Name
		if at := strings.LastIndex(workload.Name, "-"); at > 0 && len(workload.Name) > labelLength {
			labels[i] = fmt.Sprintf("%s\n%s", workload.Name[:at], workload.Name[at+1:])
		}
	}
	return labels
}
