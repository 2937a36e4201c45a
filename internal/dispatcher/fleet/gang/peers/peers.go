// Package peers compares one value with those of its peers by robust statistics, the median and
// the median absolute deviation (MAD), which a few outliers hardly change. The package is pure, and
// its functions are safe for concurrent use.
package peers

import (
	"math"
	"slices"
)

const (
	// minSpeed replaces smaller speeds so that their logarithms are finite.
	minSpeed = 1e-6
	// MinPeers is the smallest number of peers that a comparison needs.
	MinPeers = 3
	// madScale converts a median absolute deviation into the standard deviation of a normal
	// distribution.
	madScale = 1.4826
	// minSpread is a lower bound for the standard deviation of the logarithms: sizes are known
	// only from hints, which are off by about that much.
	minSpread = 0.2
)

// Comparison is the result of comparing one value with those of its peers.
type Comparison struct {
	Median float64 // of the peers' values
	Ratio  float64 // own value / Median
	Sigmas float64 // distance below the median, in standard deviations of the logarithm
	Peers  int     // number of peers
}

// Compare compares a speed with those of its peers; others must not contain the speed itself. It
// returns false if there are fewer than MinPeers others or if their median is not positive.
func Compare(own float64, others []float64) (Comparison, bool) {
	c := Comparison{Peers: len(others)}
	if len(others) < MinPeers {
		return c, false
	}
	c.Median = median(others)
	if c.Median <= 0 {
		return c, false
	}
	// Logarithms are compared because speeds differ by factors: a third of the median is as far
	// from it as three times the median.
	deviations := make([]float64, len(others))
	for i, v := range others {
		deviations[i] = math.Abs(math.Log(max(v, minSpeed) / c.Median))
	}
	c.Ratio = own / c.Median
	c.Sigmas = -math.Log(max(own, minSpeed)/c.Median) / max(madScale*median(deviations), minSpread)
	return c, true
}

// Spread returns the spread of positive values, which is the median absolute deviation of their
// logarithms from that of the median; 0 for an empty list.
func Spread(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	center, deviations := median(values), make([]float64, len(values))
	for i, v := range values {
		deviations[i] = math.Abs(math.Log(max(v, minSpeed) / max(center, minSpeed)))
	}
	return median(deviations)
}

// median returns the median of a non-empty list.
func median(values []float64) float64 {
	v := slices.Sorted(slices.Values(values))
	if n := len(v); n%2 == 0 {
		return (v[n/2-1] + v[n/2]) / 2
	}
	return v[len(v)/2]
}
