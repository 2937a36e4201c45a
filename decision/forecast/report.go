package forecast

import (
	"math"
	"time"
)

// Report is what a load report tells. NaN is unknown.
type Report struct {
	Free    float64 // slots without a job
	Queued  float64 // jobs that wait
	Handled float64 // jobs that run or wait
}

// size is the most slots that reports have said to be free, about.
type size float64

func (s *size) saw(free float64) {
	if of := float64(*s); free > of+1 || of < 0.5 && free > of {
		*s = size(free)
	} else if free > of-1 {
		*s += size((free - of) * sizeGain)
	}
}

// Reported takes in a report of a worker of a kind where the dispatcher has something out.
func (f *Fleet) Reported(w *Worker, kind int, r Report, own Own, now time.Duration) {
	if !(r.Free >= 0 && r.Free <= mostSlots) {
		return // without it nothing tells a full worker from an empty one
	}
	free, queued := r.Free, 0.0
	empty := free                                        // slots that the worker has, by this report, at the least
	if free >= 1 && r.Handled >= 0 && !(r.Queued >= 0) { // nothing waits: what is handled has the other slots
		empty += min(r.Handled, mostSlots)
	}
	w.free.saw(empty)
	f.sizes[uint(kind)%kinds].saw(empty)
	slots := f.size(w, kind)
	switch { // false for NaN
	case r.Queued >= 0:
		queued = min(r.Queued, mostSlots)
	case r.Handled >= 0 && free < 1: // what runs takes the slots that are not free
		queued = max(min(r.Handled, mostSlots)-(slots-free)/max(f.wide, 1), 0)
	}
	if queued > 0 { // nothing waits where all is free
		free = min(free, max(f.wide, 1))
	}
	w.others, w.at, w.known = max(slots-free+queued*max(f.wide, 1)-own.Held, 0), now, true
	w.queue = 0
	if !(r.Queued >= 0) {
		w.queue = min(queued*max(f.wide, 1), w.others)
	}
	if !f.known {
		f.known, f.slots = true, slots
	}
	f.at = now
	f.slots += (slots - f.slots) * meanGain
	f.fill += (w.others/slots - f.fill) * meanGain
}

// size returns how many slots a worker has, the fleet's mean while less than one has been
// seen. One that was never seen empty has as many as others of its kind, up to twice what it
// has shown. Guards wide jobs, after a start above all, from being refused since all workers
// are busy and so look small.
func (f *Fleet) size(w *Worker, kind int) float64 {
	own := max(float64(w.free), w.most)
	if own < 0.5 {
		return max(f.slots, 1)
	}
	return max(math.Round(max(own, min(float64(f.sizes[uint(kind)%kinds]), 2*own))), 1)
}

// Others returns the slots that others are likely to hold at a worker. Guards a dispatcher
// that refuses all from doing so for good: it is told nothing, and the mean fades too.
func (f *Fleet) Others(w *Worker, kind int, now time.Duration) float64 {
	usual := f.fill * f.size(w, kind) * faded(now-f.at)
	if !w.known {
		return usual
	}
	over := w.queue * (1 - math.Exp(-(now-w.at).Seconds()/max(w.queue*f.work/f.size(w, kind), shortest)))
	return usual + max(w.others-over-usual, min(w.others-usual, 0))*faded(now-w.at)
}
