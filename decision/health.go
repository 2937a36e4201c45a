package decision

import (
	"math"
	"time"

	"frosttide/decision/forecast"
)

// restoreHealth takes over a worker's health as recorded by an earlier process, clamped to the bounds of this
// process.
func (d *Dispatcher) restoreHealth(w *worker, h Health) {
	w.Health = h
	w.RestUntil, w.PaceAt = min(h.RestUntil, d.now+maxRest), min(h.PaceAt, d.now)
	w.Failures, w.Pace = max(h.Failures, 0), min(max(h.Pace, 1/maxPace), maxPace)
	w.Most = min(max(h.Most, 0), maxTokens)
	w.load.Restore(h.Load, d.now)
	if w.Failed {
		w.Limit = min(w.Limit, d.maxRequestSlots)
		d.trimTokens(w)
	}
}

// recordLoadReport updates the forecast of the worker's load from the load report of an event.
func (d *Dispatcher) recordLoadReport(w *worker, ev *Event) {
	d.fleet.RecordReport(&w.load, w.Kind, d.parseReport(ev), w.ownLoad(), d.now)
}

// handleProbe raises the number of slots known of a worker to the free slots reported by a probe.
func (d *Dispatcher) handleProbe(ev *Event) {
	w := d.workers[ev.Worker]
	if w == nil || ev.Outcome != Served {
		return
	}
	if free := d.parseReport(ev).Free; free > 0 { // false for NaN
		w.Most = max(w.Most, int(min(free, maxTokens)))
	}
}

// parseReport returns the load report of an event; missing values are NaN.
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

// recordRun updates the worker's pace and the mean run time of the request's class with a run's duration.
func (d *Dispatcher) recordRun(w *worker, r *request, took time.Duration) {
	capacity := d.rules.Capacity(w.StartedAt, d.now-took) // a warming worker is slow only temporarily
	d.fleet.RecordRun(&w.load, w.Kind, r.classIndex, r.hint, r.job.Work, took.Seconds()*capacity, d.now)
	pace := min(took.Seconds()/d.meanRun[r.classIndex], maxPace)
	w.Pace, w.PaceAt = w.Pace+(pace-w.Pace)*meanGain, d.now
	d.meanRun[r.classIndex] += (took.Seconds() - d.meanRun[r.classIndex]) * meanGain
}

// raiseMaxRequestSlots raises every worker's token limit to the slots of the widest request so far. Only
// requests that a worker has accepted count, as a client may ask for any number of slots.
func (d *Dispatcher) raiseMaxRequestSlots(slots int) {
	if slots <= d.maxRequestSlots {
		return
	}
	d.maxRequestSlots = slots
	for _, w := range d.listed {
		if w.Limit > 0 && w.Limit < slots {
			d.insertTokens(w)
		}
	}
}

// updateHealth updates the worker's health by the outcome of an attempt. A failure reduces its tokens to
// those of one request and starts a rest, which doubles with each consecutive failure; a success restores
// its tokens. Without the rest a worker that fails at once would always have free tokens and attract
// requests.
func (d *Dispatcher) updateHealth(r *request, a *attempt) {
	w := a.worker
	if a.Outcome == Canceled || a.Outcome == NotSent || a.Outcome == Unusable {
		return // these say nothing about the worker's health
	}
	d.raiseMaxRequestSlots(r.slots)
	if a.Outcome == ConnectFailed {
		d.zones.RecordConnectFailure(w.Zone, w.Failures, d.now)
	}
	switch a.Outcome {
	case Served:
		d.zones.RecordSuccess(w.Zone, a.SentAt, d.now)
		w.Failures, w.RestUntil = 0, 0
		if w.Failed && w.State == Ready {
			w.Failed = false
			d.insertTokens(w)
		}
	default:
		w.Failures++
		if a.Outcome == ConnReset && w.Failures == 1 {
			return // occasional connection resets are normal
		}
		rest := min(restBase<<min(w.Failures-1, 8), maxRest)
		w.RestUntil = d.now + rest/2 + d.jitter(rest)
		w.Failed = true
		w.Limit = min(w.Limit, d.maxRequestSlots)
		d.trimTokens(w)
	}
}
