package forecast

import (
	"math"
	"time"
)

// Report is a worker's load report. NaN stands for unknown.
type Report struct {
	Free     float64 // free slots
	Queued   float64 // waiting jobs
	InFlight float64 // running and waiting jobs
}

// size estimates the number of slots of a worker as about the most free slots that were reported. It follows the high
// reports slowly, as reports are noisy.
type size float64

// observe updates the size from a report of free slots.
func (s *size) observe(free float64) {
	if old := float64(*s); free > old+1 || old < 0.5 && free > old {
		*s = size(free)
	} else if free > old-1 {
		*s += size((free - old) * sizeGain)
	}
}

// RecordReport records a load report of a worker of a kind; own is the load of the dispatcher's own attempts there. A
// report without a valid number of free slots is ignored.
func (f *Fleet) RecordReport(w *Worker, kind int, r Report, own Own, now time.Duration) {
	if !(r.Free >= 0 && r.Free <= maxSlots) {
		return // the worker could be full or empty
	}
	free, queued := r.Free, 0.0
	empty := free                                         // least size of the worker by this report
	if free >= 1 && r.InFlight >= 0 && !(r.Queued >= 0) { // no job waits, so jobs in flight use the other slots
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
	if queued > 0 { // no job would wait if there were enough free slots for it
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

// size returns the estimated number of slots of a worker, or the fleet's mean while less than one slot has been observed.
// A worker that was never observed empty is assumed to have as many slots as others of its kind, up to twice the observed
// number. Otherwise jobs of many slots would be rejected, especially after a start of the dispatcher, because all workers
// are busy and so look small.
func (f *Fleet) size(w *Worker, kind int) float64 {
	own := max(float64(w.reportedSize), w.maxUsed)
	if own < 0.5 {
		return max(f.meanSlots, 1)
	}
	return max(math.Round(max(own, min(float64(f.kindSizes[uint(kind)%maxKinds]), 2*own))), 1)
}

// OthersInUse returns the expected number of slots that other dispatchers' jobs use at a worker. The reported number decays to
// the fleet's mean, and the mean itself to 0. Otherwise a dispatcher that rejects every request, and so gets no reports,
// would never stop rejecting.
func (f *Fleet) OthersInUse(w *Worker, kind int, now time.Duration) float64 {
	usual := f.othersFill * f.size(w, kind) * decay(now-f.updatedAt)
	if !w.known {
		return usual
	}
	done := w.othersQueued * (1 - math.Exp(-(now-w.updatedAt).Seconds()/max(w.othersQueued*f.meanWork/f.size(w, kind), minWork)))
	return usual + max(w.others-done-usual, min(w.others-usual, 0))*decay(now-w.updatedAt)
}

// decay returns the fraction of a value that is left after an age, with the time constant decayTime.
func decay(age time.Duration) float64 { return math.Exp(-float64(age) / float64(decayTime)) }
