package ingress

import (
	"net/http"
	"strconv"
	"time"

	"frosttide/internal/dispatcher/core"
	"frosttide/internal/dispatcher/monotime"
	"frosttide/internal/dispatcher/trace"
)

// pendingResponse receives the response of one job. It implements core.Ingress, and must be a
// channel with a buffer of 1.
type pendingResponse chan core.Response

// Respond implements core.Ingress. It never blocks, because the core responds only once.
func (p pendingResponse) Respond(response core.Response) { p <- response }

// handleJob handles a client's job: it validates the request, passes the job to the core or,
// during a handover, to the newer process, and writes the response.
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
	if f.openJobs.Add(1) > f.maxJobs.Load() && !c.alreadyDispatched() {
		f.rejectOverLimit(w, job.Class, record)
		return
	}
	job.ClientLeft = func() bool { return r.Context().Err() != nil || c.clientLeft() }
	moved := takeMovedRequest(c, job, record)
	if f.handOverActive() {
		if moved.Deadline == 0 {
			moved.Deadline = monotime.Of(job.Deadline)
		}
		if f.transfer(w, r, moved, job.Body) {
			return
		}
	}
	if c.acceptedAtClose {
		f.rejectAtClose(w, job.Class, record)
		return
	}
	if stopBy := f.stopBy.Load(); stopBy != nil && stopBy.Before(job.Deadline) {
		// A job without a response would be lost when the process is terminated.
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
	f.awaitResponse(w, r, c, job, response, onVerdict)
}

// adoptJob passes a job that has already been sent to workers to the core, and wakes the
// deliveries of reports that wait for it.
func (f *Front) adoptJob(c *conn, job *core.Job, moved *core.MovedRequest, response pendingResponse) {
	f.core.Adopt(job, moved, response)
	c.jobAdopted()
	f.arrivals.notify(job.ID)
}

// readJob reads the headers and the body of a job. If they are malformed it writes the error
// response and returns false.
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

// rejectOverLimit rejects a job because the limit of open jobs is reached. It closes the
// connection, so that sockets remain available for workers' reports.
func (f *Front) rejectOverLimit(w http.ResponseWriter, class int, record *trace.Record) {
	f.overLimit.Add(1)
	f.endRecord(record, trace.Refused, "crowded", http.StatusServiceUnavailable)
	f.counts.Rejected(class)
	w.Header().Set("Connection", "close")
	writeRejection(w, overLimitRetryAfter)
}

// rejectAtClose rejects a job on a connection that was accepted while the listener closed,
// because workers can't report on it any more. It closes the connection.
func (f *Front) rejectAtClose(w http.ResponseWriter, class int, record *trace.Record) {
	f.endRecord(record, trace.Refused, "late", http.StatusServiceUnavailable)
	f.counts.Rejected(class)
	w.Header().Set("Connection", "close")
	writeRejection(w, 0)
}

// takeMovedRequest returns the state of a job that an older process has handed over, with the
// deadline that was set there, or an empty request for a new job. The result includes the
// job's record.
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

// beginStep starts the workflow step if the job is one. It returns the function that must be
// called with the job's verdict, or nil if there is none. If the step can't begin it rejects
// the job and returns false.
func (f *Front) beginStep(w http.ResponseWriter, r *http.Request, job *core.Job, moved *core.MovedRequest) (onVerdict func(core.Verdict), ok bool) {
	if f.cfg.Steps == nil || len(moved.Attempts) > 0 {
		return nil, true
	}
	status, message, onVerdict := f.cfg.Steps.Begin(r.Context(), r.Header, job.Deadline)
	if status != 0 {
		f.endRecord(moved.Record, trace.Refused, "workflow", status)
		f.counts.Rejected(job.Class)
		http.Error(w, message, status)
		return nil, false
	}
	return onVerdict, true
}

// awaitResponse waits for a job's response and writes it. It stops waiting if the client
// disconnects or the job is transferred to a newer process.
func (f *Front) awaitResponse(w http.ResponseWriter, r *http.Request, c *conn, job *core.Job, pending pendingResponse, onVerdict func(core.Verdict)) {
	released := make(chan *core.MovedRequest, 1)
	for handingOver := f.handingOver; ; {
		select {
		case response := <-pending:
			if onVerdict != nil {
				onVerdict(response.Verdict)
			}
			f.respond(w, job, response)
			return
		case <-r.Context().Done():
			f.abortForClient(job)
		case <-c.lookahead.clientDisconnected():
			f.abortForClient(job)
		case <-handingOver:
			handingOver = nil // release the job only once
			f.core.Release(job, func(m *core.MovedRequest) { released <- m })
		case m := <-released:
			if m == nil {
				continue // not released: it already has a response
			}
			if f.transfer(w, r, m, job.Body) {
				return
			}
			f.adoptJob(c, job, m, pending) // the newer process has ended: continue here
		}
	}
}

// respond writes the response to a job. It closes the connection if the client should send
// its next request to another process or dispatcher.
func (f *Front) respond(w http.ResponseWriter, job *core.Job, response core.Response) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(responseTimeout))
	if f.stopBy.Load() != nil && response.Verdict == core.Rejected || f.handOverActive() || f.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	f.writeResponse(w, job.Class, response)
}

// abortForClient cancels a job whose client has disconnected and aborts the connection. It
// panics with http.ErrAbortHandler: after a normal return net/http would send an empty
// response, which a client that has only closed its sending side would take for the result.
func (f *Front) abortForClient(job *core.Job) {
	f.core.ClientLeft(job)
	panic(http.ErrAbortHandler)
}

// writeResponse writes the response to a job and counts the job's outcome.
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
		_, _ = w.Write(response.Result) // the request's context reports a disconnect
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

// writeRejection writes a 503 response, with a Retry-After header in seconds unless retryAfter
// is 0.
func writeRejection(w http.ResponseWriter, retryAfter time.Duration) {
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	http.Error(w, "refused, try again", http.StatusServiceUnavailable)
}
