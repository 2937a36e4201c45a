//go:build !race

package replica

// By default every n-th single deviation and every n-th pair of deviations is run.
const (
	defaultSinglesStride = 7
	defaultPairsStride   = 20_011
)
