package lab

import (
	"math"
	"math/rand/v2"
	"slices"
)

// Interval is an estimate with its bounds.
type Interval struct{ Low, Mid, High float64 }

// Median returns the middle of values; it sorts a copy.
func Median(values []float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	v := slices.Sorted(slices.Values(values))
	if n := len(v); n%2 == 0 {
		return (v[n/2-1] + v[n/2]) / 2
	}
	return v[len(v)/2]
}

// resamples is how often Bootstrap draws.
const resamples = 4000

// Bootstrap returns the median of values with its 95% interval, by drawing them again
// with replacement (percentile bootstrap). Equal values and seeds give equal intervals.
func Bootstrap(values []float64, seed uint64) Interval {
	rng := rand.New(rand.NewPCG(seed, 2))
	drawn, medians := make([]float64, len(values)), make([]float64, resamples)
	for i := range medians {
		for j := range drawn {
			drawn[j] = values[rng.IntN(len(values))]
		}
		medians[i] = Median(drawn)
	}
	slices.Sort(medians)
	return Interval{Low: medians[resamples*25/1000], Mid: Median(values), High: medians[resamples*975/1000]}
}
