// Package affinity gives each dispatcher of many workers of its own that it prefers. One
// that seldom meets a worker knows its load only as far as it is its own; where each
// keeps to a few, more of their load is its own, while all use all of them. The package
// is pure: no I/O, no clock.
package affinity

// MinDispatchers is from how many dispatchers a preference pays: fewer know every worker well.
const MinDispatchers = 16

// maxPremium is how much dearer the least preferred worker is than the most preferred.
const maxPremium = 0.8

// Factor returns what a worker's cost is multiplied by at a dispatcher: from 1 to 1.8,
// the same all the time, and without pattern over workers and dispatchers.
func Factor(dispatcher, dispatchers int, worker uint32) float64 {
	if dispatchers <= MinDispatchers {
		return 1
	}
	h := uint64(worker)*0x9e3779b97f4a7c15 + uint64(dispatcher)*0xbf58476d1ce4e5b9
	h = (h ^ h>>31) * 0x94d049bb133111eb
	return 1 + maxPremium*float64(h>>40)/(1<<24)
}
