// Package admission lets work in at a member that has just come back, as fast as what it sends out
// is served. It knows nothing yet of how full runners are, nor what others who came back with
// it send; a window that grows with each job served, and halves when a runner turns one away,
// finds out without anybody's queue running over. The package is pure: no I/O, no clock.
package admission

import "time"

const (
	// least is the smallest window: jobs that may be under way at once.
	least = 4
	// quiet is how many jobs have to be served in a row, none turned away by the door, for
	// it to count as wide enough.
	quiet = 32
	// span is over how long what was refused and served is counted.
	span = time.Second
	// soonest is the least time that a client is told to stay away.
	soonest = 50 * time.Millisecond
)

// Level is how far the door stands open.
type Level uint8

// The levels.
const (
	Wide   Level = iota // all may come in; nothing is counted
	Ajar                // as many as the window holds
	Closed              // nobody
)

// Door is a member's. The zero value stands wide open.
type Door struct {
	level   Level
	window  float64
	open    int // jobs under way that came in while it stood ajar
	since   int // served since one was refused here
	halved  time.Duration
	tight   time.Duration // when it was last too narrow, or opened
	from    time.Duration // when the counts began
	refused int
	served  int
}

// Set has it stand at a level. A door that opens from closed begins with a window of its
// own: about what the runners bear from each that is alive.
func (d *Door) Set(l Level, first int, now time.Duration) {
	if l == Ajar && d.level != Ajar {
		d.window, d.since, d.halved, d.tight = float64(max(first, least)), 0, now, now
	}
	d.level = l
}

// Level returns how far it stands open.
func (d *Door) Level() Level { return d.level }

// Admit tells whether a job may come in. Each that does has to be told of by Ended, if the
// door counted it.
func (d *Door) Admit(now time.Duration) (in, counted bool) {
	switch {
	case d.level == Wide:
		return true, false
	case d.level == Ajar && float64(d.open) < d.window:
		d.open++
		return true, true
	}
	d.count(now)
	d.refused++
	d.since, d.tight = 0, now
	return false, false
}

// Ended takes in that a job which was counted has its answer.
func (d *Door) Ended(served bool, now time.Duration) {
	d.open = max(d.open-1, 0)
	if served {
		d.count(now)
		d.served++
		d.since++
		d.window++
	}
}

// TurnedAway takes in that a runner had no room for a job: the window is halved, at most once
// in a while, as what was sent together is turned away together.
func (d *Door) TurnedAway(now time.Duration) {
	if d.level == Ajar && now-d.halved >= span/10 {
		d.halved, d.tight, d.window = now, now, max(d.window/2, least)
	}
}

// Bears tells whether the door has been wide enough for all that came: for so many jobs in a
// row, or where fewer come for a whole span.
func (d *Door) Bears(now time.Duration) bool {
	return d.level == Ajar && (d.since >= quiet || now-d.tight >= span)
}

// After returns when a client that is refused may come back: once as many have been served as
// were refused with it, by the pace of late, spread by a random number from 0 to 1. Guards
// against all of them coming back at once.
func (d *Door) After(random float64, most, now time.Duration) time.Duration {
	d.count(now)
	after := most
	if d.served > 0 {
		after = time.Duration(float64(span) * float64(d.refused) / float64(d.served))
	}
	after = time.Duration(float64(min(after, most)) * (0.5 + random))
	return min(max(after, time.Duration(float64(soonest)*(1+random))), most)
}

// count begins the counts anew, what was counted before at half, once their time has passed.
func (d *Door) count(now time.Duration) {
	if now-d.from >= span {
		d.from, d.refused, d.served = now, d.refused/2, d.served/2
	}
}
