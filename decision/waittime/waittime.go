// Package waittime keeps the mean time that requests wait for their start, for two groups of workers: warm and warming
// ones. One of many dispatchers uses each worker too seldom to know its queue, so a wait at one worker counts for all
// workers of its group. The groups are separate because after many workers were replaced at once the old ones have long
// queues and the new ones none. Package decision multiplies costs by Factor.
//
// The package is pure: it does no I/O and reads no clock. Waits is not safe for concurrent use.
package waittime

import (
	"math"
	"time"
)

const (
	// gain is the weight of a new wait in the mean. The mean covers about five requests, as queues last a few seconds.
	gain = 0.2
	// decayTime is the time constant of the mean's decay while no request starts.
	decayTime = 5 * time.Second
	// maxWait bounds one wait, relative to the mean run time.
	maxWait = 3.0
)

// Waits holds the mean waits of both groups. The zero value has no recorded waits.
type Waits struct{ means [2]mean }

// mean is the mean wait of a group.
type mean struct {
	wait float64       // relative to the mean run time
	at   time.Duration // when wait was last updated
}

// RecordWait records how many seconds a request waited for its start at a warming or a warm worker; run is the mean run
// time of requests, in seconds.
func (w *Waits) RecordWait(warming bool, wait, run float64, now time.Duration) {
	m := &w.means[indexOf(warming)]
	relative := 0.0
	if run > 0 && wait > 0 {
		relative = min(wait/run, maxWait)
	}
	m.wait, m.at = m.decayed(now)+(relative-m.decayed(now))*gain, now
}

// decayed returns the mean wait after its decay since the last update.
func (m *mean) decayed(now time.Duration) float64 {
	return m.wait * math.Exp(-float64(now-m.at)/float64(decayTime))
}

// Factor returns the expected time from the sending of a request to its answer at a worker of the group, relative to the
// run time.
func (w *Waits) Factor(warming bool, now time.Duration) float64 {
	return 1 + w.means[indexOf(warming)].decayed(now)
}

// indexOf returns the index of a group in Waits.means.
func indexOf(warming bool) int {
	if warming {
		return 1
	}
	return 0
}
