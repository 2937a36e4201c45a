package forecast

import (
	"math"
	"time"
)

const (
	// maxKinds bounds the kinds of workers that are told apart; those past it share places.
	maxKinds = 64
	// maxClasses bounds the classes that are told apart; those past it count as the last one.
	maxClasses = 1 << 10
	// paceMemory is how fast a worker's pace is forgotten.
	paceMemory = 20 * time.Second
	// maxPaceJobs bounds how many jobs a pace rests on: a machine that others crowd changes.
	maxPaceJobs = 8
	// kindWeight is for how many jobs of a worker's own its kind speaks.
	kindWeight = 3
	// maxPaceDeviation bounds what one job says of a pace, as a power of e.
	maxPaceDeviation = 1.6
	// minHintJobs is how many jobs it takes before a hint can be found worse than the mean.
	minHintJobs = 8
	// minWork guards logarithms, in seconds.
	minWork = 1e-4
)

// pace is a mean of logarithms that forgets.
type pace struct {
	logarithm, jobs float64
	at              time.Duration
}

func (p *pace) weight(now time.Duration) float64 {
	return p.jobs * math.Exp(-float64(now-p.at)/float64(paceMemory))
}

func (p *pace) add(x float64, now time.Duration) {
	n := min(p.weight(now)+1, maxPaceJobs)
	p.logarithm += (x - p.logarithm) / n
	p.jobs, p.at = n, now
}

func (f *Fleet) kindPace(n int) *pace { return &f.kindPaces[uint(n)%maxKinds] }

// Pace returns how many times as long as at a usual worker a job takes at this one.
func (f *Fleet) Pace(w *Worker, kind int, now time.Duration) float64 {
	k, own := f.kindPace(kind), w.pace.weight(now)
	like := k.logarithm * k.jobs / (k.jobs + 1)
	return math.Exp((own*w.pace.logarithm + kindWeight*like) / (own + kindWeight))
}

// RecordRun takes in how many seconds a job of a class ran at a worker, and what had been said of
// it: its hint, 0 for none, and its work.
func (f *Fleet) RecordRun(w *Worker, kind, class int, hint time.Duration, work, took float64, now time.Duration) {
	took, work = max(took, minWork), max(work, minWork)
	f.estimate(class).record(hint, took/f.Pace(w, kind, now))
	x := min(max(math.Log(took/work), -maxPaceDeviation), maxPaceDeviation)
	f.kindPace(kind).add(x, now)
	w.pace.add(x, now)
}

func (f *Fleet) estimate(class int) *runEstimate {
	class = min(max(class, 0), maxClasses-1)
	for class >= len(f.estimates) {
		f.estimates = append(f.estimates, runEstimate{})
	}
	return &f.estimates[class]
}

// runEstimate is how long jobs of a class take at a usual worker: by their hints, unless those have
// proved to say less than the class's mean.
type runEstimate struct {
	meanRun               float64 // seconds
	hintRatio, hintJobs   float64 // of a job to its hint, a logarithm, and how many it rests on
	hintError, classError float64 // mean squares of how far off the two were, of logarithms
}

func (e *runEstimate) work(hint time.Duration, usual float64) float64 {
	switch {
	case hint > 0 && (e.hintJobs < minHintJobs || e.hintError <= e.classError):
		return max(hint.Seconds()*math.Exp(e.hintRatio), minWork)
	case e.meanRun > 0:
		return e.meanRun
	}
	return max(usual, minWork)
}

func (e *runEstimate) record(hint time.Duration, took float64) {
	if e.meanRun == 0 {
		e.meanRun = took
	}
	off := math.Log(took / e.meanRun)
	e.classError += (off*off - e.classError) * meanGain
	e.meanRun += (took - e.meanRun) * meanGain
	if hint <= 0 {
		return
	}
	off = math.Log(took/hint.Seconds()) - e.hintRatio
	e.hintJobs = min(e.hintJobs+1, 1/meanGain)
	e.hintRatio += off / (e.hintJobs + 1)
	e.hintError += (off*off - e.hintError) * meanGain
}
