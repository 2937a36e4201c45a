package gearman

import (
	"bytes"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"frosttide/internal/dispatcher/core"
	"frosttide/internal/dispatcher/gearman/proto"
)

// job is a client's job from its submission until the core's response. Clients that submit the same
// function and unique id while it is open are attached to it, as the protocol requires.
type job struct {
	server      *Server
	handle      string
	function    string
	uniqueID    string // as the client sent it, or made from the workload for "-"
	uniqueKey   string // key in Server.unique; "" without a unique id
	class       int
	subscribers []*session // clients that receive packets about the job
	background  bool       // not canceled when it has no subscriber left
	coreJob     *core.Job
	running     bool
	done, total int64 // progress; total is 100 once a worker has reported any
}

// Respond implements core.Ingress. It passes the core's final response to the goroutine of Run.
func (j *job) Respond(response core.Response) {
	j.server.mailbox.Put(func(s *Server) { s.jobEnded(j, response) })
}

// Stream implements core.Streamer. It passes an event of the running job to the goroutine of Run.
func (j *job) Stream(ev core.JobEvent) {
	j.server.mailbox.Put(func(s *Server) { s.forwardEvent(j, ev) })
}

// handleSubmit validates a client's job and passes it to the goroutine of Run. An invalid job is
// answered with an ERROR packet.
func (sess *session) handleSubmit(p *proto.Packet, background bool) error {
	function, unique, body := string(p.Arg(0)), string(p.Arg(1)), bytes.Clone(p.Arg(2))
	if len(function) > maxNameBytes || len(unique) > maxNameBytes {
		sess.sendError("too_long", fmt.Sprintf("a function's name and a unique id have at most %d bytes", maxNameBytes))
		return nil
	}
	f, known := (*sess.server.functions.Load())[function]
	switch {
	case !known:
		sess.sendError("unknown_function", "no class is set for the function "+strconv.Quote(function))
		return nil
	case f.Keyed && (unique == "" || unique == "-"):
		sess.sendError("unique_missing", "the function needs a unique id, as it must not run twice")
		return nil
	case len(sess.openJobs) >= maxOpenJobs:
		sess.sendError("too_many_jobs", fmt.Sprintf("at most %d jobs may be open on a connection", maxOpenJobs))
		return nil
	}
	arrivedAt := time.Now()
	sess.server.mailbox.Put(func(s *Server) { s.submitJob(sess, f, function, unique, body, background, arrivedAt) })
	return nil
}

// submitJob creates a job, or attaches the client to the open job with the same function and unique
// id. It rejects a new job above MaxJobs or after the deadline of a graceful shutdown.
func (s *Server) submitJob(sess *session, f Function, function, unique string, body []byte, background bool, arrivedAt time.Time) {
	if unique == "-" { // source: gearmand uses the workload as the unique id then
		unique = strconv.FormatUint(hash(body), 16)
	}
	key := ""
	if unique != "" {
		key = function + "\x00" + unique
	}
	if j := s.unique[key]; key != "" && j != nil {
		s.attachClient(sess, j, background)
		return
	}
	s.lastJobNumber++
	j := &job{server: s, handle: fmt.Sprintf("H:%s:%d", "frosttide", s.lastJobNumber), function: function, uniqueID: unique, uniqueKey: key,
		class: f.Class, background: background}
	if !background {
		j.subscribers = []*session{sess}
	}
	shutdownDeadline := s.shutdownDeadline.Load()
	switch {
	case len(s.jobs) >= s.cfg.MaxJobs:
		s.rejectJob(sess, j, background, overloadRetryAfter)
		return
	case shutdownDeadline != nil && !time.Now().Before(*shutdownDeadline):
		s.rejectJob(sess, j, background, 0)
		return
	}
	j.coreJob = newCoreJob(f, j, body, arrivedAt, shutdownDeadline)
	s.beginRecord(j, f, arrivedAt)
	s.jobs[j.handle] = j
	if key != "" {
		s.unique[key] = j
	}
	s.counters.Pending(1)
	s.sendCreated(sess, j, background)
	s.core.Submit(j.coreJob, j)
}

