package report

import (
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/text"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// Dimensions of a legend.
const (
	legendRowHeight  = vg.Length(13)
	legendLineLength = vg.Length(20) // length of the sample line of an entry
	legendTextGap    = vg.Length(4)  // distance between the sample line and the label of an entry
	legendEntryGap   = vg.Length(14) // distance between two entries of a row
)

// legendRow holds the entries of one row of a legend.
type legendRow []curve

// legendRows breaks the entries of a legend into rows of at most the given width.
func legendRows(curves []curve, width vg.Length) []legendRow {
	var rows []legendRow
	var row legendRow
	used := vg.Length(0)
	for _, entry := range curves {
		needed := legendEntryWidth(entry)
		if len(row) > 0 && used+needed > width {
			rows = append(rows, row)
			row, used = nil, 0
		}
		row = append(row, entry)
		used += needed
	}
	if len(row) > 0 {
		rows = append(rows, row)
	}
	return rows
}

func legendEntryWidth(entry curve) vg.Length {
	return legendLineLength + legendTextGap + textStyle(labelSize).Width(entry.label) + legendEntryGap
}

// drawLegend draws the rows downwards from the top of the canvas.
func drawLegend(canvas draw.Canvas, rows []legendRow) {
	style := textStyle(labelSize)
	style.YAlign = text.YCenter
	y := canvas.Max.Y - legendRowHeight/2
	for _, row := range rows {
		x := canvas.Min.X
		for _, entry := range row {
			canvas.StrokeLine2(entry.lineStyle(), x, y, x+legendLineLength, y)
			canvas.FillText(style, vg.Point{X: x + legendLineLength + legendTextGap, Y: y}, entry.label)
			x += legendEntryWidth(entry)
		}
		y -= legendRowHeight
	}
}

// lineStyle returns the color, the width and the dashes with which a curve is drawn.
func (c *curve) lineStyle() draw.LineStyle {
	style := draw.LineStyle{Color: palette[c.color%len(palette)], Width: curveWidth}
	if c.dashed {
		style.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	}
	return style
}

func textStyle(size vg.Length) text.Style {
	return text.Style{Color: textColor, Font: sansFont(size), Handler: text.Plain{Fonts: font.DefaultCache}}
}

func sansFont(size vg.Length) font.Font {
	return font.Font{Typeface: "Liberation", Variant: "Sans", Size: size}
}
