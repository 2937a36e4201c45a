package board

import (
	"maps"
	"slices"
	"time"

	"frosttide/internal/dispatcher/fleet/gang/verdict"
)

// recordSlow records that a worker straggles in a gang.
func (b *Board) recordSlow(worker, gang string, times float64, now time.Duration) {
	if b.slowReports[worker] == nil {
		if len(b.slowReports) >= maxSlowWorkers {
			return
		}
		b.slowReports[worker] = map[string]slowReport{}
	}
	b.slowReports[worker][gang] = slowReport{now, times}
}

// maxSlowFactor is the largest factor by which a worker counts as slower.
const maxSlowFactor = 4.0

// slowFactor returns how many times slower than its peers a part is by some evidence.
func slowFactor(e verdict.Evidence) float64 {
	if e.Known && e.Standing.Ratio > 1/maxSlowFactor {
		return 1 / e.Standing.Ratio
	}
	return maxSlowFactor
}

// slowWorkers returns the actions that mark workers which straggle in several gangs, each worker
// at most four times per slowDuration. Older reports weigh less.
func (b *Board) slowWorkers(now time.Duration) (actions []Action) {
	for _, w := range slices.Sorted(maps.Keys(b.slowReports)) {
		times, weight := 0.0, 0.0
		for gang, m := range b.slowReports[w] {
			age := float64(now-m.at) / float64(slowDuration)
			if age >= 1 {
				delete(b.slowReports[w], gang)
				continue
			}
			times, weight = times+(1-age)*m.factor, weight+1-age
		}
		if len(b.slowReports[w]) == 0 {
			delete(b.slowReports, w)
			delete(b.markedSlowAt, w)
			continue
		}
		if at, said := b.markedSlowAt[w]; len(b.slowReports[w]) >= minSlowGangs && (!said || now-at >= slowDuration/4) {
			b.markedSlowAt[w] = now
			actions = append(actions, Action{Kind: MarkSlow, Worker: w, SlowFactor: times / weight})
		}
	}
	return actions
}
