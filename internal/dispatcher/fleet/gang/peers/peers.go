// Package peers compares one value with those of its peers by robust statistics, the median and
// the median absolute deviation, which a few outliers do not move. It is pure, and its functions
// are safe for concurrent use.
package peers

import (
	"math"
	"slices"
)

const (
	// minSpeed replaces smaller speeds, so that logarithms stay finite.
	minSpeed = 1e-6
	// MinPeers is how many peers a comparison needs.
	MinPeers = 3
	// madScale turns a median absolute deviation into the standard deviation of a normal
	// distribution.
	madScale = 1.4826
	// minSpread is the smallest spread of logarithms that is assumed, as sizes are known from
	// hints that are off by about that much.
	minSpread = 0.2
)

// Standing is how one value compares with those of its peers.
type Standing struct {
	Median float64
	Ratio  float64 // own value / Median
	Sigmas float64 // how far below the median, in standard deviations of the logarithm
	Peers  int     // how many there are
}

// Compare compares a speed with those of others, which must not contain it. It returns false for
// fewer than MinPeers others or a median of 0.
func Compare(own float64, others []float64) (Standing, bool) {
	s := Standing{Peers: len(others)}
	if len(others) < MinPeers {
		return s, false
	}
	s.Median = median(others)
	if s.Median <= 0 {
		return s, false
	}
	// Logarithms, as sizes and paces are off by factors: three times slower is as far from the
	// median as three times faster.
	deviations := make([]float64, len(others))
	for i, v := range others {
		deviations[i] = math.Abs(math.Log(max(v, minSpeed) / s.Median))
	}
	s.Ratio = own / s.Median
	s.Sigmas = -math.Log(max(own, minSpeed)/s.Median) / max(madScale*median(deviations), minSpread)
	return s, true
}

// Spread returns the spread of positive values: the median absolute deviation of their logarithms.
func Spread(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	middle, deviations := median(values), make([]float64, len(values))
	for i, v := range values {
		deviations[i] = math.Abs(math.Log(max(v, minSpeed) / max(middle, minSpeed)))
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
