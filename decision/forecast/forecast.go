// Package forecast estimates when a worker would finish a request, from the worker's load reports, the dispatcher's own
// open attempts and past run times.
//
// A load report is old when it arrives and covers the jobs of all dispatchers, while the dispatcher knows its own open
// attempts exactly. A report is therefore split: the dispatcher's own jobs are subtracted, and the load of the other
// dispatchers decays towards the fleet's mean as the report ages. Package decision records sends, starts, reports and
// runs, and compares workers by TimeToFinish.
//
// The package is pure: it does no I/O and reads no clock. Its memory is bounded by the numbers of workers, kinds and
// classes. Forecasts are finite and not negative for any report. Fleet, Worker and Job are not safe for concurrent use.
package forecast

import "time"

const (
	// decayTime is the time constant of the decay of other dispatchers' slots at a worker: after it most of the jobs
	// that the report counted are done.
	decayTime = 4 * time.Second
	// sizeGain is how fast the size of a worker follows the highest reports of free slots: reports are noisy, so the
	// highest one alone is too high.
	sizeGain = 0.1
	// maxSlots bounds the size of a worker, in slots.
	maxSlots = 1 << 12
	// inUseUncertainty is the uncertainty, in slots, of the number of slots in use. Because of it a job may also have to
	// wait at a worker that seems to have just enough free slots.
	inUseUncertainty = 0.4
	// meanGain is the weight of a new sample in the fleet's moving averages.
	meanGain = 1.0 / 16
	// waitFactor is the ratio of actual waits to those of a queue that always keeps all slots in use: a job of many slots
	// at the head of the queue keeps slots idle until enough of them are free.
	waitFactor = 1.5
	// unprovenWait, in seconds, is added to both mean waits of reportConfidence, so that short waits hardly lower it.
	// maxRecordedWait, in seconds, bounds a single wait in the means.
	unprovenWait    = 0.1
	maxRecordedWait = 10.0
	// proofInterval, times the number of dispatchers, is the time without any send after which one job is sent in spite
	// of the reports.
	proofInterval = 250 * time.Millisecond
	// maxTargetFraction is the largest time that a job may need, as a fraction of the time left to its target.
	maxTargetFraction = 1.0
	// overQuotaWaitFraction is the longest wait, as a fraction of the target, of a job beyond its tenant's quota.
	overQuotaWaitFraction = 0.3
	// minQueueFraction is the least wait, as a fraction of the target, for which a job is rejected. With a shorter wait a
	// job misses its target because of its own run time, and rejecting it would not help.
	minQueueFraction = 0.2
	// A job that has not started is canceled once the time left to its target is less than minRunFraction of its run
	// time, but not before minWaitFraction of the time to its target has passed.
	minRunFraction  = 0.5
	minWaitFraction = 0.6
)

// Own is the load of the dispatcher's own open attempts at a worker.
type Own struct {
	InUse   float64 // slots of all open attempts
	Running float64 // slots of the attempts that have started
	Work    float64 // slots times seconds of all open attempts at a worker of mean pace
}

// Worker is the state of a worker: its load, size and pace. The zero value is a worker without observations.
type Worker struct {
	reportedSize size    // size estimated from its load reports
	maxUsed      float64 // most slots that the dispatcher's own running jobs have used at once
	others       float64 // slots of other dispatchers' jobs at updatedAt, including waiting jobs
	othersQueued float64 // part of others: slots of waiting jobs, if derived from the jobs in flight; otherwise 0
	updatedAt    time.Duration
	known        bool // others has been set
	pace         pace
}

// Job is the part of a request that forecasts use. Create it with NewJob, then set the target.
type Job struct {
	Slots     float64
	Work      float64       // estimated seconds of its run at a worker of mean pace
	Target    float64       // latency target: seconds from its arrival to its end
	TargetAt  time.Duration // the time of its target
	OverQuota bool          // the job is beyond its tenant's quota

	sentAt       time.Duration // when its last attempt was sent
	reportedWait float64       // expected wait of that attempt in seconds, by the reports alone
}

