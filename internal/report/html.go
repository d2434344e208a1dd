package report

import (
	"bytes"
	_ "embed" // embeds page.html
	"fmt"
	"html/template"
	"io"

	"springfield/internal/measure"
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"percent": formatPercent,
	"number":  formatNumber,
	"count":   formatCount,
	"millis":  formatMillis,
	"seconds": formatSeconds,
	"next":    func(index int) int { return index + 1 },
	"groups":  func(heading string, groups []measure.Group) groupTable { return groupTable{heading, groups} },
}).Parse(pageText))

// page holds the data that the template of the page shows.
type page struct {
	Title     string
	Names     []string
	Summary   []section
	Figures   []figureRow
	Results   []resultTables
	Columns   int // number of plots side by side
	HasFaults bool
}

// figureRow holds the plots of one kind, one for each result.
type figureRow struct {
	Title   string
	Caption string
	Plots   []inlinePlot
}

// inlinePlot is the plot of one result as an svg element.
type inlinePlot struct {
	Name string
	SVG  template.HTML
}

// resultTables holds the data that the tables of one result show.
type resultTables struct {
	Name      string
	Plans     []measure.Group
	Classes   []measure.Group
	Faults    []measure.FaultSpan
	Endpoints endpointTable
}

// groupTable is a table of plans or of classes.
type groupTable struct {
	Heading string
	Groups  []measure.Group
}

// maxColumns is the maximum number of plots side by side on a wide screen.
const maxColumns = 3

// WriteHTML writes a page that shows the results side by side.
func WriteHTML(w io.Writer, results []NamedResult) error {
	if len(results) == 0 {
		return ErrNoResults
	}
	content, err := newPage(results)
	if err != nil {
		return err
	}
	var buffer bytes.Buffer // avoids writing a part of the page if the template fails
	if err := pageTemplate.Execute(&buffer, content); err != nil {
		return fmt.Errorf("render report page: %w", err)
	}
	if _, err := buffer.WriteTo(w); err != nil {
		return fmt.Errorf("write report page: %w", err)
	}
	return nil
}

func newPage(results []NamedResult) (*page, error) {
	content := &page{
		Title:   "Springfield report: " + results[0].Result.Scenario,
		Summary: newSummary(results),
		Columns: min(maxColumns, len(results)),
	}
	for i := range results {
		result := &results[i].Result
		content.Names = append(content.Names, results[i].Name)
		content.HasFaults = content.HasFaults || len(result.Faults) > 0
		content.Results = append(content.Results, resultTables{
			Name:      results[i].Name,
			Plans:     result.Plans,
			Classes:   result.Classes,
			Faults:    result.Faults,
			Endpoints: newEndpointTable(result.EndpointLoad),
		})
	}
	for _, definition := range figures() {
		row, err := definition.row(results)
		if err != nil {
			return nil, err
		}
		content.Figures = append(content.Figures, row)
	}
	return content, nil
}

// row draws the figure for each result, all with the same axes.
func (f *figure) row(results []NamedResult) (figureRow, error) {
	row := figureRow{Title: f.title, Caption: f.caption}
	limits := f.commonBounds(results)
	for i := range results {
		drawing, err := f.plot(&results[i].Result, limits)
		if err != nil {
			return figureRow{}, err
		}
		svg, err := (&picture{curves: f.curves(&results[i].Result), plot: drawing}).inlineSVG()
		if err != nil {
			return figureRow{}, err
		}
		row.Plots = append(row.Plots, inlinePlot{Name: results[i].Name, SVG: template.HTML(svg)})
	}
	return row, nil
}
