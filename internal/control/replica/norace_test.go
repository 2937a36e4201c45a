//go:build !race

package replica

// How many of the schedules the tests play.
const (
	usualSingles = 7
	usualPairs   = 20_011
)
