package ingress

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"frosttide/internal/dispatcher/core"
	"frosttide/internal/dispatcher/monotime"
	"frosttide/internal/dispatcher/trace"
)

// pendingResponse is the client's side of one job: a mailbox for its one answer.
type pendingResponse chan core.Response

// Respond takes the core's answer; there is room for it, as it comes once.
func (x pendingResponse) Respond(a core.Response) { x <- a }

func (f *Front) handleJob(w http.ResponseWriter, r *http.Request, c *conn) {
	story := f.beginRecord(r)
	class, err := f.findClass(r.Header.Get("X-Qos"), r.URL.Path)
	if err != nil {
		f.endRecord(story, trace.Invalid, "class", http.StatusBadRequest)
		f.rejectMalformed(w, err.Error(), http.StatusBadRequest)
		return
	}
	job, err := f.parseJob(r, class, time.Now())
	f.describeJob(story, r, job, class)
	if err != nil {
		f.endRecord(story, trace.Invalid, "malformed", http.StatusBadRequest)
		f.counts.Failed(class)
		f.rejectMalformed(w, err.Error(), http.StatusBadRequest)
		return
	}
	text, ok := f.readBody(w, r, c)
	if !ok {
		f.endRecord(story, trace.Invalid, "body", http.StatusBadRequest)
		f.counts.Failed(class)
		return
	}
	c.requestArrived(false)
	f.counts.Pending(1)
	defer f.counts.Pending(-1)
	defer f.openJobs.Add(-1)
	if f.openJobs.Add(1) > f.maxJobs.Load() {
		// Guards the budget of sockets: the connection is given back with a clean
		// refusal, so that call-backs still find room.
		f.crowded.Add(1)
		f.endRecord(story, trace.Refused, "crowded", http.StatusServiceUnavailable)
		f.counts.Rejected(class)
		w.Header().Set("Connection", "close")
		writeRejection(w, crowdedRetryAfter)
		return
	}
	job.Body, job.ClientLeft = text, func() bool { return r.Context().Err() != nil || c.clientLeft() }
	m := &core.MovedRequest{}
	if c.transferred != nil { // the older process has begun it
		m, c.transferred = c.transferred, nil
		job.Deadline = monotime.Time(m.Deadline)
		if story != nil && m.Record != nil {
			story = m.Record
		}
	}
	m.Record = story
	if f.handsOver() {
		if m.Deadline == 0 {
			m.Deadline = monotime.Of(job.Deadline)
		}
		if f.transfer(w, r, m, text) {
			return
		}
	}
	stopBy := f.stopBy.Load()
	if stopBy != nil && stopBy.Before(job.Deadline) {
		// Guards rule 1: what the process's end finds without an answer is lost.
		job.Deadline, job.ProcessStopping = *stopBy, true
	}
	job.Record = story
	var settled func(core.Verdict)
	if f.cfg.Steps != nil && len(m.Attempts) == 0 {
		code, why, tell := f.cfg.Steps.Begin(r.Context(), r.Header, job.Deadline)
		if code != 0 {
			f.endRecord(story, trace.Refused, "workflow", code)
			f.counts.Rejected(class)
			http.Error(w, why, code)
			return
		}
		settled = tell
	}
	x := make(pendingResponse, 1)
	if len(m.Attempts) > 0 {
		f.core.Adopt(job, m, x)
	} else {
		f.core.Submit(job, x)
	}
	f.await(w, r, c, job, x, settled)
}

// await waits for a job's answer and writes it, unless the client leaves or the job
// moves to a newer process.
func (f *Front) await(w http.ResponseWriter, r *http.Request, c *conn, job *core.Job, x pendingResponse, settled func(core.Verdict)) {
	released := make(chan *core.MovedRequest, 1)
	for moving := f.handingOver; ; {
		select {
		case a := <-x:
			if settled != nil {
				settled(a.Verdict)
			}
			_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(responseTimeout))
			if f.stopBy.Load() != nil && a.Verdict == core.Rejected || f.handsOver() || f.draining.Load() {
				w.Header().Set("Connection", "close")
			}
			f.writeResponse(w, job.Class, a)
			return
		case <-r.Context().Done():
			f.abortForClient(job)
		case <-c.lookahead.clientEnded():
			f.abortForClient(job)
		case <-moving:
			moving = nil // once
			f.core.Release(job, func(m *core.MovedRequest) { released <- m })
		case m := <-released:
			if m == nil {
				continue // its answer is on the way
			}
			if !f.transfer(w, r, m, job.Body) {
				f.endRecord(m.Record, trace.Failed, "hand_over", http.StatusBadGateway)
				f.counts.Failed(job.Class)
				w.Header().Set("Connection", "close")
				http.Error(w, "the job failed", http.StatusBadGateway)
			}
			return
		}
	}
}

