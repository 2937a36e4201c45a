// Package part estimates the speed of one part of a gang job from its worker's progress reports,
// relative to the part's size. Package board holds a Part for each part that its dispatcher has
// sent to a worker.
//
// The package is pure: it does no I/O and reads no clock; times are the cluster's time since 1970.
// A Part is not safe for concurrent use.
package part

import "time"

// reportWindow is the number of most recent reports that the speed is computed from, so that it
// reflects the current speed and not the average since the start.
const reportWindow = 3

// Part is the current attempt of one part of a gang. The zero value is a part that has not been
// sent; set Work before the first Send.
type Part struct {
	Worker  string  // empty until the part is sent
	Work    float64 // expected run time in seconds on a typical worker, from the job's hint; 1 without a hint
	Attempt int     // number of the current attempt

	sentAt, startedAt, endedAt   time.Duration
	started, finished, succeeded bool
	reports                      [reportWindow + 1]progress // most recent progress, oldest first; the start counts as progress 0
	reportCount                  int
	RejectedReports              int // number of ignored events, over all attempts
	AcceptedReports              int // number of progress reports used, in the current attempt
}

// progress is the fraction of the work that was done at a point in time.
type progress struct {
	at       time.Duration
	fraction float64
}

// Send begins a new attempt, which is sent to worker. From then on, events of earlier attempts are
// ignored.
func (p *Part) Send(worker string, attempt int, at time.Duration) {
	*p = Part{Worker: worker, Work: p.Work, Attempt: attempt, sentAt: at, RejectedReports: p.RejectedReports}
}

// Start records that the worker has started an attempt.
func (p *Part) Start(attempt int, at time.Duration) {
	if attempt != p.Attempt || p.started || p.finished || p.Worker == "" {
		p.RejectedReports++
		return
	}
	p.started, p.startedAt = true, at
	p.record(progress{at, 0})
}

// Report records the fraction of the work that an attempt has done. A report is ignored if it
// belongs to another attempt or comes after the end, if its time or fraction is less than that of
// the last one, or if the fraction is not in [0, 1].
func (p *Part) Report(attempt int, fraction float64, at time.Duration) {
	last := p.reports[max(p.reportCount-1, 0)]
	if attempt != p.Attempt || p.finished || p.Worker == "" || !(fraction >= 0 && fraction <= 1) || p.reportCount > 0 && (at < last.at || fraction < last.fraction) {
		p.RejectedReports++
		return
	}
	if !p.started { // the start event was lost
		p.started, p.startedAt = true, p.sentAt
		p.record(progress{p.sentAt, 0})
	}
	p.record(progress{at, fraction})
	p.AcceptedReports++
}

// record appends to the report window and drops the oldest entry if the window is full.
func (p *Part) record(latest progress) {
	if p.reportCount == len(p.reports) {
		copy(p.reports[:], p.reports[1:])
		p.reportCount--
	}
	p.reports[p.reportCount] = latest
	p.reportCount++
}

// End records that an attempt has ended, and whether it succeeded.
func (p *Part) End(attempt int, succeeded bool, at time.Duration) {
	if attempt != p.Attempt || p.finished {
		p.RejectedReports++
		return
	}
	p.finished, p.succeeded, p.endedAt = true, succeeded, at
}

// Finished reports whether the attempt has ended, and whether it succeeded.
func (p *Part) Finished() (finished, succeeded bool) { return p.finished, p.succeeded }

// Running reports whether a worker has started the attempt and it has not ended.
func (p *Part) Running() bool { return p.started && !p.finished }

// Waiting reports whether the attempt was sent but has neither started nor ended.
func (p *Part) Waiting() bool { return p.Worker != "" && !p.started && !p.finished }

// WaitTime returns the time from sending the attempt until it started, or until now if it has not
// started.
func (p *Part) WaitTime(now time.Duration) time.Duration {
	if p.started {
		return p.startedAt - p.sentAt
	}
	return now - p.sentAt
}

// RunTime returns how long the attempt ran. It is meaningful only if the attempt has succeeded.
func (p *Part) RunTime() time.Duration { return p.endedAt - p.startedAt }

// Fraction returns the fraction of the work done as of the last report, 0 before the first one.
func (p *Part) Fraction() float64 {
	if p.reportCount == 0 {
		return 0
	}
	return p.reports[p.reportCount-1].fraction
}

// Speed returns the work done per second, which is 1 on a typical worker if the hint is accurate.
// interval is the time between progress reports, 0 if workers report only the start and the end.
// upperBound means that speed is only an upper bound, because the last report is overdue or there
// is none. ok is false if the speed is unknown.
func (p *Part) Speed(now, interval time.Duration) (speed float64, upperBound, ok bool) {
	switch {
	case p.finished && p.succeeded && p.endedAt > p.startedAt:
		return p.Work / (p.endedAt - p.startedAt).Seconds(), false, true
	case !p.Running() || now <= p.startedAt:
		return 0, false, false
	}
	first, last := p.reports[0], p.reports[p.reportCount-1]
	maxSpeed := p.Work * (1 - first.fraction) / (now - first.at).Seconds() // assumes that all remaining work has been done by now
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

// ReportsOverdue reports whether the attempt is running and its last progress is more than two and
// a half report intervals old. It is always false if workers do not report progress.
func (p *Part) ReportsOverdue(now, interval time.Duration) bool {
	return interval > 0 && p.Running() && p.reportCount > 0 && now-p.reports[p.reportCount-1].at > interval*5/2
}

// Remaining returns the expected time until the attempt ends if it continues at speed, which is in
// work per second; 0 if it has ended.
func (p *Part) Remaining(now time.Duration, speed float64) time.Duration {
	if p.finished {
		return 0
	}
	remaining := p.Work * (1 - p.Fraction())
	if p.reportCount > 0 { // subtract the estimated work since the last report
		remaining -= speed * (now - p.reports[p.reportCount-1].at).Seconds()
	}
	return time.Duration(max(remaining, 0) / max(speed, 1e-3) * float64(time.Second))
}
