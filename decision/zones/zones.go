// Package zones keeps a dispatcher's knowledge of the workers of each zone as a group: how quickly requests start there,
// and whether the zone is lost. One of many dispatchers uses each worker too seldom to learn this from a single worker.
// Package decision asks it before it selects a worker.
//
// The package is pure: it does no I/O and reads no clock. Zones is not safe for concurrent use.
package zones

import "time"

const (
	// maxZones bounds the number of zones; zones with higher numbers share the state of the last one.
	maxZones = 1 << 10
	// minFailedWorkers is the number of workers to which connections must fail, without a success in between, before
	// their zone counts as lost.
	minFailedWorkers = 2
	// notifiedWithin is the time within which discovery lists the new start time of a restarted worker; see
	// freshness.NotifiedWithin.
	notifiedWithin = 6 * time.Second
	// recoveryPeriod is how long after the first answer from a lost zone its workers are avoided, unless discovery has
	// listed their new start.
	recoveryPeriod = 3 * time.Second
)

// Zones holds the state of all zones by their numbers. The zero value has no observations.
type Zones struct{ all []zone }

// zone is the state of one zone.
type zone struct {
	quickestStart time.Duration // shortest recent time from sending to start; rises slowly
	startKnown    bool
	failedWorkers int           // workers that failed since the last success
	lostAt        time.Duration // when the last connection failed while the zone counted as lost; 0 for never
	recoveredAt   time.Duration // when a worker answered and so ended the loss; 0 for never
}

// at returns the state of a zone.
func (z *Zones) at(n int) *zone {
	n = min(max(n, 0), maxZones-1)
	for n >= len(z.all) {
		z.all = append(z.all, zone{})
	}
	return &z.all[n]
}

// RecordStart records the time that a request took from its sending to its start in a zone.
func (z *Zones) RecordStart(n int, took time.Duration) {
	if state := z.at(n); state.startKnown {
		state.quickestStart = min(took, state.quickestStart+state.quickestStart/32+time.Microsecond)
	} else {
		state.quickestStart, state.startKnown = took, true
	}
}

// QuickestStart returns the shortest recent time from sending to start in a zone, 0 if none is known.
func (z *Zones) QuickestStart(n int) time.Duration { return z.at(n).quickestStart }

// RecordConnectFailure records a failure to connect to a worker of a zone; earlierFailures is the number of such failures
// of the same worker in a row before this one. Only a worker's first failure in a row counts, so that a single worker
// that is down does not make its zone count as lost.
func (z *Zones) RecordConnectFailure(n int, earlierFailures int, now time.Duration) {
	state := z.at(n)
	if earlierFailures == 0 {
		state.failedWorkers++
	}
	if state.failedWorkers >= minFailedWorkers {
		state.lostAt = now
	}
}

// RecordSuccess records that a worker of a zone has served a request that was sent at the given time. A request that was
// sent before the zone was lost is ignored, as it does not show that the zone has recovered.
func (z *Zones) RecordSuccess(n int, sentAt, now time.Duration) {
	state := z.at(n)
	if sentAt <= state.lostAt {
		return
	}
	if state.failedWorkers >= minFailedWorkers {
		state.recoveredAt = now
	}
	state.failedWorkers = 0
}

// Unavailable reports whether a worker's zone is lost, or has recovered so recently that the worker may have restarted
// before discovery listed its new start. startedAt is the worker's last listed start. This protects many workers that
// restart and warm up together from dispatchers that would send too much to an idle zone. A worker with a listed start
// after the loss is available at once.
func (z *Zones) Unavailable(n int, startedAt, now time.Duration) bool {
	state := z.at(n)
	if state.lostAt == 0 || startedAt >= state.lostAt {
		return false
	}
	lost := state.failedWorkers >= minFailedWorkers && now < state.lostAt+notifiedWithin
	recovering := state.recoveredAt > 0 && now < state.recoveredAt+recoveryPeriod
	return lost || recovering
}