// attachClient attaches a client to the open job whose unique id it has submitted.
func (s *Server) attachClient(sess *session, j *job, background bool) {
	j.background = j.background || background
	if !background && !slices.Contains(j.subscribers, sess) {
		j.subscribers = append(j.subscribers, sess)
	}
	s.sendCreated(sess, j, background)
}

// newCoreJob returns the job that is submitted to the core for j. During a graceful shutdown its
// deadline is capped at that of the shutdown.
func newCoreJob(f Function, j *job, body []byte, arrivedAt time.Time, shutdownDeadline *time.Time) *core.Job {
	c := &core.Job{ID: jobID(j.uniqueID), Method: "POST", Resource: "/" + f.Name + "/" + url.PathEscape(j.function), Body: body,
		Class: f.Class, Slots: max(f.Slots, 1), Deadline: arrivedAt.Add(f.Timeout)}
	if f.Keyed {
		c.Key = j.uniqueID
	}
	if shutdownDeadline != nil && shutdownDeadline.Before(c.Deadline) {
		c.Deadline, c.ProcessStopping = *shutdownDeadline, true
	}
	return c
}

// beginRecord begins the span record of a job, if span records are exported.
func (s *Server) beginRecord(j *job, f Function, arrivedAt time.Time) {
	record := s.recorder.Begin(arrivedAt, "", "")
	if record == nil {
		return
	}
	record.Request, record.Class, record.Method, record.Value, record.Slots = j.coreJob.ID, f.Name, "SUBMIT_JOB", f.Value, j.coreJob.Slots
	record.Keyed, record.RetryWindow = f.Keyed, f.RetryWindow
	if j.uniqueKey != "" {
		record.RetryKey = hash([]byte(j.uniqueKey)) | 1
	}
	j.coreJob.Record = record
}

// sendCreated sends JOB_CREATED with the job's handle. It must precede any other packet about the
// job.
func (s *Server) sendCreated(sess *session, j *job, background bool) {
	sess.send(proto.JobCreated, []byte(j.handle))
	if !background {
		sess.post(func(sess *session) { sess.openJobs[j.handle] = true })
	}
}

// rejectJob rejects a job without submitting it to the core. The protocol has no rejection, so a
// foreground client is sent a handle, a warning with the retry delay, and WORK_FAIL.
func (s *Server) rejectJob(sess *session, j *job, background bool, retryAfter time.Duration) {
	s.counters.Rejected(j.class)
	sess.send(proto.JobCreated, []byte(j.handle))
	if !background {
		sess.send(proto.WorkWarning, []byte(j.handle), rejectionText(retryAfter))
		sess.send(proto.WorkFail, []byte(j.handle))
	}
}

// overloadRetryAfter is the retry delay that a client is sent when MaxJobs jobs are open.
const overloadRetryAfter = 500 * time.Millisecond

// rejectionText returns the text of the warning about a rejected job. The retry delay is in
// seconds, like the Retry-After header of the HTTP front; zero or less omits it.
func rejectionText(retryAfter time.Duration) []byte {
	if retryAfter <= 0 {
		return []byte("refused; trying again is harmless")
	}
	return []byte(fmt.Sprintf("refused; trying again is harmless; Retry-After: %.3f", retryAfter.Seconds()))
}

// jobID returns the core's id of a job. It is the unique id if that is valid in a header and a path
// and has at most 128 bytes, so that the same job can't be open through both fronts at once;
// otherwise a hash of it. A job without a unique id gets a random id.
func jobID(unique string) string {
	invalid := strings.IndexFunc(unique, func(r rune) bool { return r <= ' ' || r >= 0x7f || r == '/' }) >= 0
	switch {
	case unique == "":
		return fmt.Sprintf("gm-%016x", rand.Uint64())
	case invalid || len(unique) > 128:
		return fmt.Sprintf("gm-%016x", hash([]byte(unique)))
	}
	return unique
}

// hash returns the 64-bit FNV-1a hash of text.
func hash(text []byte) uint64 {
	h := fnv.New64a()
	h.Write(text)
	return h.Sum64()
}

