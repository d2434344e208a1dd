package virtualsoak

import (
	"math"
	"math/rand/v2"
	"time"

	"springfield/internal/emulator"
)

// drawer draws the values of a scenario.
type drawer struct{ random *rand.Rand }

// chance returns true with the given probability.
func (d drawer) chance(probability float64) bool { return d.random.Float64() < probability }

// number draws a number uniformly from a range.
func (d drawer) number(minimum, maximum float64) float64 {
	return minimum + (maximum-minimum)*d.random.Float64()
}

// scaled draws a number from a range of positive numbers such that its logarithm is uniform.
func (d drawer) scaled(minimum, maximum float64) float64 {
	return min(maximum, minimum*math.Pow(maximum/minimum, d.random.Float64()))
}

// count draws an integer from a range, both ends included, such that its logarithm is about uniform.
func (d drawer) count(minimum, maximum int) int {
	return min(maximum, int(d.scaled(float64(minimum), float64(maximum)+1)))
}

// integer draws an integer uniformly from a range, both ends included.
func (d drawer) integer(minimum, maximum int) int { return minimum + d.random.IntN(maximum-minimum+1) }

// duration draws a duration from a range such that its logarithm is uniform.
func (d drawer) duration(minimum, maximum time.Duration) emulator.Duration {
	return emulator.Duration(d.scaled(float64(minimum), float64(maximum)))
}

// pick draws one of the values.
func pick[T any](d drawer, values ...T) T { return values[d.random.IntN(len(values))] }
