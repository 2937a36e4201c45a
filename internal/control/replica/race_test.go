//go:build race

package replica

// The race detector makes each schedule take ten times as long.
const (
	usualSingles = 97
	usualPairs   = 1_000_003
)
