//go:build race

package replica

// Every n-th single departure and pair of departures is played by default. With the race detector a schedule takes ten
// times as long.
const (
	usualSingles = 97
	usualPairs   = 1_000_003
)
