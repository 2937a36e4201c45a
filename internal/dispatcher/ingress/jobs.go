package ingress

import (
	"net/http"
	"strconv"
	"time"

	"frosttide/internal/dispatcher/core"
	"frosttide/internal/dispatcher/monotime"
	"frosttide/internal/dispatcher/trace"
)

// pendingResponse is the client's side of one job: a channel with room for its one
// response.
type pendingResponse chan core.Response

// Respond takes the core's response. It never blocks, as there is one response.
func (p pendingResponse) Respond(response core.Response) { p <- response }

// handleJob takes a client's job, has the core or a newer process run it, and
// writes the response.
func (f *Front) handleJob(w http.ResponseWriter, r *http.Request, c *conn) {
	record := f.beginRecord(r)
	job, ok := f.readJob(w, r, c, record)
	if !ok {
		return
	}
	c.requestArrived(false)
	f.counts.Pending(1)
	defer f.counts.Pending(-1)
	defer f.openJobs.Add(-1)
	if f.openJobs.Add(1) > f.maxJobs.Load() && !c.sentBefore() {
		f.rejectCrowded(w, job.Class, record)
		return
	}
	job.ClientLeft = func() bool { return r.Context().Err() != nil || c.clientLeft() }
	moved := takeMovedRequest(c, job, record)
	if f.handsOver() {
		if moved.Deadline == 0 {
			moved.Deadline = monotime.Of(job.Deadline)
		}
		if f.transfer(w, r, moved, job.Body) {
			return
		}
	}
	if c.late {
		f.rejectLate(w, job.Class, record)
		return
	}
	if stopBy := f.stopBy.Load(); stopBy != nil && stopBy.Before(job.Deadline) {
		// A job that the end of the process finds without a response would be lost.
		job.Deadline, job.ProcessStopping = *stopBy, true
	}
	job.Record = moved.Record
	onVerdict, ok := f.beginStep(w, r, job, moved)
	if !ok {
		return
	}
	response := make(pendingResponse, 1)
	if len(moved.Attempts) > 0 {
		f.adoptJob(c, job, moved, response)
	} else {
		f.core.Submit(job, response)
	}
	f.await(w, r, c, job, response, onVerdict)
}

// adoptJob has the core go on with a job that was sent to workers before.
func (f *Front) adoptJob(c *conn, job *core.Job, moved *core.MovedRequest, response pendingResponse) {
	f.core.Adopt(job, moved, response)
	c.jobPassed()
	f.arrivals.notify(job.ID)
}

// readJob reads the headers and the body of a job. It responds to what is
// malformed itself, and then returns false.
func (f *Front) readJob(w http.ResponseWriter, r *http.Request, c *conn, record *trace.Record) (*core.Job, bool) {
	class, err := f.findClass(r.Header.Get("X-Qos"), r.URL.Path)
	if err != nil {
		f.endRecord(record, trace.Invalid, "class", http.StatusBadRequest)
		f.rejectMalformed(w, err.Error(), http.StatusBadRequest)
		return nil, false
	}
	job, err := f.parseJob(r, class, time.Now())
	f.describeJob(record, r, job, class)
	if err != nil {
		f.endRecord(record, trace.Invalid, "malformed", http.StatusBadRequest)
		f.counts.Failed(class)
		f.rejectMalformed(w, err.Error(), http.StatusBadRequest)
		return nil, false
	}
	body, ok := f.readBody(w, r, c)
	if !ok {
		f.endRecord(record, trace.Invalid, "body", http.StatusBadRequest)
		f.counts.Failed(class)
		return nil, false
	}
	job.Body = body
	return job, true
}

// rejectCrowded rejects a job past the limit of open jobs. It closes the
// connection, so that the reports of workers still find sockets.
func (f *Front) rejectCrowded(w http.ResponseWriter, class int, record *trace.Record) {
	f.crowded.Add(1)
	f.endRecord(record, trace.Refused, "crowded", http.StatusServiceUnavailable)
	f.counts.Rejected(class)
	w.Header().Set("Connection", "close")
	writeRejection(w, crowdedRetryAfter)
}

