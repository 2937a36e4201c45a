// Package forecast says when a job would be done at a worker: from what the worker's load
// reports tell, from what the dispatcher has out there itself and from how fast it has been.
//
// A report is late and tells of all dispatchers together; what the dispatcher has sent since
// is known to it at once. So a report is split: the dispatcher's own part is taken out, and
// what others hold fades towards the fleet's mean as the report ages. The package is pure: no
// I/O, no clock, and bounded by the numbers of workers and classes that it is asked about.
package forecast

import (
	"math"
	"time"
)

const (
	// decayTime is how fast what others hold at a worker is forgotten: by then most of the
	// jobs that the report told of are done.
	decayTime = 4 * time.Second
	// sizeGain is how fast the slots that a worker has follow the most that are reported
	// free: reports are a little noisy, so the highest one alone says too much.
	sizeGain = 0.1
	// maxSlots bounds the slots that a worker is taken to have.
	maxSlots = 1 << 12
	// inUseUncertainty is how many slots what is held may be off: a worker that is nearly full is
	// likelier to make a job wait than one that is empty.
	inUseUncertainty = 0.4
	// meanGain is the weight of a new sample in the fleet's means.
	meanGain = 1.0 / 16
	// waitFactor is how much longer than the mean a wait is taken for: a job of many slots
	// at a queue's head keeps slots empty until enough of them are free.
	waitFactor = 1.5
	// unprovenWait is how many seconds of mean wait prove nothing of the reports, and saidMost
	// bounds what one job says of them.
	unprovenWait    = 0.1
	maxRecordedWait = 10.0
	// proofInterval is how long nothing may be sent before one job is, for each dispatcher.
	proofInterval = 250 * time.Millisecond
	// maxTargetFraction is the part of its time that a job may be taken to need at most.
	maxTargetFraction = 1.0
	// Past its tenant's share a job may wait for pastWait of its time at most.
	overQuotaWaitFraction = 0.3
	// minQueueFraction is the part of its time from which a job waits in a queue: below it what
	// makes it late is its own run, and a refusal would spare nobody anything.
	minQueueFraction = 0.2
	// A job that has not started is given up when less than hopeRun of its run is left of
	// its time, and after hopeLeast of its time at the soonest.
	minRunFraction  = 0.5
	minWaitFraction = 0.6
)

// Own is what the dispatcher itself has out at a worker.
type Own struct {
	InUse   float64 // slots of all its jobs there
	Running float64 // slots of those that have started
	Work    float64 // slots times seconds of them at a usual worker
}

// Worker is what is known of a worker's load and pace. The zero value knows nothing.
type Worker struct {
	reportedSize size    // by its own reports
	maxUsed      float64 // the most that the dispatcher's own jobs have used
	others       float64 // slots that others' jobs hold, waiting ones too
	othersQueued float64 // of those, what is reckoned to wait by what is handled
	updatedAt    time.Duration
	known        bool
	pace         pace
}

// Job is a request as it is reckoned with.
type Job struct {
	Slots     float64
	Work      float64       // seconds that it is taken to run at a usual worker
	Target    float64       // seconds in which it has to be done, from its arrival
	TargetAt  time.Duration // when they are over
	OverQuota bool          // it is past its tenant's share

	sentAt       time.Duration // to a worker, the last time
	reportedWait float64       // seconds that it was to wait there, by the reports alone
}

// Fleet is what is known of all workers together. The zero value knows nothing.
type Fleet struct {
	known            bool
	updatedAt        time.Duration // when a worker has last reported
	othersFill       float64       // others' slots against a worker's own, the mean
	meanSlots        float64       // of a worker, the mean
	meanJobSlots     float64       // slots of a job, the mean
	meanWork         float64       // seconds that a slot's job takes at a usual worker, the mean
	meanReportedWait float64       // seconds that jobs were to wait, by the reports alone, the mean
	meanActualWait   float64       // seconds that they have waited, the mean
	sentAt           time.Duration // when the dispatcher has last sent anything
	kindPaces        [maxKinds]pace
	kindSizes        [maxKinds]size
	estimates        []runEstimate // by class
}

// Known tells whether reports have come that say what workers hold.
func (f *Fleet) Known() bool { return f.known }

// NewJob returns a request of a class as it is reckoned with; usual is how long its like
// run, in seconds, where nothing else is known.
func (f *Fleet) NewJob(class int, slots float64, hint time.Duration, usual float64) Job {
	job := Job{Slots: slots, Work: f.estimate(class).work(hint, usual)}
	if f.meanJobSlots == 0 {
		f.meanJobSlots, f.meanWork = slots, job.Work
	}
	f.meanJobSlots += (slots - f.meanJobSlots) * meanGain
	f.meanWork += (job.Work - f.meanWork) * min(meanGain*slots/f.meanJobSlots, 1)
	return job
}

