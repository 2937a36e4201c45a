package ingress

import (
	"encoding/json"
	"net/http"
	"time"

	"frosttide/internal/dispatcher/core"
	"frosttide/internal/dispatcher/loadreport"
)

// jobStates are the states that workers may report over HTTP.
var jobStates = map[string]core.JobState{
	"started":  core.JobStarted,
	"running":  core.JobRunning,
	"done":     core.JobDone,
	"failed":   core.JobFailed,
	"returned": core.JobReturned,
	"lost":     core.JobLost,
}

// handleJobEvent takes a worker's report on a job. It responds at once whatever
// job the report names, as the worker would repeat the report otherwise; the core
// applies it once.
func (f *Front) handleJobEvent(w http.ResponseWriter, r *http.Request, c *conn) {
	text, ok := f.readBody(w, r, c)
	if !ok {
		return
	}
	var ev struct {
		ID, From, State string
		Share           float64
		Result, Load    json.RawMessage
	}
	err := json.Unmarshal(text, &ev)
	state, known := jobStates[ev.State]
	if err != nil || !known || !validID(ev.ID) || ev.From == "" {
		f.rejectMalformed(w, "the call-back is malformed", http.StatusBadRequest)
		return
	}
	c.requestArrived(true)
	report := core.JobEvent{
		ID:     ev.ID,
		From:   ev.From,
		State:  state,
		Share:  ev.Share,
		Load:   loadreport.Parse(ev.Load, f.cfg.Columns),
		Result: ev.Result,
	}
	var result string
	if json.Unmarshal(ev.Result, &result) == nil {
		report.Result = []byte(result)
	}
	if f.deliver(report) {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	http.Error(w, "no process holds the job now", http.StatusServiceUnavailable)
}

// deliver passes a report to the process that holds the job, and reports whether the
// worker is done with it. With one process nobody waits for that. A report is tried
// again while its job may be on its way from one process to the other, also once the
// other one has ended; where neither of two has the job the worker has to repeat it.
func (f *Front) deliver(report core.JobEvent) bool {
	for deadline := f.reportDeadline(); ; time.Sleep(reportRetryInterval) {
		linked := f.peer.Linked()
		awaitsJobs := f.listener.awaitsJobs() // asked after the link, which ends behind the last job
		if !linked && !awaitsJobs && !f.handOverBegun() {
			f.core.Report(report, func(core.ReportResult) {})
			return true
		}
		switch f.offer(report, deadline) {
		case core.Held:
			return true
		case core.NotHeld:
			if linkEnded := linked && !f.peer.Linked(); !awaitsJobs && !linkEnded {
				return !linked
			}
		}
		if time.Until(deadline) < reportRetryInterval {
			return false
		}
	}
}

// offer passes a report to this process's core, and where that does not hold the job
// to the other process. It returns whether one of them holds it.
func (f *Front) offer(report core.JobEvent, deadline time.Time) core.ReportResult {
	here := f.deliverHere(report, deadline)
	if here == core.Held {
		return core.Held
	}
	there := f.peer.ForwardReport(report, deadline)
	if there == core.NotHeld {
		return here
	}
	return there
}

// reportDeadline returns until when a report that comes now may be delivered: before
// the process has to have answered everything.
func (f *Front) reportDeadline() time.Time {
	deadline := time.Now().Add(reportTimeout)
	if answerBy := f.answerBy.Load(); answerBy != nil && answerBy.Before(deadline) {
		return *answerBy
	}
	return deadline
}

// deliverHere passes a report to this process's core, and returns whether that holds
// the job.
func (f *Front) deliverHere(report core.JobEvent, deadline time.Time) core.ReportResult {
	held := make(chan core.ReportResult, 1)
	f.core.Report(report, func(here core.ReportResult) { held <- here })
	timeout := time.NewTimer(time.Until(deadline))
	defer timeout.Stop()
	select {
	case here := <-held:
		return here
	case <-timeout.C:
		return core.NotHeld
	}
}
