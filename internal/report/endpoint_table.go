package report

import (
	"cmp"
	"slices"

	"springfield/internal/measure"
)

// maxEndpointRows is the maximum number of endpoints in a table. If there are more, the table shows the most and the
// least loaded ones.
const maxEndpointRows = 20

// endpointTable holds the rows of the table of endpoints, the most loaded first.
type endpointTable struct {
	Total   int
	Omitted int // number of endpoints between Most and Least that are not shown
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
