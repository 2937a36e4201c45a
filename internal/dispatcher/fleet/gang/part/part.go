// Package part estimates the speed of one part of a gang job from its worker's progress reports,
// relative to the part's size. Package board holds a Part for each part that its dispatcher has
// sent.
//
// The package is pure: it does no I/O and reads no clock; times are the cluster's time since 1970.
// A Part is not safe for concurrent use.
package part

import "time"

// reportWindow is how many of the last reports the speed is taken from: the present speed counts,
// not that of the beginning.
const reportWindow = 3

// Part is the present attempt of one part of a gang. The zero value has not been sent; set Work
// before the first Send.
type Part struct {
	Worker  string  // empty until it is sent
	Work    float64 // expected run time in seconds at a typical worker, from the job's hint; 1 without a hint
	Attempt int

	sentAt, startedAt, endedAt time.Duration
	started, finished, served  bool
	reports                    [reportWindow + 1]progress // the last ones, among them the start; the newest last
	reportCount                int
	RejectedReports            int // events that were ignored, of all attempts
	AcceptedReports            int // progress reports that counted
}

// progress is the fraction that was done at a time.
type progress struct {
	at       time.Duration
	fraction float64
}

// Send begins a new attempt at a worker. Events of earlier attempts are ignored from now on.
func (p *Part) Send(worker string, attempt int, at time.Duration) {
	*p = Part{Worker: worker, Work: p.Work, Attempt: attempt, sentAt: at, RejectedReports: p.RejectedReports}
}

// Start records that the worker began an attempt.
func (p *Part) Start(attempt int, at time.Duration) {
	if attempt != p.Attempt || p.started || p.finished || p.Worker == "" {
		p.RejectedReports++
		return
	}
	p.started, p.startedAt = true, at
	p.record(progress{at, 0})
}

// Report records the fraction that an attempt has done. A report is ignored if it belongs to
// another attempt, is older or smaller than the last one, or is not in [0, 1].
func (p *Part) Report(attempt int, fraction float64, at time.Duration) {
	last := p.reports[max(p.reportCount-1, 0)]
	if attempt != p.Attempt || p.finished || p.Worker == "" || !(fraction >= 0 && fraction <= 1) || p.reportCount > 0 && (at < last.at || fraction < last.fraction) {
		p.RejectedReports++
		return
	}
	if !p.started { // its start event was lost
		p.started, p.startedAt = true, p.sentAt
		p.record(progress{p.sentAt, 0})
	}
	p.record(progress{at, fraction})
	p.AcceptedReports++
}

// record appends to the window and drops the oldest report if it is full.
func (p *Part) record(m progress) {
	if p.reportCount == len(p.reports) {
		copy(p.reports[:], p.reports[1:])
		p.reportCount--
	}
	p.reports[p.reportCount] = m
	p.reportCount++
}

// End records that an attempt is over, and whether it succeeded.
func (p *Part) End(attempt int, served bool, at time.Duration) {
	if attempt != p.Attempt || p.finished {
		p.RejectedReports++
		return
	}
	p.finished, p.served, p.endedAt = true, served, at
}

// Finished reports whether the attempt is over, and whether it succeeded.
func (p *Part) Finished() (finished, served bool) { return p.finished, p.served }

// Running reports whether a worker has begun the attempt and it is not over.
func (p *Part) Running() bool { return p.started && !p.finished }

// Waiting reports whether the attempt was sent and no worker has begun it.
func (p *Part) Waiting() bool { return p.Worker != "" && !p.started && !p.finished }

// WaitTime returns how long the attempt waited before it began, or has waited until now.
func (p *Part) WaitTime(now time.Duration) time.Duration {
	if p.started {
		return p.startedAt - p.sentAt
	}
	return now - p.sentAt
}

// RunTime returns how long the attempt ran. It is meaningful only for one that has succeeded.
func (p *Part) RunTime() time.Duration { return p.endedAt - p.startedAt }

// Fraction returns the fraction that was done at the last report, 0 before the first.
func (p *Part) Fraction() float64 {
	if p.reportCount == 0 {
		return 0
	}
	return p.reports[p.reportCount-1].fraction
}

// Speed returns the work done per second, which is 1 at a typical worker with a good hint.
// Interval is the interval between reports, 0 if workers report only start and end. Bound means
// that v is only an upper bound: the last report is overdue, or there are no reports. ok is false
// if nothing is known.
func (p *Part) Speed(now, interval time.Duration) (speed float64, bound, ok bool) {
	switch {
	case p.finished && p.served && p.endedAt > p.startedAt:
		return p.Work / (p.endedAt - p.startedAt).Seconds(), false, true
	case !p.Running() || now <= p.startedAt:
		return 0, false, false
	}
	first, last := p.reports[0], p.reports[p.reportCount-1]
	maxSpeed := p.Work * (1 - first.fraction) / (now - first.at).Seconds() // as if all that was left were done by now
	if p.AcceptedReports == 0 {
		return maxSpeed, true, true
	}
	if last.at <= first.at {
		return maxSpeed, true, true
	}
	speed = p.Work * (last.fraction - first.fraction) / (last.at - first.at).Seconds()
	if interval > 0 && now-last.at > interval*3/2 {
		return min(speed, maxSpeed), true, true
	}
	return speed, false, true
}

// ReportsOverdue reports whether a worker that reports progress has not reported for two and a
// half intervals.
func (p *Part) ReportsOverdue(now, interval time.Duration) bool {
	return interval > 0 && p.Running() && p.reportCount > 0 && now-p.reports[p.reportCount-1].at > interval*5/2
}

// Remaining returns how long the attempt will probably still take at a speed.
func (p *Part) Remaining(now time.Duration, speed float64) time.Duration {
	if p.finished {
		return 0
	}
	remaining := p.Work * (1 - p.Fraction())
	if p.reportCount > 0 { // subtract what was done since the last report
		remaining -= speed * (now - p.reports[p.reportCount-1].at).Seconds()
	}
	return time.Duration(max(remaining, 0) / max(speed, 1e-3) * float64(time.Second))
}
