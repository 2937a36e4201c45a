package forecast

import (
	"math"
	"time"
)

// reportConfidence returns the factor by which reported waits are multiplied: less than 1 where jobs start far sooner than
// the reports predicted. Otherwise, in a deployment whose workers wrongly report that they are full, jobs would be
// rejected that the workers could start at once.
func (f *Fleet) reportConfidence() float64 {
	return min((f.meanActualWait+unprovenWait)/(f.meanReportedWait+unprovenWait), 1)
}

// wait returns the expected wait, in seconds, of a job of the given slots at a worker.
func (f *Fleet) wait(w *Worker, kind int, own Own, slots float64, now time.Duration) float64 {
	return f.reportedWait(w, kind, own, slots, now) * f.reportConfidence()
}

// reportedWait returns the expected wait by the reports alone. A worker serves its queue in order, so no slot is free
// where one of the dispatcher's own jobs waits.
func (f *Fleet) reportedWait(w *Worker, kind int, own Own, slots float64, now time.Duration) float64 {
	size := f.size(w, kind)
	inUse := own.InUse + f.OthersInUse(w, kind, now)
	if own.InUse > own.Running {
		inUse = max(inUse, size+own.InUse-own.Running)
	}
	missing := inUse + slots - size              // slots that must become free
	if x := missing / inUseUncertainty; x < 30 { // smoothed to allow for the uncertainty of inUse
		missing = inUseUncertainty * math.Log1p(math.Exp(x))
	}
	inUse = max(inUse, missing)
	work := max(own.Work, 0) + max(inUse-own.InUse, 0)*f.meanWork
	return waitFactor * missing / inUse * work / size * f.Pace(w, kind, now)
}

// TimeToFinish returns the expected seconds until a worker of a kind has finished a job that is sent now.
func (f *Fleet) TimeToFinish(w *Worker, kind int, own Own, job *Job, now time.Duration) float64 {
	return f.wait(w, kind, own, job.Slots, now) + job.Work*f.Pace(w, kind, now)
}

// ShouldReject reports whether to reject a job rather than send it to the given worker, the best one for it: because the
// job would wait there and miss its target, or is beyond its tenant's quota and would wait for long.
//
// After an interval without sends, which grows with the number of dispatchers, it admits one job, whose start shows
// whether the reports are right. Otherwise wrong reports could make the dispatcher reject all jobs forever.
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

// WaitUntil returns the time until which a job that is sent to a worker now may wait there for its start. A job that
// starts later is expected to miss its target.
func (f *Fleet) WaitUntil(w *Worker, kind int, job *Job, now time.Duration) time.Duration {
	left := (job.TargetAt - now).Seconds()
	wait := max(left-minRunFraction*job.Work*f.Pace(w, kind, now), minWaitFraction*left, 0)
	return now + time.Duration(wait*float64(time.Second))
}
