package forecast

import (
	"math"
	"time"
)

const (
	// kinds bounds the kinds of workers that are told apart; those past it share places.
	kinds = 64
	// classes bounds the classes that are told apart; those past it count as the last one.
	classes = 1 << 10
	// paceFor is how fast a worker's pace is forgotten.
	paceFor = 20 * time.Second
	// paceMost bounds how many jobs a pace rests on: a machine that others crowd changes.
	paceMost = 8
	// kindWeight is for how many jobs of a worker's own its kind speaks.
	kindWeight = 3
	// paceSpread bounds what one job says of a pace, as a power of e.
	paceSpread = 1.6
	// proved is how many jobs it takes before a hint can be found worse than the mean.
	proved = 8
	// shortest guards logarithms, in seconds.
	shortest = 1e-4
)

// pace is a mean of logarithms that forgets.
type pace struct {
	log, n float64
	at     time.Duration
}

func (p *pace) weight(now time.Duration) float64 {
	return p.n * math.Exp(-float64(now-p.at)/float64(paceFor))
}

func (p *pace) add(x float64, now time.Duration) {
	n := min(p.weight(now)+1, paceMost)
	p.log += (x - p.log) / n
	p.n, p.at = n, now
}

func (f *Fleet) kind(n int) *pace { return &f.kinds[uint(n)%kinds] }

// Pace returns how many times as long as at a usual worker a job takes at this one.
func (f *Fleet) Pace(w *Worker, kind int, now time.Duration) float64 {
	k, own := f.kind(kind), w.pace.weight(now)
	like := k.log * k.n / (k.n + 1)
	return math.Exp((own*w.pace.log + kindWeight*like) / (own + kindWeight))
}

// Ran takes in how many seconds a job of a class ran at a worker, and what had been said of
// it: its hint, 0 for none, and its work.
func (f *Fleet) Ran(w *Worker, kind, class int, hint time.Duration, work, took float64, now time.Duration) {
	took, work = max(took, shortest), max(work, shortest)
	f.guess(class).ran(hint, took/f.Pace(w, kind, now))
	x := min(max(math.Log(took/work), -paceSpread), paceSpread)
	f.kind(kind).add(x, now)
	w.pace.add(x, now)
}

func (f *Fleet) guess(class int) *guess {
	class = min(max(class, 0), classes-1)
	for class >= len(f.guesses) {
		f.guesses = append(f.guesses, guess{})
	}
	return &f.guesses[class]
}

// guess is how long jobs of a class take at a usual worker: by their hints, unless those have
// proved to say less than the class's mean.
type guess struct {
	mean            float64 // seconds
	ratio, n        float64 // of a job to its hint, a logarithm, and how many it rests on
	byHint, byClass float64 // mean squares of how far off the two were, of logarithms
}

func (g *guess) work(hint time.Duration, usual float64) float64 {
	switch {
	case hint > 0 && (g.n < proved || g.byHint <= g.byClass):
		return max(hint.Seconds()*math.Exp(g.ratio), shortest)
	case g.mean > 0:
		return g.mean
	}
	return max(usual, shortest)
}

func (g *guess) ran(hint time.Duration, took float64) {
	if g.mean == 0 {
		g.mean = took
	}
	off := math.Log(took / g.mean)
	g.byClass += (off*off - g.byClass) * meanGain
	g.mean += (took - g.mean) * meanGain
	if hint <= 0 {
		return
	}
	off = math.Log(took/hint.Seconds()) - g.ratio
	g.n = min(g.n+1, 1/meanGain)
	g.ratio += off / (g.n + 1)
	g.byHint += (off*off - g.byHint) * meanGain
}
