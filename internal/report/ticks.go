package report

import (
	"math"
	"strconv"

	"gonum.org/v1/plot"
)

// targetTickCount is the approximate number of labels on an axis.
const targetTickCount = 6

// roundTicks places labels at multiples of 1, 2 or 5 times a power of ten.
type roundTicks struct{}

var _ plot.Ticker = roundTicks{}

// Ticks implements plot.Ticker.
func (roundTicks) Ticks(low, high float64) []plot.Tick {
	step := roundStep((high - low) / targetTickCount)
	var ticks []plot.Tick
	for multiple := math.Ceil(low / step); multiple*step <= high; multiple++ {
		value := multiple * step
		ticks = append(ticks, plot.Tick{Value: value, Label: tickLabel(value, step)})
	}
	return ticks
}

// roundStep returns the smallest multiple of 1, 2 or 5 and a power of ten that is at least minStep.
func roundStep(minStep float64) float64 {
	power := math.Pow(10, math.Floor(math.Log10(minStep)))
	for _, factor := range []float64{1, 2, 5} {
		if factor*power >= minStep {
			return factor * power
		}
	}
	return 10 * power
}

func tickLabel(value, step float64) string {
	decimals := max(0, int(math.Ceil(-math.Log10(step))))
	if decimals == 0 {
		return formatCount(int64(math.Round(value)))
	}
	return strconv.FormatFloat(value, 'f', decimals, 64)
}
