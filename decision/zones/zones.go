// Package zones keeps what a dispatcher knows of all workers of a zone together: how quickly requests start there, and
// whether the zone is lost. One of many dispatchers uses each worker too seldom to learn that from the worker alone.
// Package decision asks it before it selects a worker.
//
// The package is pure: it does no I/O and reads no clock. Zones is not safe for concurrent use.
package zones

import "time"

const (
	// maxZones bounds the zones that are told apart; those beyond it count as the last one.
	maxZones = 1 << 10
	// minFailedWorkers is how many workers in a row have to fail to connect before their zone counts as lost.
	minFailedWorkers = 2
	// notifiedWithin is the time within which discovery lists the new start of a worker that came back; see
	// freshness.NotifiedWithin.
	notifiedWithin = 6 * time.Second
	// recoveryPeriod is how long after the first answer from a lost zone its other workers are avoided, unless
	// discovery has listed their new start.
	recoveryPeriod = 3 * time.Second
)

// Zones is what is known of all zones, by their numbers. The zero value knows nothing.
type Zones struct{ all []zone }

// zone is what is known of one zone.
type zone struct {
	quickestStart time.Duration // recent time from sending to start; rises slowly
	startKnown    bool
	failedWorkers int           // how many workers in a row failed to connect
	lostAt        time.Duration // when the last of them failed; 0 for never
	recoveredAt   time.Duration // when the first worker after them answered; 0 for never
}

// at returns the state of a zone.
func (z *Zones) at(n int) *zone {
	n = min(max(n, 0), maxZones-1)
	for n >= len(z.all) {
		z.all = append(z.all, zone{})
	}
	return &z.all[n]
}

// RecordStart records how long after its sending a request has started in a zone.
func (z *Zones) RecordStart(n int, took time.Duration) {
	if state := z.at(n); state.startKnown {
		state.quickestStart = min(took, state.quickestStart+state.quickestStart/32+time.Microsecond)
	} else {
		state.quickestStart, state.startKnown = took, true
	}
}

// UsualStart returns the quickest recent time from sending to start in a zone, 0 if none is known.
func (z *Zones) UsualStart(n int) time.Duration { return z.at(n).quickestStart }

// RecordConnectFailure records that no connection came up to a worker of a zone, which has failed the given number of
// times in a row before. Only a worker's first failure in a row counts, so that a single worker that is down does not
// make its zone count as lost.
func (z *Zones) RecordConnectFailure(n int, earlierFailures int, now time.Duration) {
	state := z.at(n)
	if earlierFailures == 0 {
		state.failedWorkers++
	}
	if state.failedWorkers >= minFailedWorkers {
		state.lostAt = now
	}
}

// RecordSuccess records that a worker of a zone has served a request that was sent at the given time. One that was sent
// before the zone was lost tells nothing about it.
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

// Unavailable reports whether a worker with the given time of its last listed start is in a zone that is lost, or has
// recovered so lately that the worker may have restarted without discovery having listed it. Many workers that come back
// together and warm up are so protected from dispatchers that see an idle zone. A start listed after the loss ends
// that at once.
func (z *Zones) Unavailable(n int, startedAt, now time.Duration) bool {
	state := z.at(n)
	if state.lostAt == 0 || startedAt >= state.lostAt {
		return false
	}
	lost := state.failedWorkers >= minFailedWorkers && now < state.lostAt+notifiedWithin
	recovering := state.recoveredAt > 0 && now < state.recoveredAt+recoveryPeriod
	return lost || recovering
}
