package forecast

import (
	"math"
	"time"
)

const (
	// maxKinds bounds the number of distinct kinds of workers; kinds that are equal modulo maxKinds share their state.
	maxKinds = 64
	// maxClasses bounds the number of distinct classes; classes with higher numbers share the state of the last one.
	maxClasses = 1 << 10
	// paceMemory is the time constant of the decay of a pace's weight.
	paceMemory = 20 * time.Second
	// maxPaceJobs bounds the weight of a pace, in jobs, so that the pace follows changes of other load on the machine.
	maxPaceJobs = 8
	// kindWeight is the weight of the kind's pace, in jobs of the worker itself.
	kindWeight = 3
	// maxPaceDeviation bounds the absolute value of the logarithm of a single job's pace.
	maxPaceDeviation = 1.6
	// minHintJobs is the number of jobs with hints that must be recorded before hints may be ignored as worse than the
	// class's mean.
	minHintJobs = 8
	// minWork is the least work in seconds, so that logarithms and quotients stay finite.
	minWork = 1e-4
)

// pace is the ratio of jobs' run times to their estimates, as a mean of logarithms whose weight decays with time.
type pace struct {
	logarithm float64       // natural logarithm of the pace
	jobs      float64       // weight at the time at, in jobs
	at        time.Duration // when the last of them ended
}

// weight returns the weight of the pace, in jobs, after its decay since the last job.
func (p *pace) weight(now time.Duration) float64 {
	return p.jobs * math.Exp(-float64(now-p.at)/float64(paceMemory))
}

// add records the logarithm of the pace of a job.
func (p *pace) add(logarithm float64, now time.Duration) {
	jobs := min(p.weight(now)+1, maxPaceJobs)
	p.logarithm += (logarithm - p.logarithm) / jobs
	p.jobs, p.at = jobs, now
}

// kindPace returns the pace of the workers of a kind.
func (f *Fleet) kindPace(n int) *pace { return &f.kindPaces[uint(n)%maxKinds] }

// Pace returns how long a job takes at a worker of a kind, relative to a worker of mean pace.
func (f *Fleet) Pace(w *Worker, kind int, now time.Duration) float64 {
	k, own := f.kindPace(kind), w.pace.weight(now)
	ofKind := k.logarithm * k.jobs / (k.jobs + 1)
	return math.Exp((own*w.pace.logarithm + kindWeight*ofKind) / (own + kindWeight))
}

// RecordRun records that a job of a class took the given seconds at a worker. hint is its hint, 0 for none, and work its
// estimated work in seconds.
func (f *Fleet) RecordRun(w *Worker, kind, class int, hint time.Duration, work, took float64, now time.Duration) {
	took, work = max(took, minWork), max(work, minWork)
	f.estimate(class).record(hint, took/f.Pace(w, kind, now))
	logarithm := min(max(math.Log(took/work), -maxPaceDeviation), maxPaceDeviation)
	f.kindPace(kind).add(logarithm, now)
	w.pace.add(logarithm, now)
}

// estimate returns the estimate of a class.
func (f *Fleet) estimate(class int) *runEstimate {
	class = min(max(class, 0), maxClasses-1)
	for class >= len(f.estimates) {
		f.estimates = append(f.estimates, runEstimate{})
	}
	return &f.estimates[class]
}

// runEstimate estimates how long jobs of a class take at a worker of mean pace: by their hints, unless the class's mean
// has been the better estimate so far.
type runEstimate struct {
	meanRun    float64 // seconds
	hintRatio  float64 // mean logarithm of the ratio of run time to hint
	hintJobs   float64 // number of jobs in hintRatio, bounded
	hintError  float64 // mean squared logarithmic error of estimates by hint and hintRatio
	classError float64 // mean squared logarithmic error of estimates by meanRun
}

// work returns the estimated seconds of a job with the given hint, 0 for none. It returns usual if there is neither a hint
// nor a recorded job.
func (e *runEstimate) work(hint time.Duration, usual float64) float64 {
	switch {
	case hint > 0 && (e.hintJobs < minHintJobs || e.hintError <= e.classError):
		return max(hint.Seconds()*math.Exp(e.hintRatio), minWork)
	case e.meanRun > 0:
		return e.meanRun
	}
	return max(usual, minWork)
}

// record updates the estimate by a job that took the given seconds.
func (e *runEstimate) record(hint time.Duration, took float64) {
	if e.meanRun == 0 {
		e.meanRun = took
	}
	deviation := math.Log(took / e.meanRun)
	e.classError += (deviation*deviation - e.classError) * meanGain
	e.meanRun += (took - e.meanRun) * meanGain
	if hint <= 0 {
		return
	}
	deviation = math.Log(took/hint.Seconds()) - e.hintRatio
	e.hintJobs = min(e.hintJobs+1, 1/meanGain)
	e.hintRatio += deviation / (e.hintJobs + 1)
	e.hintError += (deviation*deviation - e.hintError) * meanGain
}
