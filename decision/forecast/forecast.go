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
	// fades is how fast what others hold at a worker is forgotten: by then most of the
	// jobs that the report told of are done.
	fades = 4 * time.Second
	// sizeGain is how fast the slots that a worker has follow the most that are reported
	// free: reports are a little noisy, so the highest one alone says too much.
	sizeGain = 0.1
	// mostSlots bounds the slots that a worker is taken to have.
	mostSlots = 1 << 12
	// unsure is how many slots what is held may be off: a worker that is nearly full is
	// likelier to make a job wait than one that is empty.
	unsure = 0.4
	// meanGain is the weight of a new sample in the fleet's means.
	meanGain = 1.0 / 16
	// waitMore is how much longer than the mean a wait is taken for: a job of many slots
	// at a queue's head keeps slots empty until enough of them are free.
	waitMore = 1.5
	// unproved is how many seconds of mean wait prove nothing of the reports, and saidMost
	// bounds what one job says of them.
	unproved = 0.1
	saidMost = 10.0
	// proofEvery is how long nothing may be sent before one job is, for each dispatcher.
	proofEvery = 250 * time.Millisecond
	// lateFrom is the part of its time that a job may be taken to need at most.
	lateFrom = 1.0
	// Past its tenant's share a job may wait for pastWait of its time at most.
	pastWait = 0.3
	// queueFrom is the part of its time from which a job waits in a queue: below it what
	// makes it late is its own run, and a refusal would spare nobody anything.
	queueFrom = 0.2
	// A job that has not started is given up when less than hopeRun of its run is left of
	// its time, and after hopeLeast of its time at the soonest.
	hopeRun   = 0.5
	hopeLeast = 0.6
)

// Own is what the dispatcher itself has out at a worker.
type Own struct {
	Held    float64 // slots of all its jobs there
	Running float64 // slots of those that have started
	Work    float64 // slots times seconds of them at a usual worker
}

// Worker is what is known of a worker's load and pace. The zero value knows nothing.
type Worker struct {
	free   size    // by its own reports
	most   float64 // the most that the dispatcher's own jobs have used
	others float64 // slots that others' jobs hold, waiting ones too
	queue  float64 // of those, what is reckoned to wait by what is handled
	at     time.Duration
	known  bool
	pace   pace
}

// Job is a request as it is reckoned with.
type Job struct {
	Slots float64
	Work  float64       // seconds that it is taken to run at a usual worker
	Aim   float64       // seconds in which it has to be done, from its arrival
	Until time.Duration // when they are over
	Past  bool          // it is past its tenant's share

	sent time.Duration // to a worker, the last time
	said float64       // seconds that it was to wait there, by the reports alone
}

// Fleet is what is known of all workers together. The zero value knows nothing.
type Fleet struct {
	known   bool
	at      time.Duration // when a worker has last reported
	fill    float64       // others' slots against a worker's own, the mean
	slots   float64       // of a worker, the mean
	wide    float64       // slots of a job, the mean
	work    float64       // seconds that a slot's job takes at a usual worker, the mean
	said    float64       // seconds that jobs were to wait, by the reports alone, the mean
	was     float64       // seconds that they have waited, the mean
	sentAt  time.Duration // when the dispatcher has last sent anything
	kinds   [kinds]pace
	sizes   [kinds]size
	guesses []guess // by class
}

// Known tells whether reports have come that say what workers hold.
func (f *Fleet) Known() bool { return f.known }

// Arrived returns a request of a class as it is reckoned with; usual is how long its like
// run, in seconds, where nothing else is known.
func (f *Fleet) Arrived(class int, slots float64, hint time.Duration, usual float64) Job {
	j := Job{Slots: slots, Work: f.guess(class).work(hint, usual)}
	if f.wide == 0 {
		f.wide, f.work = slots, j.Work
	}
	f.wide += (slots - f.wide) * meanGain
	f.work += (j.Work - f.work) * min(meanGain*slots/f.wide, 1)
	return j
}

// Rate returns how many requests of the mean slots and work a worker of a kind serves in a
// second when it is warm, by the slots that it is taken to have.
func (f *Fleet) Rate(w *Worker, kind int, slots float64, now time.Duration) float64 {
	return slots / max(f.Mean()*f.Pace(w, kind, now), shortest)
}

// Mean returns the slots times seconds that a request takes at a usual worker, the mean.
func (f *Fleet) Mean() float64 { return max(f.wide, 1) * max(f.work, shortest) }

// Sent takes in that a job goes to a worker, not yet counted in own.
func (f *Fleet) Sent(w *Worker, kind int, own Own, j *Job, now time.Duration) {
	j.sent, j.said, f.sentAt = now, f.queue(w, kind, own, j.Slots, now), now
}

