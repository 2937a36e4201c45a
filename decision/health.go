package decision

import (
	"math"
	"time"

	"frosttide/decision/forecast"
)

// What jobs show of workers.

// restoreHealth takes over what an earlier process has found of a worker's health.
func (d *Dispatcher) restoreHealth(w *worker, h Health) {
	w.Health = h
	w.RestUntil, w.PaceAt = min(h.RestUntil, d.now+maxRest), min(h.PaceAt, d.now)
	w.Failures, w.Pace = max(h.Failures, 0), min(max(h.Pace, 1/maxPace), maxPace)
	w.Most = min(max(h.Most, 0), maxTokens)
	w.load.Restore(h.Load, d.now)
	if w.Failed {
		w.Limit = min(w.Limit, d.maxRequestSlots)
		d.trim(w)
	}
}

// handleReport takes in a load report.
func (d *Dispatcher) handleReport(w *worker, ev *Event) {
	d.fleet.RecordReport(&w.load, w.Kind, d.parseReport(ev), w.ownLoad(), d.now)
}

// parseReport reads a load report; what it does not tell is NaN.
func (d *Dispatcher) parseReport(ev *Event) forecast.Report {
	r := forecast.Report{Free: math.NaN(), Queued: math.NaN(), InFlight: math.NaN()}
	for i, m := range d.cfg.Metrics[:min(len(d.cfg.Metrics), int(ev.LoadCount))] {
		switch m {
		case MetricFreeSlots:
			r.Free = float64(ev.Load[i])
		case MetricQueued:
			r.Queued = float64(ev.Load[i])
		case MetricInFlight:
			r.InFlight = float64(ev.Load[i])
		}
	}
	return r
}

// recordRun takes in how long a job of a class ran at a worker.
func (d *Dispatcher) recordRun(w *worker, r *request, took time.Duration) {
	share := d.rules.Capacity(w.StartedAt, d.now-took) // one that is cold is not slow for good
	d.fleet.RecordRun(&w.load, w.Kind, r.classIndex, r.hint, r.job.Work, took.Seconds()*share, d.now)
	pace := min(took.Seconds()/d.meanRun[r.classIndex], maxPace)
	w.Pace, w.PaceAt = w.Pace+(pace-w.Pace)*meanGain, d.now
	d.meanRun[r.classIndex] += (took.Seconds() - d.meanRun[r.classIndex]) * meanGain
}

// widen makes room for requests of more slots than any before. Only what a worker
// took counts: a client may ask for anything.
func (d *Dispatcher) widen(slots int) {
	if slots <= d.maxRequestSlots {
		return
	}
	d.maxRequestSlots = slots
	for _, w := range d.listed {
		if w.Limit > 0 && w.Limit < slots {
			d.join(w)
		}
	}
}

// updateHealth draws the worker's health from how an attempt ended. A failure leaves it
// tokens for one job and a rest that doubles with each in a row; a success
// brings the others back. Guards against a worker that fails at once: its tokens
// would be free, and draw jobs, all the time.
func (d *Dispatcher) updateHealth(r *request, a *attempt) {
	w := a.worker
	if a.Outcome == Canceled || a.Outcome == NotSent || a.Outcome == Unusable {
		return // says nothing of it
	}
	d.widen(r.slots)
	if a.Outcome == ConnectFailed {
		d.zones.RecordConnectFailure(w.Zone, w.Failures > 0, d.now)
	}
	switch a.Outcome {
	case Served:
		d.zones.RecordSuccess(w.Zone, a.SentAt, d.now)
		w.Failures, w.RestUntil = 0, 0
		if w.Failed && w.State == Ready {
			w.Failed = false
			d.join(w)
		}
	default:
		w.Failures++
		if a.Outcome == ConnReset && w.Failures == 1 {
			return // guards a worker that a connection breaks on now and then
		}
		rest := min(restBase<<min(w.Failures-1, 8), maxRest)
		w.RestUntil = d.now + rest/2 + d.jitter(rest)
		w.Failed = true
		w.Limit = min(w.Limit, d.maxRequestSlots)
		d.trim(w)
	}
}
