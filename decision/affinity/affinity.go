// Package affinity gives each of many dispatchers a fixed pseudo-random preference order of the workers. A dispatcher
// that seldom uses a worker knows only its own share of that worker's load. With preferences each dispatcher concentrates
// its requests on fewer workers and so accounts for more of their load, while all dispatchers together still use all
// workers. Package decision multiplies its costs by Factor.
//
// The package has no state, so it is safe for concurrent use.
package affinity

// MaxWithoutPreferences is the largest number of dispatchers without preferences: each of so few dispatchers uses every
// worker often enough to know its load.
const MaxWithoutPreferences = 16

// maxPremium bounds the extra cost of the least preferred worker, as a fraction of the cost of the most preferred one.
const maxPremium = 0.8

// Factor returns the factor, at least 1 and less than 1+maxPremium, by which the given dispatcher multiplies the cost of
// the given worker. It is a hash of both numbers, so it never changes and has no pattern over workers and dispatchers.
func Factor(dispatcher, dispatchers int, worker uint32) float64 {
	if dispatchers <= MaxWithoutPreferences {
		return 1
	}
	hash := uint64(worker)*0x9e3779b97f4a7c15 + uint64(dispatcher)*0xbf58476d1ce4e5b9
	hash = (hash ^ hash>>31) * 0x94d049bb133111eb
	return 1 + maxPremium*float64(hash>>40)/(1<<24)
}
