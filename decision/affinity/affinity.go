// Package affinity has each of many dispatchers prefer some workers by a fixed random order. A dispatcher that seldom
// uses a worker knows only the load that is its own; with preferences more of a worker's load is its own, while
// together all dispatchers still use all workers. Package decision multiplies its costs by Factor.
//
// The package has no state, so it is safe for concurrent use.
package affinity

// MaxWithoutPreferences is the number of dispatchers up to which there are no preferences, as each one knows every
// worker well.
const MaxWithoutPreferences = 16

// maxPremium is by what fraction the least preferred worker costs more than the most preferred.
const maxPremium = 0.8

// Factor returns the factor of a worker's cost at the dispatcher of a number: at least 1 and less than 1+maxPremium. It
// is a hash of both numbers, so it never changes and has no pattern over workers and dispatchers.
func Factor(dispatcher, dispatchers int, worker uint32) float64 {
	if dispatchers <= MaxWithoutPreferences {
		return 1
	}
	hash := uint64(worker)*0x9e3779b97f4a7c15 + uint64(dispatcher)*0xbf58476d1ce4e5b9
	hash = (hash ^ hash>>31) * 0x94d049bb133111eb
	return 1 + maxPremium*float64(hash>>40)/(1<<24)
}