// rejectLate rejects a job on whose end no worker can report any more, and ends the
// connection.
func (f *Front) rejectLate(w http.ResponseWriter, class int, record *trace.Record) {
	f.endRecord(record, trace.Refused, "late", http.StatusServiceUnavailable)
	f.counts.Rejected(class)
	w.Header().Set("Connection", "close")
	writeRejection(w, 0)
}

// takeMovedRequest returns what an older process has done for the job, an empty
// request if none has begun it. The result carries the record of the job.
func takeMovedRequest(c *conn, job *core.Job, record *trace.Record) *core.MovedRequest {
	moved := &core.MovedRequest{}
	if c.transferred != nil {
		moved, c.transferred = c.transferred, nil
		job.Deadline = monotime.Time(moved.Deadline)
		if record != nil && moved.Record != nil {
			record = moved.Record
		}
	}
	moved.Record = record
	return moved
}

// beginStep has a job that is a step of a workflow agreed on before it is sent. It
// returns who learns the verdict, nil for nobody, or false after it has rejected
// the job.
func (f *Front) beginStep(w http.ResponseWriter, r *http.Request, job *core.Job, moved *core.MovedRequest) (onVerdict func(core.Verdict), ok bool) {
	if f.cfg.Steps == nil || len(moved.Attempts) > 0 {
		return nil, true
	}
	status, text, onVerdict := f.cfg.Steps.Begin(r.Context(), r.Header, job.Deadline)
	if status != 0 {
		f.endRecord(moved.Record, trace.Refused, "workflow", status)
		f.counts.Rejected(job.Class)
		http.Error(w, text, status)
		return nil, false
	}
	return onVerdict, true
}

// await waits for a job's response and writes it, unless the client leaves or the
// job moves to a newer process.
func (f *Front) await(w http.ResponseWriter, r *http.Request, c *conn, job *core.Job, pending pendingResponse, onVerdict func(core.Verdict)) {
	released := make(chan *core.MovedRequest, 1)
	for handingOver := f.handingOver; ; {
		select {
		case response := <-pending:
			if onVerdict != nil {
				onVerdict(response.Verdict)
			}
			f.finish(w, job, response)
			return
		case <-r.Context().Done():
			f.abortForClient(job)
		case <-c.lookahead.clientEnded():
			f.abortForClient(job)
		case <-handingOver:
			handingOver = nil // once
			f.core.Release(job, func(m *core.MovedRequest) { released <- m })
		case m := <-released:
			if m == nil {
				continue // its response is on the way
			}
			if f.transfer(w, r, m, job.Body) {
				return
			}
			f.adoptJob(c, job, m, pending) // the newer process has ended
		}
	}
}

// finish writes the response to a job, and ends the connection where the client has
// to go elsewhere.
func (f *Front) finish(w http.ResponseWriter, job *core.Job, response core.Response) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(responseTimeout))
	if f.stopBy.Load() != nil && response.Verdict == core.Rejected || f.handsOver() || f.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	f.writeResponse(w, job.Class, response)
}

// abortForClient ends a job whose client has left, and its connection. It does not
// return. A client that has closed only its own side would otherwise get an answer
// from net/http that no worker made.
func (f *Front) abortForClient(job *core.Job) {
	f.core.ClientLeft(job)
	panic(http.ErrAbortHandler)
}

// writeResponse counts and writes the response to a job.
func (f *Front) writeResponse(w http.ResponseWriter, class int, response core.Response) {
	switch response.Verdict {
	case core.Served:
		f.counts.Completed(class)
	case core.Rejected:
		f.counts.Rejected(class)
	default:
		f.counts.Failed(class)
	}
	switch response.Verdict {
	case core.Served:
		w.Header().Set("Content-Type", "application/octet-stream")
		_, _ = w.Write(response.Result) // the request's context shows whether the client has left
	case core.Rejected:
		writeRejection(w, response.RetryAfter)
	case core.Duplicate:
		http.Error(w, "a request with this id is open", http.StatusConflict)
	case core.Unusable:
		http.Error(w, "the runner can't use the job", http.StatusBadRequest)
	default:
		http.Error(w, "the job failed", http.StatusBadGateway)
	}
}

// writeRejection writes a rejection, and when to retry unless that is 0.
func writeRejection(w http.ResponseWriter, retryAfter time.Duration) {
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	http.Error(w, "refused, try again", http.StatusServiceUnavailable)
}
