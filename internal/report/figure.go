package report

import (
	"errors"
	"fmt"

	"springfield/internal/measure"
)

// NamedResult is a result with the name that the report shows for it.
type NamedResult struct {
	Name   string
	Result measure.Result
}

// Figure is the name of a kind of plot.
type Figure string

// The kinds of plot.
const (
	FigureThroughput   Figure = "throughput"
	FigureValue        Figure = "value"
	FigureLatency      Figure = "latency"
	FigureAdmissions   Figure = "admissions"
	FigureAttempts     Figure = "attempts"
	FigureEndpointLoad Figure = "endpoint-load"
)

// Errors for invalid arguments.
var (
	ErrUnknownFigure = errors.New("unknown figure")
	ErrNoResults     = errors.New("no results to report")
)

// figure describes one kind of plot.
type figure struct {
	name    Figure
	title   string
	caption string
	unit    string // unit of the vertical axis
	curves  func(*measure.Result) []curve
}

func figures() []figure {
	return []figure{
		{FigureThroughput, "Throughput", "Tries of clients and their outcomes in each second.", "tries per second",
			throughputCurves},
		{FigureValue, "Value", "Share of the requested value that was earned, by the second of the first try.", "share",
			valueCurves},
		{FigureLatency, "Latency", "Time from the first try to the response, for the requests served in each second.",
			"milliseconds", latencyCurves},
		{FigureAdmissions, "Admissions by plan",
			"Units forwarded in each second, inside the quota (solid) and over it (dashed).", "units per second",
			admissionCurves},
		{FigureAttempts, "Attempts", "Attempts that gateways sent to endpoints, and connections opened for them.",
			"per second", attemptCurves},
		{FigureEndpointLoad, "Endpoint load",
			"Attempts received by the least loaded, the median and the most loaded of the endpoints that are up.",
			"attempts per second", endpointLoadCurves},
	}
}

// Figures returns all kinds of plot in the order of the report.
func Figures() []Figure {
	var names []Figure
	for _, definition := range figures() {
		names = append(names, definition.name)
	}
	return names
}

func figureByName(name Figure) (*figure, error) {
	for _, definition := range figures() {
		if definition.name == name {
			return &definition, nil
		}
	}
	return nil, fmt.Errorf("%w: %q", ErrUnknownFigure, name)
}

// curve is one line of a plot, with a value for each second.
type curve struct {
	label  string
	values []float64
	color  int // index in the palette
	dashed bool
}

// newCurve returns a curve with the value of each second of a result.
func newCurve(label string, color int, result *measure.Result, value func(*measure.Second) float64) curve {
	values := make([]float64, len(result.Timeline))
	for i := range result.Timeline {
		values[i] = value(&result.Timeline[i])
	}
	return curve{label: label, values: values, color: color}
}

func throughputCurves(result *measure.Result) []curve {
	return []curve{
		newCurve("submitted", colorNeutral, result, func(s *measure.Second) float64 { return float64(s.Tries) }),
		newCurve("served", colorGood, result, func(s *measure.Second) float64 { return float64(s.Served) }),
		newCurve("rejected", colorWarning, result, func(s *measure.Second) float64 { return float64(s.Rejected) }),
		newCurve("failed or missing", colorBad, result, func(s *measure.Second) float64 {
			return float64(s.Failed + s.Missing + s.Spoilt)
		}),
	}
}

func valueCurves(result *measure.Result) []curve {
	return []curve{newCurve("earned / requested", colorGood, result, func(s *measure.Second) float64 {
		if s.RequestedValue <= 0 {
			return missingValue()
		}
		return s.EarnedValue / s.RequestedValue
	})}
}

func latencyCurves(result *measure.Result) []curve {
	percentile := func(value func(*measure.Latency) float64) func(*measure.Second) float64 {
		return func(s *measure.Second) float64 {
			if s.Latency.Count == 0 {
				return missingValue()
			}
			return value(&s.Latency)
		}
	}
	return []curve{
		newCurve("p50", colorGood, result, percentile(func(l *measure.Latency) float64 { return l.P50 })),
		newCurve("p90", colorWarning, result, percentile(func(l *measure.Latency) float64 { return l.P90 })),
		newCurve("p99", colorBad, result, percentile(func(l *measure.Latency) float64 { return l.P99 })),
	}
}

func admissionCurves(result *measure.Result) []curve {
	var curves []curve
	for i := range result.Plans {
		name := result.Plans[i].Name
		inQuota := newCurve(name, i, result, func(s *measure.Second) float64 { return s.Plans[i].InQuotaUnits })
		over := newCurve(name+", over quota", i, result, func(s *measure.Second) float64 { return s.Plans[i].OverQuotaUnits })
		over.dashed = true
		curves = append(curves, inQuota, over)
	}
	return curves
}

func attemptCurves(result *measure.Result) []curve {
	return []curve{
		newCurve("forwarded", colorGood, result, func(s *measure.Second) float64 { return float64(s.Forwarded) }),
		newCurve("retries", colorBad, result, func(s *measure.Second) float64 { return float64(s.Retries) }),
		newCurve("new connections", colorWarning, result, func(s *measure.Second) float64 {
			return float64(s.NewConnections)
		}),
	}
}

func endpointLoadCurves(result *measure.Result) []curve {
	return []curve{
		newCurve("most", colorBad, result, func(s *measure.Second) float64 { return float64(s.EndpointAttempts.Max) }),
		newCurve("median", colorGood, result, func(s *measure.Second) float64 { return s.EndpointAttempts.Median }),
		newCurve("least", colorNeutral, result, func(s *measure.Second) float64 {
			return float64(s.EndpointAttempts.Min)
		}),
	}
}
