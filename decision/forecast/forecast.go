// Package forecast estimates when a request would be done at a worker: by the worker's load reports, by the open
// attempts of the dispatcher itself and by the run times so far.
//
// A load report is old when it arrives and covers all dispatchers together, while the dispatcher knows at once what it
// has sent since. So a report is split: the dispatcher's own part is taken out, and the part of the others decays
// towards the fleet's mean as the report ages. Package decision records sends, starts, reports and runs, and compares
// workers by TimeToFinish.
//
// The package is pure: it does no I/O and reads no clock. Its memory is bounded by the numbers of workers, kinds and
// classes. Forecasts are finite and not negative whatever is reported. Fleet, Worker and Job are not safe for concurrent
// use.
package forecast

import "time"

const (
	// decayTime is the time constant with which the slots that others use at a worker are forgotten: after it most of
	// the jobs that the report counted are done.
	decayTime = 4 * time.Second
	// sizeGain is how fast the size of a worker follows the highest reports of free slots: reports are noisy, so the
	// highest one alone is too high.
	sizeGain = 0.1
	// maxSlots bounds the size of a worker, in slots.
	maxSlots = 1 << 12
	// inUseUncertainty is the uncertainty of the slots in use: at a worker that is nearly full a job is more likely to
	// wait than at an empty one.
	inUseUncertainty = 0.4
	// meanGain is the weight of a new sample in the fleet's means.
	meanGain = 1.0 / 16
	// waitFactor is by how much waits exceed those of a queue whose slots are always in use: a job of many slots at its
	// head keeps slots empty until enough of them are free.
	waitFactor = 1.5
	// unprovenWait is the mean wait, in seconds, up to which actual waits do not disprove reports; maxRecordedWait bounds
	// one wait in the means, in seconds.
	unprovenWait    = 0.1
	maxRecordedWait = 10.0
	// proofInterval, times the number of dispatchers, is how long nothing is sent before one job is sent in spite of the
	// reports.
	proofInterval = 250 * time.Millisecond
	// maxTargetFraction is the fraction of the time left to its target that a job may need at most.
	maxTargetFraction = 1.0
	// overQuotaWaitFraction is the fraction of its target that a job beyond its tenant's quota may wait at most.
	overQuotaWaitFraction = 0.3
	// minQueueFraction is the wait, as a fraction of the target, from which a queue makes a job miss its target: below
	// it the job's own run does, and rejecting it would help nobody.
	minQueueFraction = 0.2
	// A job that has not started is given up when less than minRunFraction of its run time is left to its target, and
	// not before minWaitFraction of the time to its target.
	minRunFraction  = 0.5
	minWaitFraction = 0.6
)

// Own is what the dispatcher's own open attempts use at a worker.
type Own struct {
	InUse   float64 // slots of all of them
	Running float64 // slots of those that have started
	Work    float64 // slots times seconds of all of them at a worker of mean pace
}

// Worker is what is known of a worker's load, size and pace. The zero value knows nothing.
type Worker struct {
	reportedSize size    // by its load reports
	maxUsed      float64 // the most slots that the dispatcher's own jobs have used at once
	others       float64 // slots of other dispatchers' jobs at updatedAt, waiting ones included
	othersQueued float64 // of those, the slots of jobs that wait, where that is derived from jobs in flight
	updatedAt    time.Duration
	known        bool
	pace         pace
}

// Job is a request as forecasts see it; make it with NewJob, then set the target.
type Job struct {
	Slots     float64
	Work      float64       // estimated seconds of its run at a worker of mean pace
	Target    float64       // latency target: seconds from its arrival to its end
	TargetAt  time.Duration // the time of its target
	OverQuota bool          // it is beyond its tenant's quota

	sentAt       time.Duration // when its last attempt was sent
	reportedWait float64       // seconds that it had to wait there, by the reports alone
}

