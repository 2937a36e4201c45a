// Package zones keeps what a dispatcher knows of the workers of a zone together: how
// quickly jobs start there, and whether the zone is lost. A dispatcher among many meets
// each worker too seldom to learn from that one alone. The package is pure: no I/O, no
// clock.
package zones

import "time"

const (
	// most bounds the zones that are told apart; those past it count as the last one.
	most = 1 << 10
	// lostAfter is how many workers in a row no connection comes up to before their zone
	// counts as lost.
	lostAfter = 2
	// toldWithin is how long discovery may take to tell of what came back: what it has
	// to tell counts as told after that time in any case.
	toldWithin = 6 * time.Second
	// settles is how long after the first worker of a lost zone has answered the others
	// are left alone unless discovery has told of their new start.
	settles = 3 * time.Second
)

// Zones is what is known of all zones. The zero value knows nothing.
type Zones struct{ all []zone }

type zone struct {
	quickest time.Duration // recent time to a start; forgotten slowly
	started  bool
	failed   int           // workers in a row to which no connection came up
	lost     time.Duration // when the last of them did not
	back     time.Duration // when the first after them answered
}

func (z *Zones) of(n int) *zone {
	n = min(max(n, 0), most-1)
	for n >= len(z.all) {
		z.all = append(z.all, zone{})
	}
	return &z.all[n]
}

// Started takes in how long after its sending a job has started in a zone.
func (z *Zones) Started(n int, took time.Duration) {
	if of := z.of(n); of.started {
		of.quickest = min(took, of.quickest+of.quickest/32+time.Microsecond)
	} else {
		of.quickest, of.started = took, true
	}
}

// Usual returns the quickest recent time to a start in a zone, 0 if none is known.
func (z *Zones) Usual(n int) time.Duration { return z.of(n).quickest }

// Unreached takes in that no connection came up to a worker of a zone; again tells that
// it was not the first time in a row. Guards a zone from the one worker that is down.
func (z *Zones) Unreached(n int, again bool, now time.Duration) {
	of := z.of(n)
	if !again {
		of.failed++
	}
	if of.failed >= lostAfter {
		of.lost = now
	}
}

// Served takes in that a worker of a zone has served what was sent at a time. What was
// sent before the zone was lost says nothing of it.
func (z *Zones) Served(n int, sentAt, now time.Duration) {
	of := z.of(n)
	if sentAt <= of.lost {
		return
	}
	if of.failed >= lostAfter {
		of.back = now
	}
	of.failed = 0
}

// Away tells whether a worker that started at a time, as far as is known, is in a zone
// that is lost, or has come back so lately that the worker may have started anew without
// discovery having told. Guards workers that come back cold, and in great number, from
// dispatchers that see a zone with nothing to do; a time that was told after the loss
// ends it at once.
func (z *Zones) Away(n int, startedAt, now time.Duration) bool {
	of := z.of(n)
	if of.lost == 0 || startedAt >= of.lost {
		return false
	}
	return of.failed >= lostAfter && now < of.lost+toldWithin || of.back > 0 && now < of.back+settles
}