// Fleet is the state of all workers together. The zero value is a fleet without observations.
type Fleet struct {
	known            bool          // a worker has reported its free slots
	updatedAt        time.Duration // when a worker last reported
	othersFill       float64       // mean ratio of other dispatchers' slots at a worker to its size
	meanSlots        float64       // mean size of a worker
	meanJobSlots     float64       // mean slots of a job
	meanWork         float64       // mean seconds of a job at a worker of mean pace, weighted by its slots
	meanReportedWait float64       // mean wait of jobs in seconds that the reports predicted
	meanActualWait   float64       // mean actual wait of jobs in seconds
	sentAt           time.Duration // when the dispatcher last sent a job
	kindPaces        [maxKinds]pace
	kindSizes        [maxKinds]size
	estimates        []runEstimate // by class
}

// Known reports whether any worker has reported its free slots.
func (f *Fleet) Known() bool { return f.known }

// NewJob returns the job of an arriving request of a class with a hint of its run time, 0 for none; usual is the default
// run time in seconds. It updates the means of slots and work.
func (f *Fleet) NewJob(class int, slots float64, hint time.Duration, usual float64) Job {
	job := Job{Slots: slots, Work: f.estimate(class).work(hint, usual)}
	if f.meanJobSlots == 0 {
		f.meanJobSlots, f.meanWork = slots, job.Work
	}
	f.meanJobSlots += (slots - f.meanJobSlots) * meanGain
	f.meanWork += (job.Work - f.meanWork) * min(meanGain*slots/f.meanJobSlots, 1)
	return job
}

// Rate returns how many requests of mean slots and work a warm worker of a kind with the given slots serves per second.
func (f *Fleet) Rate(w *Worker, kind int, slots float64, now time.Duration) float64 {
	return slots / max(f.MeanSlotSeconds()*f.Pace(w, kind, now), minWork)
}

// MeanSlotSeconds returns the mean of a request's slots times its seconds at a worker of mean pace.
func (f *Fleet) MeanSlotSeconds() float64 { return max(f.meanJobSlots, 1) * max(f.meanWork, minWork) }

// RecordSent records that a job is sent to a worker; own does not include the job yet.
func (f *Fleet) RecordSent(w *Worker, kind int, own Own, job *Job, now time.Duration) {
	job.sentAt, job.reportedWait, f.sentAt = now, f.reportedWait(w, kind, own, job.Slots, now), now
}

// RecordStart records that a job of the dispatcher has started and whether it waited for its start; own includes the job.
// The start also bounds the current slots of other dispatchers: they leave no slot free if the job waited, and use at
// most the remaining slots if it did not.
func (f *Fleet) RecordStart(w *Worker, kind int, job *Job, waited bool, own Own, now time.Duration) {
	f.meanReportedWait += (min(job.reportedWait, maxRecordedWait) - f.meanReportedWait) * meanGain
	f.meanActualWait += (min((now-job.sentAt).Seconds(), maxRecordedWait) - f.meanActualWait) * meanGain
	w.maxUsed = min(max(w.maxUsed, own.Running), maxSlots)
	if !f.known {
		return
	}
	others, free := f.OthersInUse(w, kind, now), max(f.size(w, kind)-own.Running, 0)
	if waited {
		others = max(others, free)
	} else {
		others = min(others, free)
	}
	w.others, w.updatedAt, w.known, w.othersQueued = others, now, true, 0
}

// RecordNoStart records that a job of the dispatcher was canceled before its start at a worker. The queue before the job
// was at least as long as its wait, and the remaining queue is assumed to be as long. Where jobs are canceled before they
// end there is no other information on the queue, and the next jobs would be sent there as well.
func (f *Fleet) RecordNoStart(w *Worker, kind int, job *Job, own Own, now time.Duration) {
	if !f.known {
		return
	}
	free := max(f.size(w, kind)-own.Running, 0)
	ahead := (now - job.sentAt).Seconds() * f.size(w, kind) / max(f.meanWork*f.Pace(w, kind, now), minWork)
	waiting := max(own.InUse-own.Running, 0)
	w.others = min(max(f.OthersInUse(w, kind, now), free+ahead-waiting), maxSlots)
	w.updatedAt, w.known, w.othersQueued = now, true, 0
}
