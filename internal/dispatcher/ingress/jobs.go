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

// exchange is the client's side of one job: a mailbox for its one answer.
type exchange chan core.Answer

// Answer takes the core's answer; there is room for it, as it comes once.
func (x exchange) Answer(a core.Answer) { x <- a }

func (f *Front) job(w http.ResponseWriter, r *http.Request, c *conn) {
	story := f.story(r)
	class, err := f.class(r.Header.Get("X-Qos"), r.URL.Path)
	if err != nil {
		f.atDoor(story, trace.Unusable, "class", http.StatusBadRequest)
		f.refuse(w, err.Error(), http.StatusBadRequest)
		return
	}
	job, err := f.parse(r, class, time.Now())
	f.describe(story, r, job, class)
	if err != nil {
		f.atDoor(story, trace.Unusable, "malformed", http.StatusBadRequest)
		f.counts.Failed(class)
		f.refuse(w, err.Error(), http.StatusBadRequest)
		return
	}
	text, ok := f.body(w, r, c)
	if !ok {
		f.atDoor(story, trace.Unusable, "body", http.StatusBadRequest)
		f.counts.Failed(class)
		return
	}
	c.heard(false)
	f.counts.Pending(1)
	defer f.counts.Pending(-1)
	defer f.jobs.Add(-1)
	if f.jobs.Add(1) > f.clients.Load() {
		// Guards the budget of sockets: the connection is given back with a clean
		// refusal, so that call-backs still find room.
		f.crowded.Add(1)
		f.atDoor(story, trace.Refused, "crowded", http.StatusServiceUnavailable)
		f.counts.Rejected(class)
		w.Header().Set("Connection", "close")
		shed(w, crowded)
		return
	}
	job.Body, job.Gone = text, func() bool { return r.Context().Err() != nil || c.gone() }
	m := &core.Moved{}
	if c.moved != nil { // the older process has begun it
		m, c.moved = c.moved, nil
		job.Deadline = monotime.Time(m.Deadline)
		if story != nil && m.Story != nil {
			story = m.Story
		}
	}
	m.Story = story
	if f.gives() {
		if m.Deadline == 0 {
			m.Deadline = monotime.Of(job.Deadline)
		}
		if f.move(w, r, m, text) {
			return
		}
	}
	by := f.leaveBy.Load()
	if by != nil && by.Before(job.Deadline) {
		// Guards rule 1: what the process's end finds without an answer is lost.
		job.Deadline, job.Ending = *by, true
	}
	job.Story = story
	var settled func(core.Verdict)
	if f.cfg.Steps != nil && len(m.Hops) == 0 {
		code, why, tell := f.cfg.Steps.Begin(r.Context(), r.Header, job.Deadline)
		if code != 0 {
			f.atDoor(story, trace.Refused, "workflow", code)
			f.counts.Rejected(class)
			http.Error(w, why, code)
			return
		}
		settled = tell
	}
	x := make(exchange, 1)
	if len(m.Hops) > 0 {
		f.core.Adopt(job, m, x)
	} else {
		f.core.Submit(job, x)
	}
	f.await(w, r, c, job, x, settled)
}

// await waits for a job's answer and writes it, unless the client leaves or the job
// moves to a newer process.
func (f *Front) await(w http.ResponseWriter, r *http.Request, c *conn, job *core.Job, x exchange, settled func(core.Verdict)) {
	released := make(chan *core.Moved, 1)
	for moving := f.moving; ; {
		select {
		case a := <-x:
			if settled != nil {
				settled(a.Verdict)
			}
			_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(readTime))
			if f.leaveBy.Load() != nil && a.Verdict == core.Shed || f.gives() || f.draining.Load() {
				w.Header().Set("Connection", "close")
			}
			f.write(w, job.Class, a)
			return
		case <-r.Context().Done():
			f.left(job)
		case <-c.ahead.over():
			f.left(job)
		case <-moving:
			moving = nil // once
			f.core.Release(job, func(m *core.Moved) { released <- m })
		case m := <-released:
			if m == nil {
				continue // its answer is on the way
			}
			if !f.move(w, r, m, job.Body) {
				f.atDoor(m.Story, trace.Failed, "hand_over", http.StatusBadGateway)
				f.counts.Failed(job.Class)
				w.Header().Set("Connection", "close")
				http.Error(w, "the job failed", http.StatusBadGateway)
			}
			return
		}
	}
}

// left ends a job whose client has gone, and its connection. Guards a client that has closed its
// side alone from an answer that no runner made: net/http would write one.
func (f *Front) left(job *core.Job) {
	f.core.Leave(job)
	panic(http.ErrAbortHandler)
}

// gives tells whether all jobs go to a newer process now.
func (f *Front) gives() bool {
	select {
	case <-f.moving:
		return f.other.Succeeded()
	default:
		return false
	}
}

// move hands a client's connection and its request to the newer process. It reports
// whether nothing more is owed here.
func (f *Front) move(w http.ResponseWriter, r *http.Request, m *core.Moved, body []byte) bool {
	if !f.other.Succeeded() {
		return false
	}
	x := r.Context().Value(connKey{}).(*conn)
	x.written() // nobody else reads it from here on
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
	text.Write(x.ahead.rest())
	if !f.other.Hand(c, text.Bytes(), m, f.handBy(m)) {
		// Guards rule 1 against a newer process that has ended: it may have run, unless
		// it was never sent.
		status, answer := http.StatusBadGateway, trace.Failed
		if len(m.Hops) == 0 {
			status, answer = http.StatusServiceUnavailable, trace.Refused
		}
		f.atDoor(m.Story, answer, "hand_over", status)
		_ = c.SetWriteDeadline(time.Now().Add(passTime))
		fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status))
	}
	return true
}

// handBy is when a job has to be at the newer process: by its own time, and while this one goes on.
// Guards clients on a busy machine: of 200 handed over at once some took over 500 ms, the time that
// call-backs have, and failed while the newer process went on with them. One that stands still ends the link.
func (f *Front) handBy(m *core.Moved) time.Time {
	by := time.Now().Add(passTime)
	if until := f.giveBy.Load(); until != nil && until.After(by) {
		by = *until
	}
	if at := monotime.Time(m.Deadline); at.Before(by) {
		return at
	}
	return by
}

// Adopt serves a client's connection that the older process hands over, beginning with
// the request that was read from it there.
func (f *Front) Adopt(c net.Conn, request []byte, m *core.Moved) bool {
	x := f.door.admit(c, request, m)
	select {
	case f.adopted.conns <- x:
		return true
	default:
		x.Close()
		return false
	}
}

// write counts and writes a job's answer.
func (f *Front) write(w http.ResponseWriter, class int, a core.Answer) {
	switch a.Verdict {
	case core.Served:
		f.counts.Completed(class)
	case core.Shed:
		f.counts.Rejected(class)
	default:
		f.counts.Failed(class)
	}
	switch a.Verdict {
	case core.Served:
		w.Header().Set("Content-Type", "application/octet-stream")
		_, _ = w.Write(a.Result) // a client that has left is seen by its context
	case core.Shed:
		shed(w, a.RetryAfter)
	case core.Duplicate:
		http.Error(w, "a request with this id is open", http.StatusConflict)
	case core.Unusable:
		http.Error(w, "the runner can't use the job", http.StatusBadRequest)
	default:
		http.Error(w, "the job failed", http.StatusBadGateway)
	}
}

// shed writes a refusal and when to come back.
func shed(w http.ResponseWriter, after time.Duration) {
	if after > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	http.Error(w, "refused, try again", http.StatusServiceUnavailable)
}
