package forecast

import (
	"math"
	"time"
)

// reportConfidence returns the factor of waits that follow from reports: less than 1 where jobs start far sooner than
// reports had them wait. So a deployment whose workers report, for whatever reason, that they are full is not refused
// what its workers would do at once.
func (f *Fleet) reportConfidence() float64 {
	return min((f.meanActualWait+unprovenWait)/(f.meanReportedWait+unprovenWait), 1)
}

// wait returns how many seconds a job of the given slots is likely to wait at a worker.
func (f *Fleet) wait(w *Worker, kind int, own Own, slots float64, now time.Duration) float64 {
	return f.reportedWait(w, kind, own, slots, now) * f.reportConfidence()
}

// reportedWait returns the same by the reports alone. A worker serves its queue in order, so where a job of the
// dispatcher's own waits no slot is free.
func (f *Fleet) reportedWait(w *Worker, kind int, own Own, slots float64, now time.Duration) float64 {
	size := f.size(w, kind)
	inUse := own.InUse + f.Others(w, kind, now)
	if own.InUse > own.Running {
		inUse = max(inUse, size+own.InUse-own.Running)
	}
	missing := inUse + slots - size              // slots that have to come free
	if x := missing / inUseUncertainty; x < 30 { // the expected value, as inUse is uncertain
		missing = inUseUncertainty * math.Log1p(math.Exp(x))
	}
	inUse = max(inUse, missing)
	work := max(own.Work, 0) + max(inUse-own.InUse, 0)*f.meanWork
	return waitFactor * missing / inUse * work / size * f.Pace(w, kind, now)
}

// TimeToFinish returns in how many seconds a worker of a kind is likely to have done a job.
func (f *Fleet) TimeToFinish(w *Worker, kind int, own Own, job *Job, now time.Duration) float64 {
	return f.wait(w, kind, own, job.Slots, now) + job.Work*f.Pace(w, kind, now)
}

// ShouldReject reports whether a job is to be rejected rather than sent to the given worker, the best one: it would wait
// there and miss its target, or it is beyond its tenant's quota and would wait for long.
//
// Where nothing has been sent for a while, longer for more dispatchers, it lets one job through, whose start shows
// whether the reports are right; otherwise wrong reports could keep all jobs away for good.
func (f *Fleet) ShouldReject(w *Worker, kind int, own Own, job *Job, dispatchers int, now time.Duration) bool {
	if now-f.sentAt > proofInterval*time.Duration(max(dispatchers, 1)) {
		return false
	}
	wait, left := f.wait(w, kind, own, job.Slots, now), (job.TargetAt - now).Seconds()
	if job.OverQuota && wait > overQuotaWaitFraction*job.Target {
		return true
	}
	return wait >= minQueueFraction*job.Target && wait+job.Work*f.Pace(w, kind, now) > maxTargetFraction*left
}

// WaitUntil returns until when a job that is sent to a worker now may wait there; it would miss its target if it
// started later.
func (f *Fleet) WaitUntil(w *Worker, kind int, job *Job, now time.Duration) time.Duration {
	left := (job.TargetAt - now).Seconds()
	wait := max(left-minRunFraction*job.Work*f.Pace(w, kind, now), minWaitFraction*left, 0)
	return now + time.Duration(wait*float64(time.Second))
}
