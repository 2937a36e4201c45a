package lab

import (
	"math"
	"math/rand/v2"
	"slices"
)

// Interval is an estimate, Mid, with the bounds of its confidence interval.
type Interval struct{ Low, Mid, High float64 }

// Median returns the median of values, NaN if there are none. It doesn't modify values.
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

// resamples is the number of bootstrap samples that Bootstrap draws.
const resamples = 4000

// Bootstrap returns the median of values with its 95% confidence interval, by resampling with
// replacement (percentile bootstrap). Equal values and seeds give equal intervals.
func Bootstrap(values []float64, seed uint64) Interval {
	rng := rand.New(rand.NewPCG(seed, 2))
	sample, medians := make([]float64, len(values)), make([]float64, resamples)
	for i := range medians {
		for j := range sample {
			sample[j] = values[rng.IntN(len(values))]
		}
		medians[i] = Median(sample)
	}
	slices.Sort(medians)
	return Interval{Low: medians[resamples*25/1000], Mid: Median(values), High: medians[resamples*975/1000]}
}
