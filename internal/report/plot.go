package report

import (
	"fmt"
	"image/color"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"springfield/internal/measure"
)

// Indexes of the palette's colors with a fixed meaning. Curves of plans use the colors of the palette in turn.
const (
	colorGood = iota
	colorWarning
	colorBad
	colorNeutral
)

// palette holds colors that people with the common kinds of color blindness can distinguish.
var palette = []color.Color{
	color.RGBA{R: 0x00, G: 0x72, B: 0xB2, A: 0xFF}, // blue
	color.RGBA{R: 0xE6, G: 0x9F, B: 0x00, A: 0xFF}, // orange
	color.RGBA{R: 0xC4, G: 0x3B, B: 0x1D, A: 0xFF}, // red
	color.RGBA{R: 0x55, G: 0x55, B: 0x55, A: 0xFF}, // gray
	color.RGBA{R: 0x00, G: 0x9E, B: 0x73, A: 0xFF}, // green
	color.RGBA{R: 0x8E, G: 0x4C, B: 0x8A, A: 0xFF}, // purple
	color.RGBA{R: 0x3A, G: 0xA5, B: 0xD8, A: 0xFF}, // light blue
	color.RGBA{R: 0x7A, G: 0x5C, B: 0x1E, A: 0xFF}, // brown
}

var (
	textColor       = color.RGBA{R: 0x1C, G: 0x1C, B: 0x1C, A: 0xFF}
	gridColor       = color.RGBA{R: 0xD8, G: 0xD8, B: 0xD8, A: 0xFF}
	faultColor      = color.RGBA{R: 0xF6, G: 0xE3, B: 0xDC, A: 0xFF} // light, so that curves and grid remain visible on it
	faultLabelColor = color.RGBA{R: 0x8A, G: 0x3B, B: 0x22, A: 0xFF}
)

const (
	curveWidth     = vg.Length(1.4)
	labelSize      = vg.Length(9.5)
	endOfLoadWidth = vg.Length(0.8)
	titleSize      = vg.Length(11)
	headroomFactor = 1.1 // ratio of the vertical axis to the highest value, so that the labels of faults have room
	minAxisTop     = 1.0 // smallest upper end of the vertical axis, before headroomFactor is applied
)

// missingValue returns the value that leaves a gap in a curve.
func missingValue() float64 { return math.NaN() }

// bounds holds the upper ends of the axes.
type bounds struct {
	seconds float64
	top     float64
}

// commonBounds returns the bounds that fit the curves of a figure for all results.
func (f *figure) commonBounds(results []NamedResult) bounds {
	limits := bounds{seconds: 1, top: 0}
	for i := range results {
		result := &results[i].Result
		limits.seconds = max(limits.seconds, float64(len(result.Timeline)))
		for _, c := range f.curves(result) {
			for _, value := range c.values {
				if !math.IsNaN(value) {
					limits.top = max(limits.top, value)
				}
			}
		}
	}
	limits.top = max(limits.top, minAxisTop) * headroomFactor
	return limits
}

// plot draws the figure of a result. Faults are shaded behind the curves.
func (f *figure) plot(result *measure.Result, limits bounds) (*plot.Plot, error) {
	drawing := plot.New()
	setAxes(drawing, f.unit, limits)
	if err := addFaults(drawing, result.Faults, limits); err != nil {
		return nil, err
	}
	grid := plotter.NewGrid()
	grid.Vertical.Color, grid.Horizontal.Color = gridColor, gridColor
	drawing.Add(grid)
	if err := addEndOfLoad(drawing, result.LoadSeconds, limits); err != nil {
		return nil, err
	}
	for _, c := range f.curves(result) {
		if err := addCurve(drawing, c); err != nil {
			return nil, fmt.Errorf("figure %s: %w", f.name, err)
		}
	}
	return drawing, nil
}

func setAxes(drawing *plot.Plot, unit string, limits bounds) {
	drawing.X.Label.Text, drawing.Y.Label.Text = "seconds", unit
	for _, axis := range []*plot.Axis{&drawing.X, &drawing.Y} {
		axis.Label.TextStyle.Font = sansFont(labelSize)
		axis.Tick.Label.Font = sansFont(labelSize)
		axis.Tick.Marker = roundTicks{}
		axis.Padding = 0
	}
	drawing.X.Min, drawing.X.Max = 0, limits.seconds
	drawing.Y.Min, drawing.Y.Max = 0, limits.top
}

// addCurve adds a line for each segment of a curve without a gap. The point of a value is at the middle of its second.
func addCurve(drawing *plot.Plot, c curve) error {
	for _, points := range segments(c.values) {
		line, err := plotter.NewLine(points)
		if err != nil {
			return fmt.Errorf("curve %q: %w", c.label, err)
		}
		line.LineStyle = c.lineStyle()
		drawing.Add(line)
	}
	return nil
}

// segments splits the values of a curve at its gaps and returns the points of each part.
func segments(values []float64) []plotter.XYs {
	var result []plotter.XYs
	var current plotter.XYs
	for second, value := range values {
		if math.IsNaN(value) {
			if len(current) > 0 {
				result = append(result, current)
			}
			current = nil
			continue
		}
		current = append(current, plotter.XY{X: float64(second) + 0.5, Y: value})
	}
	if len(current) > 0 {
		result = append(result, current)
	}
	return result
}

// addEndOfLoad marks the end of the load with a dashed line, unless the plot ends there.
func addEndOfLoad(drawing *plot.Plot, loadSeconds float64, limits bounds) error {
	if loadSeconds <= 0 || loadSeconds >= limits.seconds {
		return nil
	}
	line, err := plotter.NewLine(plotter.XYs{{X: loadSeconds, Y: 0}, {X: loadSeconds, Y: limits.top}})
	if err != nil {
		return fmt.Errorf("end of the load: %w", err)
	}
	line.Color = palette[colorNeutral]
	line.Width = endOfLoadWidth
	line.Dashes = []vg.Length{vg.Points(2), vg.Points(2)}
	drawing.Add(line)
	return nil
}
