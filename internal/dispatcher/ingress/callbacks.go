package ingress

import (
	"encoding/json"
	"net/http"

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
	if f.deliverReport(report) {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	http.Error(w, "no process holds the job now", http.StatusServiceUnavailable)
}
