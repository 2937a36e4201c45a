// Package zones keeps what a dispatcher knows of the workers of a zone together: how
// quickly jobs start there, and whether the zone is lost. A dispatcher among many meets
// each worker too seldom to learn from that one alone. The package is pure: no I/O, no
// clock.
package zones

import "time"

const (
	// maxZones bounds the zones that are told apart; those past it count as the last one.
	maxZones = 1 << 10
	// minFailedWorkers is how many workers in a row no connection comes up to before their zone
	// counts as lost.
	minFailedWorkers = 2
	// notifiedWithin is how long discovery may take to tell of what came back: what it has
	// to tell counts as told after that time in any case.
	notifiedWithin = 6 * time.Second
	// recoveryPeriod is how long after the first worker of a lost zone has answered the others
	// are left alone unless discovery has told of their new start.
	recoveryPeriod = 3 * time.Second
)

// Zones is what is known of all zones. The zero value knows nothing.
type Zones struct{ all []zone }

type zone struct {
	quickestStart time.Duration // recent time to a start; forgotten slowly
	startKnown    bool
	failedWorkers int           // workers in a row to which no connection came up
	lostAt        time.Duration // when the last of them did not
	recoveredAt   time.Duration // when the first after them answered
}

func (z *Zones) at(n int) *zone {
	n = min(max(n, 0), maxZones-1)
	for n >= len(z.all) {
		z.all = append(z.all, zone{})
	}
	return &z.all[n]
}

// RecordStart takes in how long after its sending a job has started in a zone.
func (z *Zones) RecordStart(n int, took time.Duration) {
	if state := z.at(n); state.startKnown {
		state.quickestStart = min(took, state.quickestStart+state.quickestStart/32+time.Microsecond)
	} else {
		state.quickestStart, state.startKnown = took, true
	}
}

// UsualStart returns the quickest recent time to a start in a zone, 0 if none is known.
func (z *Zones) UsualStart(n int) time.Duration { return z.at(n).quickestStart }

// RecordConnectFailure takes in that no connection came up to a worker of a zone; again tells that
// it was not the first time in a row. Guards a zone from the one worker that is down.
func (z *Zones) RecordConnectFailure(n int, again bool, now time.Duration) {
	state := z.at(n)
	if !again {
		state.failedWorkers++
	}
	if state.failedWorkers >= minFailedWorkers {
		state.lostAt = now
	}
}

// RecordSuccess takes in that a worker of a zone has served what was sent at a time. What was
// sent before the zone was lost says nothing of it.
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

// Unavailable tells whether a worker that started at a time, as far as is known, is in a zone
// that is lost, or has come back so lately that the worker may have started anew without
// discovery having told. Guards workers that come back cold, and in great number, from
// dispatchers that see a zone with nothing to do; a time that was told after the loss
// ends it at once.
func (z *Zones) Unavailable(n int, startedAt, now time.Duration) bool {
	state := z.at(n)
	if state.lostAt == 0 || startedAt >= state.lostAt {
		return false
	}
	return state.failedWorkers >= minFailedWorkers && now < state.lostAt+notifiedWithin || state.recoveredAt > 0 && now < state.recoveredAt+recoveryPeriod
}
