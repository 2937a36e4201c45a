package outage

import (
	"time"

	"frosttide/decision"
)

// Rule 4 of the dispatcher: the work that a cold runner is sent within window may not exceed
// multiple times what it can do in that window. A runner starts with the share initialShare of its
// capacity, which grows linearly to all of its cores within warmUp.
const (
	window       = time.Second
	multiple     = 2.5
	initialShare = 0.13
	warmUp       = 23 * time.Second
	cores        = 4.0
)

// runner is a simulated machine with four slots, whose jobs share its capacity equally, and a FIFO
// queue. It is cold after its start.
type runner struct {
	uid          string
	zone         int
	startsAt     time.Duration // when it starts; never for a retired runner
	draining     bool
	crashed      bool
	jobs         []*attempt     // in slots, then in the queue
	updated      time.Duration  // up to when the work of jobs is accounted for
	version      int            // of the scheduled next end; an event with an older version is void
	sent         []receivedWork // within the last window
	probes       int
	jobsReceived int
	worst        float64 // peak of the work received in a window, as a fraction of rule 4's limit
}

// receivedWork is work received at a time.
type receivedWork struct {
	at   time.Duration
	work float64 // seconds of one core
}

// attempt is an attempt of a job at a runner.
type attempt struct {
	remaining float64     // remaining work in seconds of one core
	by        *dispatcher // that sent it
	request   decision.RequestID
	attempt   int
	worker    decision.WorkerID
	started   bool
}

// never is later than any time of a simulation.
const never = time.Duration(1 << 62)

func (r *runner) up(now time.Duration) bool { return now >= r.startsAt && !r.crashed }

// capacity returns the runner's current capacity in cores.
func (r *runner) capacity(now time.Duration) float64 {
	if !r.up(now) {
		return 0
	}
	share := initialShare + (1-initialShare)*min(float64(now-r.startsAt)/float64(warmUp), 1)
	return share * cores
}

// advance accounts for the work done until now.
func (r *runner) advance(now time.Duration) {
	if running := r.running(); len(running) > 0 {
		done := min(r.capacity(now)/float64(len(running)), 1) * (now - r.updated).Seconds()
		for _, j := range running {
			j.remaining -= done
		}
	}
	r.updated = now
}

// running returns the jobs that occupy a slot.
func (r *runner) running() []*attempt { return r.jobs[:min(len(r.jobs), int(cores))] }

// withinLimit records received work and reports whether the runner is within the limit of rule 4.
func (r *runner) withinLimit(now time.Duration, amount float64) bool {
	r.sent = append(r.sent, receivedWork{now, amount})
	sum := 0.0
	for i := len(r.sent) - 1; i >= 0 && r.sent[i].at > now-window; i-- {
		sum += r.sent[i].work
	}
	for len(r.sent) > 0 && r.sent[0].at <= now-window {
		r.sent = r.sent[1:]
	}
	if now >= r.startsAt+warmUp {
		return true
	}
	used := sum / (multiple * r.capacity(now) * window.Seconds())
	r.worst = max(r.worst, used)
	return used <= 1
}

// nextEnd returns when the first running job ends if the capacity stays as it is now; never if
// there is none.
func (r *runner) nextEnd(now time.Duration) time.Duration {
	running := r.running()
	if len(running) == 0 {
		return never
	}
	least := running[0].remaining
	for _, j := range running {
		least = min(least, j.remaining)
	}
	rate := min(r.capacity(now)/float64(len(running)), 1)
	return now + time.Duration(max(least, 0)/rate*float64(time.Second)) + time.Microsecond
}