// Rate returns how many requests of the mean slots and work a worker of a kind serves in a
// second when it is warm, by the slots that it is taken to have.
func (f *Fleet) Rate(w *Worker, kind int, slots float64, now time.Duration) float64 {
	return slots / max(f.MeanSlotSeconds()*f.Pace(w, kind, now), minWork)
}

// MeanSlotSeconds returns the slots times seconds that a request takes at a usual worker, the mean.
func (f *Fleet) MeanSlotSeconds() float64 { return max(f.meanJobSlots, 1) * max(f.meanWork, minWork) }

// RecordSent takes in that a job goes to a worker, not yet counted in own.
func (f *Fleet) RecordSent(w *Worker, kind int, own Own, job *Job, now time.Duration) {
	job.sentAt, job.reportedWait, f.sentAt = now, f.reportedWait(w, kind, own, job.Slots, now), now
}

// reportConfidence returns how much of the waits that reports lead to is believed: less than all where
// jobs start far sooner than these said. Guards a deployment whose reports say that all is
// full, for whatever reason, from being refused what its workers would do at once.
func (f *Fleet) reportConfidence() float64 {
	return min((f.meanActualWait+unprovenWait)/(f.meanReportedWait+unprovenWait), 1)
}

// RecordStart takes in that a job of the dispatcher's has started, counted in own, and whether
// it had to wait: what is at the worker beside it is known for a moment.
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

// RecordNoStart takes in that a job of the dispatcher's has not started at a worker since it was sent: what was
// ahead of it was at least as long, and what still is may be taken for as much. Guards against a
// worker whose jobs are called off before they end: nothing else tells of its queue, and the next
// jobs would go there as well.
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

func decay(age time.Duration) float64 { return math.Exp(-float64(age) / float64(decayTime)) }

// wait returns how many seconds a job is likely to wait at a worker.
func (f *Fleet) wait(w *Worker, kind int, own Own, slots float64, now time.Duration) float64 {
	return f.reportedWait(w, kind, own, slots, now) * f.reportConfidence()
}

// reportedWait returns the same by the reports alone. The worker's queue is served in
// order, so where a job of the dispatcher's own waits nothing is free.
func (f *Fleet) reportedWait(w *Worker, kind int, own Own, slots float64, now time.Duration) float64 {
	size := f.size(w, kind)
	held := own.InUse + f.Others(w, kind, now)
	if own.InUse > own.Running {
		held = max(held, size+own.InUse-own.Running)
	}
	over := held + slots - size
	if x := over / inUseUncertainty; x < 30 { // the mean of what is over, where held is off by chance
		over = inUseUncertainty * math.Log1p(math.Exp(x))
	}
	held = max(held, over)
	work := max(own.Work, 0) + max(held-own.InUse, 0)*f.meanWork
	return waitFactor * over / held * work / size * f.Pace(w, kind, now)
}

// TimeToFinish returns in how many seconds a worker of a kind is likely to have done a job.
func (f *Fleet) TimeToFinish(w *Worker, kind int, own Own, job *Job, now time.Duration) float64 {
	return f.wait(w, kind, own, job.Slots, now) + job.Work*f.Pace(w, kind, now)
}

// ShouldReject tells whether a job is to be refused rather than sent to a worker, the best there is:
// it would wait there and be done too late, or wait for long past its tenant's share.
//
// Guards clients from reports that keep all away for good: where nothing has been sent for a
// while, the longer the more dispatchers share the workers, one job goes out and shows.
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

// WaitUntil returns until when a job that is sent to a worker now may wait there: after that it
// would be done too late.
func (f *Fleet) WaitUntil(w *Worker, kind int, job *Job, now time.Duration) time.Duration {
	left := (job.TargetAt - now).Seconds()
	wait := max(left-minRunFraction*job.Work*f.Pace(w, kind, now), minWaitFraction*left, 0)
	return now + time.Duration(wait*float64(time.Second))
}

// Learned is what outlives the process that has learned it.
type Learned struct {
	Slots float64 // that the worker has; 0 for not known
	Pace  float64 // against a usual worker, a logarithm
	Jobs  float64 // that the pace rests on
}

// Learned returns what is known of a worker that another process can use.
func (w *Worker) Learned() Learned {
	return Learned{Slots: max(float64(w.reportedSize), w.maxUsed), Pace: w.pace.logarithm, Jobs: w.pace.jobs}
}

// Restore takes over what an earlier process has learned, as far as it can be.
func (w *Worker) Restore(l Learned, now time.Duration) {
	if l.Slots > 0 && l.Slots <= maxSlots {
		w.reportedSize = size(l.Slots)
	}
	if math.Abs(l.Pace) <= maxPaceDeviation && l.Jobs > 0 {
		w.pace = pace{logarithm: l.Pace, jobs: min(l.Jobs, maxPaceJobs), at: now}
	}
}