// belief returns how much of the waits that reports lead to is believed: less than all where
// jobs start far sooner than these said. Guards a deployment whose reports say that all is
// full, for whatever reason, from being refused what its workers would do at once.
func (f *Fleet) belief() float64 { return min((f.was+unproved)/(f.said+unproved), 1) }

// Started takes in that a job of the dispatcher's has started, counted in own, and whether
// it had to wait: what is at the worker beside it is known for a moment.
func (f *Fleet) Started(w *Worker, kind int, j *Job, waited bool, own Own, now time.Duration) {
	f.said += (min(j.said, saidMost) - f.said) * meanGain
	f.was += (min((now-j.sent).Seconds(), saidMost) - f.was) * meanGain
	w.most = min(max(w.most, own.Running), mostSlots)
	if !f.known {
		return
	}
	others, room := f.Others(w, kind, now), max(f.size(w, kind)-own.Running, 0)
	if waited {
		others = max(others, room)
	} else {
		others = min(others, room)
	}
	w.others, w.at, w.known, w.queue = others, now, true, 0
}

// Waits takes in that a job of the dispatcher's has not started at a worker since it was sent: what was
// ahead of it was at least as long, and what still is may be taken for as much. Guards against a
// worker whose jobs are called off before they end: nothing else tells of its queue, and the next
// jobs would go there as well.
func (f *Fleet) Waits(w *Worker, kind int, j *Job, own Own, now time.Duration) {
	if !f.known {
		return
	}
	room := max(f.size(w, kind)-own.Running, 0)
	ahead := (now - j.sent).Seconds() * f.size(w, kind) / max(f.work*f.Pace(w, kind, now), shortest)
	waiting := max(own.Held-own.Running, 0)
	w.others = min(max(f.Others(w, kind, now), room+ahead-waiting), mostSlots)
	w.at, w.known, w.queue = now, true, 0
}

func faded(age time.Duration) float64 { return math.Exp(-float64(age) / float64(fades)) }

// wait returns how many seconds a job is likely to wait at a worker.
func (f *Fleet) wait(w *Worker, kind int, own Own, slots float64, now time.Duration) float64 {
	return f.queue(w, kind, own, slots, now) * f.belief()
}

// queue returns the same by the reports alone. The worker's queue is served in
// order, so where a job of the dispatcher's own waits nothing is free.
func (f *Fleet) queue(w *Worker, kind int, own Own, slots float64, now time.Duration) float64 {
	size := f.size(w, kind)
	held := own.Held + f.Others(w, kind, now)
	if own.Held > own.Running {
		held = max(held, size+own.Held-own.Running)
	}
	over := held + slots - size
	if x := over / unsure; x < 30 { // the mean of what is over, where held is off by chance
		over = unsure * math.Log1p(math.Exp(x))
	}
	held = max(held, over)
	work := max(own.Work, 0) + max(held-own.Held, 0)*f.work
	return waitMore * over / held * work / size * f.Pace(w, kind, now)
}

// Needs returns in how many seconds a worker of a kind is likely to have done a job.
func (f *Fleet) Needs(w *Worker, kind int, own Own, j *Job, now time.Duration) float64 {
	return f.wait(w, kind, own, j.Slots, now) + j.Work*f.Pace(w, kind, now)
}

// Late tells whether a job is to be refused rather than sent to a worker, the best there is:
// it would wait there and be done too late, or wait for long past its tenant's share.
//
// Guards clients from reports that keep all away for good: where nothing has been sent for a
// while, the longer the more dispatchers share the workers, one job goes out and shows.
func (f *Fleet) Late(w *Worker, kind int, own Own, j *Job, dispatchers int, now time.Duration) bool {
	if now-f.sentAt > proofEvery*time.Duration(max(dispatchers, 1)) {
		return false
	}
	wait, left := f.wait(w, kind, own, j.Slots, now), (j.Until - now).Seconds()
	if j.Past && wait > pastWait*j.Aim {
		return true
	}
	return wait >= queueFrom*j.Aim && wait+j.Work*f.Pace(w, kind, now) > lateFrom*left
}

// Hope returns until when a job that is sent to a worker now may wait there: after that it
// would be done too late.
func (f *Fleet) Hope(w *Worker, kind int, j *Job, now time.Duration) time.Duration {
	left := (j.Until - now).Seconds()
	wait := max(left-hopeRun*j.Work*f.Pace(w, kind, now), hopeLeast*left, 0)
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
	return Learned{Slots: max(float64(w.free), w.most), Pace: w.pace.log, Jobs: w.pace.n}
}

// Learn takes over what an earlier process has learned, as far as it can be.
func (w *Worker) Learn(l Learned, now time.Duration) {
	if l.Slots > 0 && l.Slots <= mostSlots {
		w.free = size(l.Slots)
	}
	if math.Abs(l.Pace) <= paceSpread && l.Jobs > 0 {
		w.pace = pace{log: l.Pace, n: min(l.Jobs, paceMost), at: now}
	}
}
