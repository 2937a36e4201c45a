package board

import (
	"maps"
	"slices"
	"time"

	"frosttide/internal/dispatcher/fleet/gang/verdict"
)

// recordSlow records that a worker straggles in a gang and is factor times slower than its peers.
// At maxSlowWorkers, further workers are ignored.
func (b *Board) recordSlow(worker, gang string, factor float64, now time.Duration) {
	if b.slowReports[worker] == nil {
		if len(b.slowReports) >= maxSlowWorkers {
			return
		}
		b.slowReports[worker] = map[string]slowReport{}
	}
	b.slowReports[worker][gang] = slowReport{now, factor}
}

// maxSlowFactor is the largest factor by which a worker is assumed to be slower than its peers.
const maxSlowFactor = 4.0

// slowFactor returns how many times slower than its peers a part is according to the evidence; that
// is maxSlowFactor if the ratio is unknown.
func slowFactor(e verdict.Evidence) float64 {
	if e.Known && e.Comparison.Ratio > 1/maxSlowFactor {
		return 1 / e.Comparison.Ratio
	}
	return maxSlowFactor
}

// slowWorkers returns the actions that mark the workers which straggle in several gangs as slow,
// each worker at most four times per slowDuration. The factor is a weighted mean, in which older
// reports weigh less.
func (b *Board) slowWorkers(now time.Duration) (actions []Action) {
	for _, worker := range slices.Sorted(maps.Keys(b.slowReports)) {
		sum, weight := 0.0, 0.0
		for gang, report := range b.slowReports[worker] {
			age := float64(now-report.at) / float64(slowDuration)
			if age >= 1 {
				delete(b.slowReports[worker], gang)
				continue
			}
			sum, weight = sum+(1-age)*report.factor, weight+1-age
		}
		if len(b.slowReports[worker]) == 0 {
			delete(b.slowReports, worker)
			delete(b.markedSlowAt, worker)
			continue
		}
		if at, marked := b.markedSlowAt[worker]; len(b.slowReports[worker]) >= minSlowGangs && (!marked || now-at >= slowDuration/4) {
			b.markedSlowAt[worker] = now
			actions = append(actions, Action{Kind: MarkSlow, Worker: worker, SlowFactor: sum / weight})
		}
	}
	return actions
}