// jobEnded removes a job after the core's response, counts its outcome and sends it to the
// subscribers.
func (s *Server) jobEnded(j *job, response core.Response) {
	if s.jobs[j.handle] != j {
		return
	}
	s.removeJob(j)
	switch response.Verdict {
	case core.Served:
		s.counters.Completed(j.class)
	case core.Rejected:
		s.counters.Rejected(j.class)
	default:
		s.counters.Failed(j.class)
	}
	handle := []byte(j.handle)
	for _, sess := range j.subscribers {
		switch response.Verdict {
		case core.Served:
			last := response.Result
			if response.Streamed {
				last = response.Last
			}
			sess.send(proto.WorkComplete, handle, last)
		case core.Rejected:
			sess.send(proto.WorkWarning, handle, rejectionText(response.RetryAfter))
			sess.send(proto.WorkFail, handle)
		case core.Duplicate:
			sess.send(proto.WorkWarning, handle, []byte("a job of this id is open over another front"))
			sess.send(proto.WorkFail, handle)
		default:
			sess.send(proto.WorkFail, handle)
		}
		sess.post(func(sess *session) { delete(sess.openJobs, j.handle) })
	}
}

// removeJob removes a job from the indexes by handle and by unique id. It is the only place that
// does.
func (s *Server) removeJob(j *job) {
	delete(s.jobs, j.handle)
	if j.uniqueKey != "" {
		delete(s.unique, j.uniqueKey)
	}
	s.counters.Pending(-1)
}

// forwardEvent sends an event of a running job to its subscribers; an exception only to those that
// have requested exceptions.
func (s *Server) forwardEvent(j *job, ev core.JobEvent) {
	if s.jobs[j.handle] != j {
		return
	}
	j.running = true
	handle := []byte(j.handle)
	for _, sess := range j.subscribers {
		switch ev.State {
		case core.JobRunning:
			j.done, j.total = int64(ev.Share*100), 100
			sess.send(proto.WorkStatus, handle, strconv.AppendInt(nil, j.done, 10), strconv.AppendInt(nil, j.total, 10))
		case core.JobData:
			sess.send(proto.WorkData, handle, ev.Result)
		case core.JobWarning:
			sess.send(proto.WorkWarning, handle, ev.Result)
		case core.JobException:
			sess.post(func(sess *session) {
				if sess.exceptions {
					sess.send(proto.WorkException, handle, ev.Result)
				}
			})
		}
	}
}

// clientLeft removes a disconnected client from its jobs, and cancels each foreground job that has
// no subscriber left.
func (s *Server) clientLeft(sess *session) {
	for _, j := range s.jobs {
		i := slices.Index(j.subscribers, sess)
		if i < 0 {
			continue
		}
		j.subscribers = slices.Delete(j.subscribers, i, i+1)
		if len(j.subscribers) == 0 && !j.background {
			s.removeJob(j)
			s.counters.Failed(j.class)
			s.core.ClientLeft(j.coreJob)
		}
	}
}

// sendStatus sends the response to GET_STATUS.
func (s *Server) sendStatus(sess *session, handle string) {
	j := s.jobs[handle]
	known, running, done, total := j.statusFields()
	sess.send(proto.StatusRes, []byte(handle), known, running, done, total)
}

// sendStatusUnique sends the response to GET_STATUS_UNIQUE. If jobs of several functions have the
// unique id, it describes the one with the lowest handle in string order.
func (s *Server) sendStatusUnique(sess *session, unique string) {
	var found *job
	for _, j := range s.jobs {
		if j.uniqueID == unique && (found == nil || j.handle < found.handle) {
			found = j
		}
	}
	known, running, done, total := found.statusFields()
	clients := 0
	if found != nil {
		clients = len(found.subscribers)
	}
	sess.send(proto.StatusResUnique, []byte(unique), known, running, done, total, strconv.AppendInt(nil, int64(clients), 10))
}

// statusFields returns the fields of a status packet as text. All are 0 for a nil job.
func (j *job) statusFields() (known, running, done, total []byte) {
	boolField := func(b bool) []byte {
		if b {
			return []byte("1")
		}
		return []byte("0")
	}
	if j == nil {
		return boolField(false), boolField(false), boolField(false), boolField(false)
	}
	return boolField(true), boolField(j.running), strconv.AppendInt(nil, j.done, 10), strconv.AppendInt(nil, j.total, 10)
}
