package report

import (
	"fmt"
	"math"
	"strconv"
)

func formatPercent(share float64) string { return strconv.FormatFloat(100*share, 'f', 1, 64) + "%" }

// formatNumber formats a number with about four significant digits and no exponent.
func formatNumber(value float64) string {
	switch magnitude := math.Abs(value); {
	case magnitude >= 1000:
		return formatCount(int64(math.Round(value)))
	case magnitude >= 100:
		return strconv.FormatFloat(value, 'f', 1, 64)
	case magnitude >= 10:
		return strconv.FormatFloat(value, 'f', 2, 64)
	default:
		return strconv.FormatFloat(value, 'f', 3, 64)
	}
}

// formatCount formats a whole number with commas between groups of three digits.
func formatCount(value int64) string {
	if value < 0 {
		return "-" + formatCount(-value)
	}
	if value < 1000 {
		return strconv.FormatInt(value, 10)
	}
	return formatCount(value/1000) + fmt.Sprintf(",%03d", value%1000)
}

func formatMillis(milliseconds float64) string {
	if milliseconds >= 100 {
		return formatCount(int64(math.Round(milliseconds)))
	}
	return strconv.FormatFloat(milliseconds, 'f', 1, 64)
}

func formatSeconds(seconds float64) string { return strconv.FormatFloat(seconds, 'f', 1, 64) }
