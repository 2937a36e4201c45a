package ingress

import (
	"encoding/json"
	"net/http"
	"time"

	"frosttide/internal/dispatcher/core"
	"frosttide/internal/dispatcher/loadreport"
)

var jobStates = map[string]core.JobState{"started": core.JobStarted, "running": core.JobRunning, "done": core.JobDone,
	"failed": core.JobFailed, "returned": core.JobReturned, "lost": core.JobLost}

// handleJobEvent takes a runner's call-back. It is answered at once whatever it names,
// as the runner would repeat it otherwise; the core applies it once.
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
	report := core.JobEvent{ID: ev.ID, From: ev.From, State: state, Share: ev.Share,
		Load: loadreport.Parse(ev.Load, f.cfg.Columns), Result: ev.Result}
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

// deliver hands a call-back to the process that holds the job. Where there is one alone
// nobody waits for it. Guards a job of the other process: unless that has taken the
// call-back the runner has to repeat it.
func (f *Front) deliver(report core.JobEvent) bool {
	if !f.peer.Linked() {
		f.core.Report(report, func(bool) {})
		return true
	}
	by := time.Now().Add(forwardTimeout)
	held := make(chan bool, 1)
	f.core.Report(report, func(here bool) { held <- here })
	late := time.NewTimer(time.Until(by))
	defer late.Stop()
	select {
	case here := <-held:
		return here || f.peer.ForwardReport(report, by)
	case <-late.C:
		return false
	}
}
