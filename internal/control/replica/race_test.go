//go:build race

package replica

// By default every n-th single deviation and every n-th pair of deviations is run. With the race detector a
// schedule takes ten times as long.
const (
	defaultSinglesStride = 97
	defaultPairsStride   = 1_000_003
)
