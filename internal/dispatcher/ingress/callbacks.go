package ingress

import (
	"encoding/json"
	"net/http"

	"frosttide/internal/dispatcher/core"
	"frosttide/internal/dispatcher/loadreport"
)

// jobStates maps the state names that workers may report over HTTP to the core's states.
var jobStates = map[string]core.JobState{
	"started":  core.JobStarted,
	"running":  core.JobRunning,
	"done":     core.JobDone,
	"failed":   core.JobFailed,
	"returned": core.JobReturned,
	"lost":     core.JobLost,
}

// handleJobEvent handles a worker's report on a job. It acknowledges a report even if the job
// it names is unknown, because the worker would retry it otherwise; the core ignores
// duplicates. It responds with 503, so that the worker retries, if no process holds the job
// during a handover.
func (f *Front) handleJobEvent(w http.ResponseWriter, r *http.Request, c *conn) {
	body, ok := f.readBody(w, r, c)
	if !ok {
		return
	}
	var event struct {
		ID, From, State string
		Share           float64
		Result, Load    json.RawMessage
	}
	err := json.Unmarshal(body, &event)
	state, known := jobStates[event.State]
	if err != nil || !known || !validID(event.ID) || event.From == "" {
		f.rejectMalformed(w, "the call-back is malformed", http.StatusBadRequest)
		return
	}
	c.requestArrived(true)
	report := core.JobEvent{
		ID:     event.ID,
		From:   event.From,
		State:  state,
		Share:  event.Share,
		Load:   loadreport.Parse(event.Load, f.cfg.Columns),
		Result: event.Result,
	}
	var result string
	if json.Unmarshal(event.Result, &result) == nil {
		report.Result = []byte(result)
	}
	if f.deliverReport(report) {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	http.Error(w, "no process holds the job now", http.StatusServiceUnavailable)
}