// abortForClient ends a job whose client has gone, and its connection. Guards a client that has closed its
// side alone from an answer that no runner made: net/http would write one.
func (f *Front) abortForClient(job *core.Job) {
	f.core.ClientLeft(job)
	panic(http.ErrAbortHandler)
}

// handsOver tells whether all jobs go to a newer process now.
func (f *Front) handsOver() bool {
	select {
	case <-f.handingOver:
		return f.peer.Succeeded()
	default:
		return false
	}
}

// transfer hands a client's connection and its request to the newer process. It reports
// whether nothing more is owed here.
func (f *Front) transfer(w http.ResponseWriter, r *http.Request, m *core.MovedRequest, body []byte) bool {
	if !f.peer.Succeeded() {
		return false
	}
	x := r.Context().Value(connKey{}).(*conn)
	x.responseWritten() // nobody else reads it from here on
	c, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		f.log.WithError(err).Warn("a connection could not be handed over")
		return false
	}
	defer c.Close() // this process's copy
	_ = c.SetDeadline(time.Time{})
	var text bytes.Buffer
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n", r.Method, r.RequestURI, r.Host, len(body))
	_ = r.Header.WriteSubset(&text, map[string]bool{"Content-Length": true}) // to memory
	text.WriteString("\r\n")
	text.Write(body)
	more, _ := buffered.Reader.Peek(buffered.Reader.Buffered())
	text.Write(more)
	text.Write(x.lookahead.rest())
	if !f.peer.TransferConn(c, text.Bytes(), m, f.transferDeadline(m)) {
		// Guards rule 1 against a newer process that has ended: it may have run, unless
		// it was never sent.
		status, answer := http.StatusBadGateway, trace.Failed
		if len(m.Attempts) == 0 {
			status, answer = http.StatusServiceUnavailable, trace.Refused
		}
		f.endRecord(m.Record, answer, "hand_over", status)
		_ = c.SetWriteDeadline(time.Now().Add(forwardTimeout))
		fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status))
	}
	return true
}

// transferDeadline is when a job has to be at the newer process: by its own time, and while this one goes on.
// Guards clients on a busy machine: of 200 handed over at once some took over 500 ms, the time that
// call-backs have, and failed while the newer process went on with them. One that stands still ends the link.
func (f *Front) transferDeadline(m *core.MovedRequest) time.Time {
	stopBy := time.Now().Add(forwardTimeout)
	if until := f.handOverBy.Load(); until != nil && until.After(stopBy) {
		stopBy = *until
	}
	if at := monotime.Time(m.Deadline); at.Before(stopBy) {
		return at
	}
	return stopBy
}

// Adopt serves a client's connection that the older process hands over, beginning with
// the request that was read from it there.
func (f *Front) Adopt(c net.Conn, request []byte, m *core.MovedRequest) bool {
	x := f.listener.admit(c, request, m)
	select {
	case f.adopted.conns <- x:
		return true
	default:
		x.Close()
		return false
	}
}

// writeResponse counts and writes a job's answer.
func (f *Front) writeResponse(w http.ResponseWriter, class int, a core.Response) {
	switch a.Verdict {
	case core.Served:
		f.counts.Completed(class)
	case core.Rejected:
		f.counts.Rejected(class)
	default:
		f.counts.Failed(class)
	}
	switch a.Verdict {
	case core.Served:
		w.Header().Set("Content-Type", "application/octet-stream")
		_, _ = w.Write(a.Result) // a client that has left is seen by its context
	case core.Rejected:
		writeRejection(w, a.RetryAfter)
	case core.Duplicate:
		http.Error(w, "a request with this id is open", http.StatusConflict)
	case core.Unusable:
		http.Error(w, "the runner can't use the job", http.StatusBadRequest)
	default:
		http.Error(w, "the job failed", http.StatusBadGateway)
	}
}

// writeRejection writes a refusal and when to come back.
func writeRejection(w http.ResponseWriter, after time.Duration) {
	if after > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	http.Error(w, "refused, try again", http.StatusServiceUnavailable)
}
