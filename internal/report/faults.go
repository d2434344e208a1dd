package report

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/text"
	"gonum.org/v1/plot/vg"

	"springfield/internal/measure"
)

// minFaultWidthShare is the minimum width of a shaded fault as a share of the width of the plot, so that faults without
// a length are visible.
const minFaultWidthShare = 0.005

// addFaults shades the time span of each fault and labels it with its number in the table of faults.
func addFaults(drawing *plot.Plot, faults []measure.FaultSpan, limits bounds) error {
	for i := range faults {
		begin, end := max(0, faults[i].Begin), min(limits.seconds, faults[i].End)
		if end < begin {
			continue
		}
		end = min(limits.seconds, max(end, begin+limits.seconds*minFaultWidthShare))
		area, err := plotter.NewPolygon(plotter.XYs{
			{X: begin, Y: 0}, {X: end, Y: 0}, {X: end, Y: limits.top}, {X: begin, Y: limits.top},
		})
		if err != nil {
			return fmt.Errorf("fault %d: %w", i+1, err)
		}
		area.Color = faultColor
		area.Width = 0
		drawing.Add(area)
	}
	return addFaultNumbers(drawing, faults, limits)
}

func addFaultNumbers(drawing *plot.Plot, faults []measure.FaultSpan, limits bounds) error {
	var numbers plotter.XYLabels
	for i := range faults {
		if faults[i].Begin < limits.seconds {
			numbers.XYs = append(numbers.XYs, plotter.XY{X: max(0, faults[i].Begin), Y: limits.top})
			numbers.Labels = append(numbers.Labels, fmt.Sprintf("F%d", i+1))
		}
	}
	if len(numbers.XYs) == 0 {
		return nil
	}
	labels, err := plotter.NewLabels(numbers)
	if err != nil {
		return fmt.Errorf("labels of faults: %w", err)
	}
	for i := range labels.TextStyle {
		labels.TextStyle[i] = textStyle(labelSize)
		labels.TextStyle[i].Color = faultLabelColor
		labels.TextStyle[i].YAlign = text.YTop
	}
	labels.Offset.X, labels.Offset.Y = vg.Points(2), -vg.Points(2)
	drawing.Add(labels)
	return nil
}
