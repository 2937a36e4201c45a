// Package waittime keeps how long jobs wait at workers that are warm and at those that have
// started lately. A dispatcher among many meets each worker too seldom to know its queue, and
// after many were replaced at once the old ones have long queues while the new ones have
// none: what jobs find at one tells of its like. The package is pure: no I/O, no clock.
package waittime

import (
	"math"
	"time"
)

const (
	// gain is the weight of a new wait in the mean: about five jobs, as queues of a few
	// seconds come and go.
	gain = 0.2
	// decayTime is how fast it is forgotten where no job tells of it.
	decayTime = 5 * time.Second
	// maxWait bounds what one wait says, against the mean run.
	maxWait = 3.0
)

// Waits is what is known. The zero value knows of no wait.
type Waits struct{ means [2]mean }

type mean struct {
	wait float64 // against the mean run of a job
	at   time.Duration
}

// RecordWait takes in that a job has waited so long for its start, against the mean run of jobs,
// at a worker that is warming up or not.
func (w *Waits) RecordWait(warming bool, wait, run float64, now time.Duration) {
	m := &w.means[indexOf(warming)]
	x := 0.0
	if run > 0 && wait > 0 {
		x = min(wait/run, maxWait)
	}
	m.wait, m.at = m.decayed(now)+(x-m.decayed(now))*gain, now
}

func (m *mean) decayed(now time.Duration) float64 {
	return m.wait * math.Exp(-float64(now-m.at)/float64(decayTime))
}

// Factor returns how much longer a job is likely to take at such a worker than it runs.
func (w *Waits) Factor(warming bool, now time.Duration) float64 {
	return 1 + w.means[indexOf(warming)].decayed(now)
}

func indexOf(warming bool) int {
	if warming {
		return 1
	}
	return 0
}
