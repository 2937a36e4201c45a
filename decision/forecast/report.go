package forecast

import (
	"math"
	"time"
)

// Report is a load report. NaN is unknown.
type Report struct {
	Free     float64 // slots that no job uses
	Queued   float64 // jobs that wait
	InFlight float64 // jobs that run or wait
}

// size is about the most slots that reports have said to be free.
type size float64

// observe updates the size by a report of free slots.

func (s *size) observe(free float64) {
	if old := float64(*s); free > old+1 || old < 0.5 && free > old {
		*s = size(free)
	} else if free > old-1 {
		*s += size((free - old) * sizeGain)
	}
}

// RecordReport records a load report of a worker of a kind at which the dispatcher has own attempts. A report without
// valid free slots is ignored.
func (f *Fleet) RecordReport(w *Worker, kind int, r Report, own Own, now time.Duration) {
	if !(r.Free >= 0 && r.Free <= maxSlots) {
		return // a full worker could not be told from an empty one
	}
	free, queued := r.Free, 0.0
	empty := free                                         // the least size of the worker by this report
	if free >= 1 && r.InFlight >= 0 && !(r.Queued >= 0) { // nothing waits, so the jobs in flight use the other slots
		empty += min(r.InFlight, maxSlots)
	}
	w.reportedSize.observe(empty)
	f.kindSizes[uint(kind)%maxKinds].observe(empty)
	slots := f.size(w, kind)
	switch { // false for NaN
	case r.Queued >= 0:
		queued = min(r.Queued, maxSlots)
	case r.InFlight >= 0 && free < 1: // running jobs use the slots that are not free
		queued = max(min(r.InFlight, maxSlots)-(slots-free)/max(f.meanJobSlots, 1), 0)
	}
	if queued > 0 { // no job waits beside enough free slots
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

// size returns how many slots a worker has; the fleet's mean while less than one has been seen. A worker that was never
// seen empty is assumed to have as many as others of its kind, up to twice what was seen. Otherwise jobs of many slots
// would be rejected, after a start of the dispatcher above all, because all workers are busy and so look small.
func (f *Fleet) size(w *Worker, kind int) float64 {
	own := max(float64(w.reportedSize), w.maxUsed)
	if own < 0.5 {
		return max(f.meanSlots, 1)
	}
	return max(math.Round(max(own, min(float64(f.kindSizes[uint(kind)%maxKinds]), 2*own))), 1)
}

// Others returns the slots that other dispatchers' jobs are likely to use at a worker. What was reported decays to the
// fleet's mean, and the mean itself to 0, so that a dispatcher that rejects everything, and so gets no reports, does not
// do so for good.
func (f *Fleet) Others(w *Worker, kind int, now time.Duration) float64 {
	usual := f.othersFill * f.size(w, kind) * decay(now-f.updatedAt)
	if !w.known {
		return usual
	}
	done := w.othersQueued * (1 - math.Exp(-(now-w.updatedAt).Seconds()/max(w.othersQueued*f.meanWork/f.size(w, kind), minWork)))
	return usual + max(w.others-done-usual, min(w.others-usual, 0))*decay(now-w.updatedAt)
}

// decay returns the fraction that is left, after an age, of what is forgotten with decayTime.
func decay(age time.Duration) float64 { return math.Exp(-float64(age) / float64(decayTime)) }
