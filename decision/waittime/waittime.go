// Package waittime keeps mean waits of requests for their start, at warm workers and at warming ones. One of many
// dispatchers uses each worker too seldom to know its queue; and after many workers were replaced at once the old
// ones have long queues while the new ones have none. So the waits at one worker are taken to tell about the others of
// its group. Package decision multiplies costs by Factor.
//
// The package is pure: it does no I/O and reads no clock. Waits is not safe for concurrent use.
package waittime

import (
	"math"
	"time"
)

const (
	// gain is the weight of a new wait in the mean; the mean is over about five requests, as queues of a few seconds
	// come and go.
	gain = 0.2
	// decayTime is the time constant with which the mean is forgotten while no request starts.
	decayTime = 5 * time.Second
	// maxWait bounds one wait, relative to the mean run time.
	maxWait = 3.0
)

// Waits are the mean waits of both groups. The zero value has recorded no wait.
type Waits struct{ means [2]mean }

// mean is the mean wait of a group, as of a time.
type mean struct {
	wait float64 // relative to the mean run time
	at   time.Duration
}

// RecordWait records that a request has waited for the given seconds before it started, at a worker that was warming up
// or not; run is the mean run time of requests, in seconds.
func (w *Waits) RecordWait(warming bool, wait, run float64, now time.Duration) {
	m := &w.means[indexOf(warming)]
	relative := 0.0
	if run > 0 && wait > 0 {
		relative = min(wait/run, maxWait)
	}
	m.wait, m.at = m.decayed(now)+(relative-m.decayed(now))*gain, now
}

// decayed returns the mean as far as it is not forgotten.
func (m *mean) decayed(now time.Duration) float64 {
	return m.wait * math.Exp(-float64(now-m.at)/float64(decayTime))
}

// Factor returns the likely time from sending to answer at a worker of the group, relative to the run time.
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
