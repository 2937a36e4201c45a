package board

import (
	"maps"
	"slices"
	"time"

	"frosttide/internal/dispatcher/fleet/gang/verdict"
)

// straggles takes down that a worker straggles in a gang.
func (b *Board) straggles(worker, gang string, times float64, now time.Duration) {
	if b.slow[worker] == nil {
		if len(b.slow) >= mostSlow {
			return
		}
		b.slow[worker] = map[string]mark{}
	}
	b.slow[worker][gang] = mark{now, times}
}

// mostTimes is how much slower a worker is taken for at most.
const mostTimes = 4.0

// timesOf is how many times slower than its peers one is by some evidence.
func timesOf(e verdict.Evidence) float64 {
	if e.Known && e.Standing.Ratio > 1/mostTimes {
		return 1 / e.Standing.Ratio
	}
	return mostTimes
}

// workers returns those that straggle in several gangs, each again only after a while. What is
// old counts less.
func (b *Board) workers(now time.Duration) (acts []Act) {
	for _, w := range slices.Sorted(maps.Keys(b.slow)) {
		times, weight := 0.0, 0.0
		for gang, m := range b.slow[w] {
			age := float64(now-m.at) / float64(slowFor)
			if age >= 1 {
				delete(b.slow[w], gang)
				continue
			}
			times, weight = times+(1-age)*m.times, weight+1-age
		}
		if len(b.slow[w]) == 0 {
			delete(b.slow, w)
			delete(b.said, w)
			continue
		}
		if at, said := b.said[w]; len(b.slow[w]) >= slowIn && (!said || now-at >= slowFor/4) {
			b.said[w] = now
			acts = append(acts, Act{Kind: Slow, Worker: w, Times: times / weight})
		}
	}
	return acts
}
