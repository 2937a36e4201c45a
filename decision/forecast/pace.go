package forecast

import (
	"math"
	"time"
)

const (
	// maxKinds bounds the kinds of workers that are told apart; kinds that are equal modulo it count as one.
	maxKinds = 64
	// maxClasses bounds the classes that are told apart; those beyond it count as the last one.
	maxClasses = 1 << 10
	// paceMemory is the time constant with which a pace is forgotten.
	paceMemory = 20 * time.Second
	// maxPaceJobs bounds how many jobs a pace rests on, as the load of a machine by others changes.
	maxPaceJobs = 8
	// kindWeight is how many jobs of a worker the pace of its kind counts for.
	kindWeight = 3
	// maxPaceDeviation bounds the logarithm of the pace of one job.
	maxPaceDeviation = 1.6
	// minHintJobs is how many jobs with hints it takes before hints may be found worse than the class's mean.
	minHintJobs = 8
	// minWork is the least work in seconds, so that logarithms and quotients stay finite.
	minWork = 1e-4
)

// pace is how long jobs take relative to the estimates, as a mean of logarithms that is forgotten with time.
type pace struct {
	logarithm float64       // natural logarithm of the pace
	jobs      float64       // how many jobs it rests on
	at        time.Duration // when the last of them ended
}

// weight returns how many jobs the pace still counts for.
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

// RecordRun records that a job of a class took the given seconds at a worker, with its hint, 0 for none, and the work in
// seconds that it was estimated at.
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
// has turned out to be the better estimate.
type runEstimate struct {
	meanRun    float64 // seconds
	hintRatio  float64 // mean logarithm of the ratio of run time to hint
	hintJobs   float64 // how many jobs hintRatio rests on
	hintError  float64 // mean square of the logarithm by which the hint, times the ratio, was wrong
	classError float64 // mean square of the logarithm by which the class's mean was wrong
}

// work returns the estimate of a job in seconds, by its hint, 0 for none; usual where nothing is known.
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
