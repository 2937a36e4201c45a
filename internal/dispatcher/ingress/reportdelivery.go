package ingress

import (
	"time"

	"frosttide/internal/dispatcher/core"
)

// reportDelivery delivers one worker's report while another process of the dispatcher may hold
// its job, that is, during a handover or shortly after.
type reportDelivery struct {
	front      *Front
	report     core.JobEvent
	deadline   time.Time
	jobArrived <-chan struct{} // closed when the core adopts the job; nil once handled
}

// deliverReport passes a report to the process that holds the job, and reports whether the
// report is settled; if not, the worker must retry it. If this process holds all jobs it
// returns true without waiting for the core. Otherwise it waits while the job may be in transit
// between two processes, even if the other process has ended since; if neither process holds
// the job, the worker must retry.
func (f *Front) deliverReport(report core.JobEvent) bool {
	if f.holdsAllJobs() {
		f.core.Report(report, func(core.ReportResult) {})
		return true
	}
	arrived, unsubscribe := f.arrivals.subscribe(report.ID)
	defer unsubscribe()
	d := reportDelivery{front: f, report: report, deadline: f.reportDeadline(), jobArrived: arrived}
	return d.run()
}

// holdsAllJobs reports whether this process's core holds all open jobs.
func (f *Front) holdsAllJobs() bool {
	// The link is checked first: it closes only after the last job has arrived on it.
	return !f.peer.Linked() && !f.listener.hasJobsInTransit() && !f.handOverStarted()
}

// reportDeadline returns the deadline for delivering a report that arrives now: in
// reportTimeout, but not after answerBy.
func (f *Front) reportDeadline() time.Time {
	deadline := time.Now().Add(reportTimeout)
	if answerBy := f.answerBy.Load(); answerBy != nil && answerBy.Before(deadline) {
		return *answerBy
	}
	return deadline
}

// run retries the delivery until a process accepts the report, no process can hold its job any
// more, or the deadline is reached. It returns the result of deliverReport.
func (d *reportDelivery) run() bool {
	for {
		linked := d.front.peer.Linked()
		jobsInTransit := d.front.listener.hasJobsInTransit()
		switch d.attempt(linked) {
		case core.Held:
			return true
		case core.NotHeld:
			if linkClosed := linked && !d.front.peer.Linked(); !jobsInTransit && !linkClosed {
				return !linked
			}
		}
		if time.Until(d.deadline) < reportRetryInterval {
			return false
		}
		d.waitForRetry()
	}
}

// attempt passes the report to this process's core and, if that does not hold the job, to the
// other process. It returns whether one of them holds the job. If this process adopts the job
// while it waits for the other one, it tries its own core again.
func (d *reportDelivery) attempt(linked bool) core.ReportResult {
	local := d.deliverLocally()
	if local == core.Held || !linked {
		return local
	}
	forwarded := make(chan core.ReportResult, 1)
	go func() { forwarded <- d.front.peer.ForwardReport(d.report, d.deadline) }()
	select {
	case remote := <-forwarded:
		if remote != core.NotHeld {
			return remote
		}
		return local
	case <-d.jobArrived:
		d.jobArrived = nil
		return d.deliverLocally()
	}
}

// deliverLocally passes the report to this process's core and returns whether that holds the
// job. It returns NotHeld if the core does not answer by the deadline.
func (d *reportDelivery) deliverLocally() core.ReportResult {
	held := make(chan core.ReportResult, 1)
	d.front.core.Report(d.report, func(result core.ReportResult) { held <- result })
	timeout := time.NewTimer(time.Until(d.deadline))
	defer timeout.Stop()
	select {
	case result := <-held:
		return result
	case <-timeout.C:
		return core.NotHeld
	}
}

// waitForRetry waits for reportRetryInterval, or until this process's core adopts the job.
func (d *reportDelivery) waitForRetry() {
	timer := time.NewTimer(reportRetryInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-d.jobArrived:
		d.jobArrived = nil
	}
}

// ReportForwarded handles a report that the other process has forwarded, and tells held whether
// this process holds the job. If it does not, but jobs are still being handed over to this
// process, it waits up to reportTimeout for the job to be adopted and tries once more.
func (f *Front) ReportForwarded(report core.JobEvent, held func(core.ReportResult)) {
	jobsInTransit := f.listener.hasJobsInTransit()
	arrived, unsubscribe := f.arrivals.subscribe(report.ID)
	f.core.Report(report, func(result core.ReportResult) {
		if result != core.NotHeld || !jobsInTransit {
			unsubscribe()
			held(result)
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
