package forecast

import (
	"math"
	"time"
)

// Report is what a load report tells. NaN is unknown.
type Report struct {
	Free     float64 // slots without a job
	Queued   float64 // jobs that wait
	InFlight float64 // jobs that run or wait
}

// size is the most slots that reports have said to be free, about.
type size float64

func (s *size) observe(free float64) {
	if of := float64(*s); free > of+1 || of < 0.5 && free > of {
		*s = size(free)
	} else if free > of-1 {
		*s += size((free - of) * sizeGain)
	}
}

// RecordReport takes in a report of a worker of a kind where the dispatcher has something out.
func (f *Fleet) RecordReport(w *Worker, kind int, r Report, own Own, now time.Duration) {
	if !(r.Free >= 0 && r.Free <= maxSlots) {
		return // without it nothing tells a full worker from an empty one
	}
	free, queued := r.Free, 0.0
	empty := free                                         // slots that the worker has, by this report, at the least
	if free >= 1 && r.InFlight >= 0 && !(r.Queued >= 0) { // nothing waits: what is handled has the other slots
		empty += min(r.InFlight, maxSlots)
	}
	w.reportedSize.observe(empty)
	f.kindSizes[uint(kind)%maxKinds].observe(empty)
	slots := f.size(w, kind)
	switch { // false for NaN
	case r.Queued >= 0:
		queued = min(r.Queued, maxSlots)
	case r.InFlight >= 0 && free < 1: // what runs takes the slots that are not free
		queued = max(min(r.InFlight, maxSlots)-(slots-free)/max(f.meanJobSlots, 1), 0)
	}
	if queued > 0 { // nothing waits where all is free
		free = min(free, max(f.meanJobSlots, 1))
	}
	w.others, w.updatedAt, w.known = max(slots-free+queued*max(f.meanJobSlots, 1)-own.InUse, 0), now, true
	w.othersQueued = 0
	if !(r.Queued >= 0) {
		w.othersQueued = min(queued*max(f.meanJobSlots, 1), w.others)
	}
	if !f.known {
		f.known, f.meanSlots = true, slots
	}
	f.updatedAt = now
	f.meanSlots += (slots - f.meanSlots) * meanGain
	f.othersFill += (w.others/slots - f.othersFill) * meanGain
}

// size returns how many slots a worker has, the fleet's mean while less than one has been
// seen. One that was never seen empty has as many as others of its kind, up to twice what it
// has shown. Guards wide jobs, after a start above all, from being refused since all workers
// are busy and so look small.
func (f *Fleet) size(w *Worker, kind int) float64 {
	own := max(float64(w.reportedSize), w.maxUsed)
	if own < 0.5 {
		return max(f.meanSlots, 1)
	}
	return max(math.Round(max(own, min(float64(f.kindSizes[uint(kind)%maxKinds]), 2*own))), 1)
}

// Others returns the slots that others are likely to hold at a worker. Guards a dispatcher
// that refuses all from doing so for good: it is told nothing, and the mean fades too.
func (f *Fleet) Others(w *Worker, kind int, now time.Duration) float64 {
	usual := f.othersFill * f.size(w, kind) * decay(now-f.updatedAt)
	if !w.known {
		return usual
	}
	over := w.othersQueued * (1 - math.Exp(-(now-w.updatedAt).Seconds()/max(w.othersQueued*f.meanWork/f.size(w, kind), minWork)))
	return usual + max(w.others-over-usual, min(w.others-usual, 0))*decay(now-w.updatedAt)
}
