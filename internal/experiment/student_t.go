package experiment

import "math"

// confidence is the confidence level of the intervals of a comparison.
const confidence = 0.95

// Tolerances and iteration limits of the numerical functions of this file.
const (
	fractionTolerance = 1e-14  // relative change at which betaFraction stops
	fractionTerms     = 500    // maximum number of terms that betaFraction evaluates
	bisectionSteps    = 200    // number of bisections in studentQuantile
	minLentzFactor    = 1e-300 // smallest absolute value by which the Lentz method divides
)

// Interval holds the mean of a sample and the confidence interval of the mean, computed with Student's t distribution.
type Interval struct {
	Mean, Low, High float64
}

// meanInterval returns the mean and the confidence interval of a sample of at least two values.
func meanInterval(sample []float64) Interval {
	count := float64(len(sample))
	var sum float64
	for _, value := range sample {
		sum += value
	}
	mean := sum / count
	var squares float64
	for _, value := range sample {
		squares += (value - mean) * (value - mean)
	}
	standardError := math.Sqrt(squares / (count - 1) / count)
	margin := studentQuantile((1+confidence)/2, count-1) * standardError
	return Interval{Mean: mean, Low: mean - margin, High: mean + margin}
}

// studentQuantile returns the value below which Student's t distribution has the given probability, from 0.5 to
// under 1.
func studentQuantile(probability, degrees float64) float64 {
	low, high := 0.0, 1.0
	for studentCDF(high, degrees) < probability {
		high *= 2
	}
	for range bisectionSteps {
		middle := (low + high) / 2
		if studentCDF(middle, degrees) < probability {
			low = middle
		} else {
			high = middle
		}
	}
	return (low + high) / 2
}

// studentCDF returns the cumulative distribution function of Student's t distribution at t, which must not be negative.
func studentCDF(t, degrees float64) float64 {
	return 1 - incompleteBeta(degrees/(degrees+t*t), degrees/2, 0.5)/2
}

// incompleteBeta returns the regularized incomplete beta function.
func incompleteBeta(x, a, b float64) float64 {
	if x <= 0 || x >= 1 {
		return min(max(x, 0), 1)
	}
	logA, _ := math.Lgamma(a)
	logB, _ := math.Lgamma(b)
	logSum, _ := math.Lgamma(a + b)
	prefactor := math.Exp(logSum - logA - logB + a*math.Log(x) + b*math.Log1p(-x))
	if x < (a+1)/(a+b+2) { // here the continued fraction converges fast
		return prefactor * betaFraction(x, a, b) / a
	}
	return 1 - prefactor*betaFraction(1-x, b, a)/b
}

// betaFraction evaluates the continued fraction of the incomplete beta function by the modified Lentz method.
func betaFraction(x, a, b float64) float64 {
	numerator, denominator := 1.0, 1/avoidZero(1-(a+b)*x/(a+1))
	result := denominator
	for term := 1.0; term <= fractionTerms; term++ {
		even := term * (b - term) * x / ((a + 2*term - 1) * (a + 2*term))
		odd := -(a + term) * (a + b + term) * x / ((a + 2*term) * (a + 2*term + 1))
		change := 1.0
		for _, coefficient := range []float64{even, odd} {
			denominator = 1 / avoidZero(1+coefficient*denominator)
			numerator = avoidZero(1 + coefficient/numerator)
			change = denominator * numerator
			result *= change
		}
		if math.Abs(change-1) < fractionTolerance {
			break
		}
	}
	return result
}

// avoidZero replaces values whose absolute value is below minLentzFactor, because the Lentz method divides by them.
func avoidZero(value float64) float64 {
	if math.Abs(value) < minLentzFactor {
		return minLentzFactor
	}
	return value
}
