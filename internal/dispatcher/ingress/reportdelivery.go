package ingress

import (
	"time"

	"frosttide/internal/dispatcher/core"
)

// reportDelivery is the delivery of a worker's report while there are two processes,
// or shortly after.
type reportDelivery struct {
	front    *Front
	report   core.JobEvent
	deadline time.Time
	arrived  <-chan struct{} // closed when this process's core gets the job; nil once that was seen
}

// deliverReport passes a report to the process that holds the job, and reports whether
// the worker is done with it. With one process nobody waits for that. A report waits
// while its job may be on its way from one process to the other, also once the other
// one has ended; where neither of two has the job the worker has to repeat it.
func (f *Front) deliverReport(report core.JobEvent) bool {
	if f.holdsAllJobs() {
		f.core.Report(report, func(core.ReportResult) {})
		return true
	}
	arrived, unsubscribe := f.arrivals.subscribe(report.ID)
	defer unsubscribe()
	d := reportDelivery{front: f, report: report, deadline: f.reportDeadline(), arrived: arrived}
	return d.run()
}

// holdsAllJobs reports whether every open job is at this process's core.
func (f *Front) holdsAllJobs() bool {
	// The link ends behind the last job that comes on it, so it is looked at first.
	return !f.peer.Linked() && !f.listener.awaitsJobs() && !f.handOverBegun()
}

// reportDeadline returns until when a report that comes now may be delivered: before
// the process has to have answered everything.
func (f *Front) reportDeadline() time.Time {
	deadline := time.Now().Add(reportTimeout)
	if answerBy := f.answerBy.Load(); answerBy != nil && answerBy.Before(deadline) {
		return *answerBy
	}
	return deadline
}

// run tries the delivery until a process has the report, none will, or the deadline.
func (d *reportDelivery) run() bool {
	for {
		linked := d.front.peer.Linked()
		awaitsJobs := d.front.listener.awaitsJobs()
		switch d.attempt(linked) {
		case core.Held:
			return true
		case core.NotHeld:
			if linkEnded := linked && !d.front.peer.Linked(); !awaitsJobs && !linkEnded {
				return !linked
			}
		}
		if time.Until(d.deadline) < reportRetryInterval {
			return false
		}
		d.pause()
	}
}

// attempt passes the report to this process's core, and where that does not hold the
// job to the other process. It returns whether one of them holds it.
func (d *reportDelivery) attempt(linked bool) core.ReportResult {
	here := d.deliverHere()
	if here == core.Held || !linked {
		return here
	}
	answer := make(chan core.ReportResult, 1)
	go func() { answer <- d.front.peer.ForwardReport(d.report, d.deadline) }()
	select {
	case there := <-answer:
		if there != core.NotHeld {
			return there
		}
		return here
	case <-d.arrived:
		d.arrived = nil
		return d.deliverHere()
	}
}

// deliverHere passes the report to this process's core, and returns whether that holds
// the job.
func (d *reportDelivery) deliverHere() core.ReportResult {
	held := make(chan core.ReportResult, 1)
	d.front.core.Report(d.report, func(here core.ReportResult) { held <- here })
	timeout := time.NewTimer(time.Until(d.deadline))
	defer timeout.Stop()
	select {
	case here := <-held:
		return here
	case <-timeout.C:
		return core.NotHeld
	}
}

// pause waits until the next attempt.
func (d *reportDelivery) pause() {
	timer := time.NewTimer(reportRetryInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-d.arrived:
		d.arrived = nil
	}
}

// ReportForwarded takes a report that the other process has passed on, and passes to
// held whether this process holds the job. While jobs are on their way here it waits for
// that of the report.
func (f *Front) ReportForwarded(report core.JobEvent, held func(core.ReportResult)) {
	awaitsJobs := f.listener.awaitsJobs()
	arrived, unsubscribe := f.arrivals.subscribe(report.ID)
	f.core.Report(report, func(here core.ReportResult) {
		if here != core.NotHeld || !awaitsJobs {
			unsubscribe()
			held(here)
			return
		}
		go func() {
			defer unsubscribe()
			timer := time.NewTimer(reportTimeout)
			defer timer.Stop()
			select {
			case <-arrived:
			case <-timer.C:
			}
			f.core.Report(report, held)
		}()
	})
}
