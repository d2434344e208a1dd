package report

import (
	"bytes"
	"fmt"
	"image/color"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/text"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	_ "gonum.org/v1/plot/vg/vgimg" // registers the format PNG
	_ "gonum.org/v1/plot/vg/vgsvg" // registers the format SVG
)

// Dimensions of a picture.
const (
	pictureWidth  = 6.2 * vg.Inch
	pictureHeight = 3 * vg.Inch
	titleHeight   = vg.Length(20)
	titleGap      = vg.Length(3)  // distance between the upper edge and the title
	legendIndent  = vg.Length(8)  // distance between the left edge and the legend
	legendGap     = vg.Length(4)  // distance between the legend and the plot
	rightMargin   = vg.Length(10) // leaves room for half of the last label of the horizontal axis
)

// WriteSVG writes one plot of a result as an SVG picture.
func WriteSVG(w io.Writer, name Figure, result *NamedResult) error {
	return writePicture(w, name, result, "svg")
}

// WritePNG writes one plot of a result as a PNG picture.
func WritePNG(w io.Writer, name Figure, result *NamedResult) error {
	return writePicture(w, name, result, "png")
}

func writePicture(w io.Writer, name Figure, result *NamedResult, format string) error {
	definition, err := figureByName(name)
	if err != nil {
		return err
	}
	drawing, err := definition.plot(&result.Result, definition.commonBounds([]NamedResult{*result}))
	if err != nil {
		return err
	}
	return (&picture{
		title:  definition.title + ", " + result.Name,
		curves: definition.curves(&result.Result),
		plot:   drawing,
	}).encode(w, format)
}

// picture is a plot with its legend above it, and its title above both.
type picture struct {
	title  string // may be empty
	curves []curve
	plot   *plot.Plot
}

func (p *picture) encode(w io.Writer, format string) error {
	canvas, err := draw.NewFormattedCanvas(pictureWidth, pictureHeight, format)
	if err != nil {
		return fmt.Errorf("draw %s: %w", format, err)
	}
	p.draw(draw.New(canvas))
	if _, err := canvas.WriteTo(w); err != nil {
		return fmt.Errorf("write %s: %w", format, err)
	}
	return nil
}

func (p *picture) draw(area draw.Canvas) {
	area.FillPolygon(color.White, []vg.Point{
		area.Min, {X: area.Min.X, Y: area.Max.Y}, area.Max, {X: area.Max.X, Y: area.Min.Y},
	})
	area = draw.Crop(area, 0, -rightMargin, 0, 0)
	if p.title != "" {
		style := textStyle(titleSize)
		style.YAlign = text.YTop
		area.FillText(style, vg.Point{X: area.Min.X + legendIndent, Y: area.Max.Y - titleGap}, p.title)
		area = draw.Crop(area, 0, 0, 0, -titleHeight)
	}
	legendArea := draw.Crop(area, legendIndent, 0, 0, 0)
	rows := legendRows(p.curves, legendArea.Max.X-legendArea.Min.X)
	drawLegend(legendArea, rows)
	p.plot.Draw(draw.Crop(area, 0, 0, 0, -vg.Length(len(rows))*legendRowHeight-legendGap))
}

// inlineSVG returns the picture as an svg element for an HTML page, without the XML prolog of an SVG file.
func (p *picture) inlineSVG() (string, error) {
	var buffer bytes.Buffer
	if err := p.encode(&buffer, "svg"); err != nil {
		return "", err
	}
	begin := bytes.Index(buffer.Bytes(), []byte("<svg"))
	return string(buffer.Bytes()[max(0, begin):]), nil
}
