// Package peers compares one with its like by measures that a few odd ones do not move: the
// median, and the spread around it. It is pure.
package peers

import (
	"math"
	"slices"
)

const (
	// least is the least speed that is told from none.
	least = 1e-6
	// Least is how many peers a comparison needs.
	Least = 3
	// normal turns a median deviation into a standard one.
	normal = 1.4826
	// floor is the least spread of logarithms that is reckoned with: sizes are known by hints,
	// which are off by that much.
	floor = 0.2
)

// Standing is how one stands among its peers.
type Standing struct {
	Median float64
	Ratio  float64 // its own against the median
	Sigmas float64 // how far below the median, in spreads of the logarithms
	Peers  int
}

// Compare tells how one's speed stands among those of others, itself left out; false for too
// few.
func Compare(own float64, others []float64) (Standing, bool) {
	s := Standing{Peers: len(others)}
	if len(others) < Least {
		return s, false
	}
	s.Median = median(others)
	if s.Median <= 0 {
		return s, false
	}
	// Logarithms, as sizes and paces are off by factors: three times slower is as far from the
	// median as three times faster.
	off := make([]float64, len(others))
	for i, v := range others {
		off[i] = math.Abs(math.Log(max(v, least) / s.Median))
	}
	s.Ratio = own / s.Median
	s.Sigmas = -math.Log(max(own, least)/s.Median) / max(normal*median(off), floor)
	return s, true
}

// Spread returns how far apart some positive figures are, as the median distance of their
// logarithms from the median's.
func Spread(list []float64) float64 {
	if len(list) == 0 {
		return 0
	}
	mid, off := median(list), make([]float64, len(list))
	for i, v := range list {
		off[i] = math.Abs(math.Log(max(v, least) / max(mid, least)))
	}
	return median(off)
}

func median(list []float64) float64 {
	v := slices.Sorted(slices.Values(list))
	if n := len(v); n%2 == 0 {
		return (v[n/2-1] + v[n/2]) / 2
	}
	return v[len(v)/2]
}