// Fleet is what is known of all workers together. The zero value knows nothing.
type Fleet struct {
	known            bool
	updatedAt        time.Duration // when a worker has last reported
	othersFill       float64       // mean ratio of the slots that others use at a worker to its size
	meanSlots        float64       // mean size of a worker
	meanJobSlots     float64       // slots of a job
	meanWork         float64       // seconds that a job takes at a worker of mean pace, weighted by its slots
	meanReportedWait float64       // seconds that jobs had to wait, by the reports alone
	meanActualWait   float64       // seconds that they have waited
	sentAt           time.Duration // when the dispatcher has last sent anything
	kindPaces        [maxKinds]pace
	kindSizes        [maxKinds]size
	estimates        []runEstimate // by class
}

// Known reports whether any worker has reported its free slots.
func (f *Fleet) Known() bool { return f.known }

// NewJob returns the job of an arriving request of a class with a hint of its run time, 0 for none; usual is the run
// time in seconds where nothing else is known. It updates the means of slots and work.
func (f *Fleet) NewJob(class int, slots float64, hint time.Duration, usual float64) Job {
	job := Job{Slots: slots, Work: f.estimate(class).work(hint, usual)}
	if f.meanJobSlots == 0 {
		f.meanJobSlots, f.meanWork = slots, job.Work
	}
	f.meanJobSlots += (slots - f.meanJobSlots) * meanGain
	f.meanWork += (job.Work - f.meanWork) * min(meanGain*slots/f.meanJobSlots, 1)
	return job
}

// Rate returns how many requests of mean slots and work per second a worker of a kind and of the given slots serves
// when it is warm.
func (f *Fleet) Rate(w *Worker, kind int, slots float64, now time.Duration) float64 {
	return slots / max(f.MeanSlotSeconds()*f.Pace(w, kind, now), minWork)
}

// MeanSlotSeconds returns the mean slots times seconds that a request takes at a worker of mean pace.
func (f *Fleet) MeanSlotSeconds() float64 { return max(f.meanJobSlots, 1) * max(f.meanWork, minWork) }

// RecordSent records that a job is sent to a worker; own does not include it yet.
func (f *Fleet) RecordSent(w *Worker, kind int, own Own, job *Job, now time.Duration) {
	job.sentAt, job.reportedWait, f.sentAt = now, f.reportedWait(w, kind, own, job.Slots, now), now
}

// RecordStart records that a job of the dispatcher has started, which own includes, and whether its start was overdue.
// For a moment this tells what others use at the worker.
func (f *Fleet) RecordStart(w *Worker, kind int, job *Job, waited bool, own Own, now time.Duration) {
	f.meanReportedWait += (min(job.reportedWait, maxRecordedWait) - f.meanReportedWait) * meanGain
	f.meanActualWait += (min((now-job.sentAt).Seconds(), maxRecordedWait) - f.meanActualWait) * meanGain
	w.maxUsed = min(max(w.maxUsed, own.Running), maxSlots)
	if !f.known {
		return
	}
	others, free := f.Others(w, kind, now), max(f.size(w, kind)-own.Running, 0)
	if waited {
		others = max(others, free)
	} else {
		others = min(others, free)
	}
	w.others, w.updatedAt, w.known, w.othersQueued = others, now, true, 0
}

// RecordNoStart records that a job of the dispatcher has not started at a worker since it was sent: the queue before it
// was at least as long as its wait, and what is left of it is assumed to be as long. Where jobs are canceled before they
// end nothing else tells about the queue, and the next jobs would be sent there as well.
func (f *Fleet) RecordNoStart(w *Worker, kind int, job *Job, own Own, now time.Duration) {
	if !f.known {
		return
	}
	free := max(f.size(w, kind)-own.Running, 0)
	ahead := (now - job.sentAt).Seconds() * f.size(w, kind) / max(f.meanWork*f.Pace(w, kind, now), minWork)
	waiting := max(own.InUse-own.Running, 0)
	w.others = min(max(f.Others(w, kind, now), free+ahead-waiting), maxSlots)
	w.updatedAt, w.known, w.othersQueued = now, true, 0
}
