package report

import (
	"bytes"
	_ "embed"
	"html/template"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/vgsvg"

	"dandelionsail.example/dandelionsail/internal/meter"
	"dandelionsail.example/dandelionsail/pkg/burn"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"what":    Describe,
	"percent": func(target float64) float64 { return 100 * target },
	"round":   round,
	"plain":   classLabel,
	"stamp":   func(at time.Time) string { return at.UTC().Format(time.RFC3339) },
}).Parse(pageText))

// Size of a plot.
const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 2.4 * vg.Inch
)

type pageObjective struct {
	meter.ObjectiveReport
	Plot template.HTML
}

type pageData struct {
	Report     meter.Report
	Objectives []pageObjective
	Latency    template.HTML
}

// HTML writes the report as one self-contained page.
func HTML(out io.Writer, rp meter.Report) error {
	data := pageData{Report: rp}
	for _, or := range rp.Objectives {
		drawn, err := burnPlot(or)
		if err != nil {
			return err
		}
		data.Objectives = append(data.Objectives, pageObjective{or, drawn})
	}
	drawn, err := latencyPlot(rp.Latencies)
	if err != nil {
		return err
	}
	data.Latency = drawn
	return page.Execute(out, data)
}

// burnPlot plots the burn rate of the last hour with one point per minute.
func burnPlot(or meter.ObjectiveReport) (template.HTML, error) {
	pl := plot.New()
	pl.Y.Label.Text = "burn rate"
	pl.X.Label.Text = "minutes, 0 is now"
	pl.Y.Min = 0
	points := burnPoints(or)
	if len(points) == 0 {
		return "", nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return "", err
	}
	limit := plotter.NewFunction(func(float64) float64 { return 1 })
	limit.Dashes = []vg.Length{vg.Points(4), vg.Points(4)}
	pl.Add(plotter.NewGrid(), line, limit)
	return svg(pl)
}

const bucketsAMinute = int(time.Minute / burn.FineSpan)

func burnPoints(or meter.ObjectiveReport) plotter.XYs {
	var points plotter.XYs
	for end := len(or.Series); end >= bucketsAMinute; end -= bucketsAMinute {
		var sum burn.Count
		for _, bucket := range or.Series[end-bucketsAMinute : end] {
			sum = sum.Add(bucket.Count)
		}
		ago := float64(end-len(or.Series)) / float64(bucketsAMinute)
		points = append(points, plotter.XY{X: ago, Y: sum.Rate(or.Objective.Target)})
	}
	return points
}

// latencyPlot plots the distribution of the time to first token with one line per service and class.
func latencyPlot(latencies []meter.LatencyReport) (template.HTML, error) {
	pl := plot.New()
	pl.X.Label.Text = "time to first token, ms"
	pl.Y.Label.Text = "share of requests, %"
	pl.X.Scale = plot.LogScale{}
	pl.X.Tick.Marker = plot.LogTicks{Prec: -1}
	pl.Legend.Top = true
	pl.Legend.Left = true
	for i, lr := range latencies {
		line, err := plotter.NewLine(distribution(lr))
		if err != nil {
			return "", err
		}
		line.Color = lineColours[i%len(lineColours)]
		pl.Add(line)
		pl.Legend.Add(lr.Service+" "+classLabel(lr.Class), line)
	}
	if len(latencies) == 0 {
		return "", nil
	}
	return svg(pl)
}

// quantileStep is the distance between the points of a distribution, in percent.
const quantileStep = 1

func distribution(lr meter.LatencyReport) plotter.XYs {
	histogram := hdrhistogram.Import(lr.Microseconds)
	var points plotter.XYs
	for percent := 0.0; percent <= 100; percent += quantileStep {
		millis := float64(histogram.ValueAtQuantile(percent)) / 1000
		points = append(points, plotter.XY{X: max(0.01, millis), Y: percent})
	}
	return points
}

func svg(pl *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	pl.Draw(newCanvas(canvas))
	var buf bytes.Buffer
	if _, err := canvas.WriteTo(&buf); err != nil {
		return "", err
	}
	raw := buf.Bytes()
	// The page is HTML, so the XML declaration before the element is removed.
	if at := bytes.Index(raw, []byte("<svg")); at > 0 {
		raw = raw[at:]
	}
	return template.HTML(raw), nil
}
