package bench

import (
	"image/color"
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"

	"dandelionsail.example/dandelionsail/internal/load"
)

// Size of a plot, which has one panel for each length class.
const (
	panelWidth  = 2.6 * vg.Inch
	panelHeight = 2.6 * vg.Inch
	dotsPerInch = 60
	// curvePoints is the number of quantiles from which a curve is drawn.
	curvePoints = 60
)

// lineColours distinguish the variants, also for readers with red-green colour blindness.
var lineColours = []color.RGBA{
	{0, 114, 178, 255},
	{230, 159, 0, 255},
	{204, 121, 167, 255},
	{0, 158, 115, 255},
	{86, 180, 233, 255},
	{213, 94, 0, 255},
	{100, 100, 100, 255},
	{150, 120, 60, 255},
}

// drawOutcomes writes a PNG with the distribution of the time to first token of each length class.
func drawOutcomes(path, title string, outcomes []*outcome) error {
	var panels []*plot.Plot
	for _, class := range []string{"Short", "Medium", "Large", "Long", "Huge"} {
		panel, err := drawClass(class, outcomes, len(panels) == 0)
		if err != nil {
			return err
		}
		panels = append(panels, panel)
	}
	panels[0].Title.Text = title + ": " + panels[0].Title.Text
	width := vg.Length(len(panels)) * panelWidth
	canvas := vgimg.NewWith(vgimg.UseWH(width, panelHeight), vgimg.UseDPI(dotsPerInch))
	tiles := draw.Tiles{Rows: 1, Cols: len(panels), PadX: vg.Points(6), PadTop: vg.Points(4)}
	canvases := plot.Align([][]*plot.Plot{panels}, tiles, draw.New(canvas))
	for i, panel := range panels {
		panel.Draw(canvases[0][i])
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if _, err := (vgimg.PngCanvas{Canvas: canvas}).WriteTo(file); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

func drawClass(class string, outcomes []*outcome, legend bool) (*plot.Plot, error) {
	panel := plot.New()
	panel.Title.Text = class
	panel.X.Label.Text = "percentile"
	panel.Y.Label.Text = "first token, ms"
	panel.Y.Scale = plot.LogScale{}
	panel.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	panel.Legend.Top = true
	panel.Legend.Left = true
	for i, oc := range outcomes {
		gr := oc.summary.Classes[class]
		if gr == nil || gr.FirstToken.Count() == 0 {
			continue
		}
		line, err := plotter.NewLine(quantileCurve(gr.FirstToken))
		if err != nil {
			return nil, err
		}
		line.Color = lineColours[i%len(lineColours)]
		line.Dashes = dashes(i / len(lineColours))
		line.Width = vg.Points(1.5)
		panel.Add(line)
		if legend {
			panel.Legend.Add(oc.Name, line)
		}
	}
	panel.Legend.TextStyle.Font.Size = vg.Points(7)
	setEmptyAxes(panel)
	return panel, nil
}

// setEmptyAxes sets the ranges of the axes of a panel without a line, since a logarithmic axis cannot begin at 0.
func setEmptyAxes(panel *plot.Plot) {
	if panel.Y.Min > 0 && panel.Y.Max > panel.Y.Min {
		return
	}
	panel.X.Min, panel.X.Max = 0, 100
	panel.Y.Min, panel.Y.Max = 1, 10
}

// dashes returns the line style for a cycle through the colours: solid for the first one, dashed for the others.
func dashes(cycle int) []vg.Length {
	if cycle == 0 {
		return nil
	}
	return []vg.Length{vg.Points(2 * float64(cycle)), vg.Points(2)}
}

// quantileCurve returns the quantiles of the times in milliseconds.
func quantileCurve(times *load.Distribution) plotter.XYs {
	points := make(plotter.XYs, curvePoints)
	for i := range points {
		share := float64(i+1) / curvePoints
		points[i].X = 100 * share
		points[i].Y = load.Milliseconds(times.Quantile(share))
	}
	return points
}
