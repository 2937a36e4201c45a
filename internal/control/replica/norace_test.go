//go:build !race

package replica

// Every n-th single departure and pair of departures is played by default.
const (
	usualSingles = 7
	usualPairs   = 20_011
)
