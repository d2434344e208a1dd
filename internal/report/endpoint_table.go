package report

import (
	"cmp"
	"slices"

	"springfield/internal/measure"
)

// maxEndpointRows is how many endpoints a table shows; of more, the most and the least loaded are shown.
const maxEndpointRows = 20

// endpointTable holds the rows of the table of endpoints, the most loaded first.
type endpointTable struct {
	Total   int
	Omitted int // between Most and Least
	Most    []measure.EndpointLoad
	Least   []measure.EndpointLoad
}

func newEndpointTable(loads []measure.EndpointLoad) endpointTable {
	sorted := slices.Clone(loads)
	slices.SortStableFunc(sorted, func(a, b measure.EndpointLoad) int { return cmp.Compare(b.Received, a.Received) })
	if len(sorted) <= maxEndpointRows {
		return endpointTable{Total: len(sorted), Most: sorted}
	}
	half := maxEndpointRows / 2
	return endpointTable{
		Total:   len(sorted),
		Omitted: len(sorted) - 2*half,
		Most:    sorted[:half],
		Least:   sorted[len(sorted)-half:],
	}
}
