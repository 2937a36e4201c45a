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

// job is a client's job from its submission until the core has responded. Clients that submit the
// same unique id of a function meanwhile share the one job, as the protocol requires.
type job struct {
	server      *Server
	handle      string
	function    string
	id          string // unique id as the client sent it
	key         string // in Server.unique; empty for none
	class       int
	subscribers []*session // who gets its packets
	background  bool       // somebody wants it done even if all subscribers leave
	core        *core.Job
	running     bool
	done, of    int64 // progress as the worker reports it
}

// Respond passes the core's response to the server's actor.
func (j *job) Respond(response core.Response) {
	j.server.mailbox.Put(func(s *Server) { s.jobEnded(j, response) })
}

// Stream passes an event of the running job to the server's actor.
func (j *job) Stream(ev core.JobEvent) {
	j.server.mailbox.Put(func(s *Server) { s.forwardEvent(j, ev) })
}

// submit checks a client's job and passes it to the server.
func (x *session) submit(p *proto.Packet, background bool) error {
	function, unique, body := string(p.Arg(0)), string(p.Arg(1)), bytes.Clone(p.Arg(2))
	if len(function) > maxNameBytes || len(unique) > maxNameBytes {
		x.sendError("too_long", fmt.Sprintf("a function's name and a unique id have at most %d bytes", maxNameBytes))
		return nil
	}
	f, known := (*x.server.functions.Load())[function]
	switch {
	case !known:
		x.sendError("unknown_function", "no class is set for the function "+strconv.Quote(function))
		return nil
	case f.Keyed && (unique == "" || unique == "-"):
		x.sendError("unique_missing", "the function needs a unique id, as it must not run twice")
		return nil
	case len(x.openJobs) >= maxOpenJobs:
		x.sendError("too_many_jobs", fmt.Sprintf("at most %d jobs may be open on a connection", maxOpenJobs))
		return nil
	}
	arrivedAt := time.Now()
	x.server.mailbox.Put(func(s *Server) { s.submitted(x, f, function, unique, body, background, arrivedAt) })
	return nil
}

// submitted creates a job, or adds the client to the open one of the same unique id.
func (s *Server) submitted(x *session, f Function, function, unique string, body []byte, background bool, arrivedAt time.Time) {
	if unique == "-" { // source: gearmand takes it for "the workload is the unique id"
		unique = strconv.FormatUint(hash(body), 16)
	}
	key := ""
	if unique != "" {
		key = function + "\x00" + unique
	}
	if j := s.unique[key]; key != "" && j != nil {
		s.join(x, j, background)
		return
	}
	s.lastJob++
	j := &job{server: s, handle: fmt.Sprintf("H:%s:%d", "frosttide", s.lastJob), function: function, id: unique, key: key,
		class: f.Class, background: background}
	if !background {
		j.subscribers = []*session{x}
	}
	shutdownBy := s.shutdownBy.Load()
	switch {
	case len(s.jobs) >= s.cfg.MaxJobs:
		s.rejectJob(x, j, background, crowdedRetryAfter)
		return
	case shutdownBy != nil && !time.Now().Before(*shutdownBy):
		s.rejectJob(x, j, background, 0)
		return
	}
	j.core = newCoreJob(f, j, body, arrivedAt, shutdownBy)
	s.beginRecord(j, f, arrivedAt)
	s.jobs[j.handle] = j
	if key != "" {
		s.unique[key] = j
	}
	s.counters.Pending(1)
	s.sendCreated(x, j, background)
	s.core.Submit(j.core, j)
}

// join adds a client to an open job of the unique id that it has submitted.
func (s *Server) join(x *session, j *job, background bool) {
	j.background = j.background || background
	if !background && !slices.Contains(j.subscribers, x) {
		j.subscribers = append(j.subscribers, x)
	}
	s.sendCreated(x, j, background)
}

// newCoreJob returns the core's job for a client's job of a function. During a graceful shutdown its
// deadline is not after the shutdown's.
func newCoreJob(f Function, j *job, body []byte, arrivedAt time.Time, shutdownBy *time.Time) *core.Job {
	c := &core.Job{ID: jobID(j.id), Method: "POST", Resource: "/" + f.Name + "/" + url.PathEscape(j.function), Body: body,
		Class: f.Class, Slots: max(f.Slots, 1), Deadline: arrivedAt.Add(f.Timeout)}
	if f.Keyed {
		c.Key = j.id
	}
	if shutdownBy != nil && shutdownBy.Before(c.Deadline) {
		c.Deadline, c.ProcessStopping = *shutdownBy, true
	}
	return c
}

// beginRecord begins the span record of a job, if jobs are recorded.
func (s *Server) beginRecord(j *job, f Function, arrivedAt time.Time) {
	record := s.recorder.Begin(arrivedAt, "", "")
	if record == nil {
		return
	}
	record.Request, record.Class, record.Method, record.Value, record.Slots = j.core.ID, f.Name, "SUBMIT_JOB", f.Value, j.core.Slots
	record.Keyed, record.RetryWindow = f.Keyed, f.RetryWindow
	if j.key != "" {
		record.RetryKey = hash([]byte(j.key)) | 1
	}
	j.core.Record = record
}

// sendCreated sends a client its job's handle, before any other packet about the job.
func (s *Server) sendCreated(x *session, j *job, background bool) {
	x.send(proto.JobCreated, []byte(j.handle))
	if !background {
		x.post(func(x *session) { x.openJobs[j.handle] = true })
	}
}

// rejectJob answers a job that the core never gets. The protocol has no rejection: the client gets
// a handle, a warning that says when to retry, and the failure at once.
func (s *Server) rejectJob(x *session, j *job, background bool, after time.Duration) {
	s.counters.Rejected(j.class)
	x.send(proto.JobCreated, []byte(j.handle))
	if !background {
		x.send(proto.WorkWarning, []byte(j.handle), rejectionText(after))
		x.send(proto.WorkFail, []byte(j.handle))
	}
}

// crowdedRetryAfter is the retry delay that a client is sent when too many jobs are open.
const crowdedRetryAfter = 500 * time.Millisecond

// rejectionText returns the text of the warning about a rejected job. Its seconds are those of the
// HTTP front's Retry-After.
func rejectionText(after time.Duration) []byte {
	if after <= 0 {
		return []byte("refused; trying again is harmless")
	}
	return []byte(fmt.Sprintf("refused; trying again is harmless; Retry-After: %.3f", after.Seconds()))
}

// jobID returns the id of a job: the unique id if it can be part of a header and a path, so that
// the same job can't be open through both fronts at once.
func jobID(unique string) string {
	bad := strings.IndexFunc(unique, func(r rune) bool { return r <= ' ' || r >= 0x7f || r == '/' }) >= 0
	switch {
	case unique == "":
		return fmt.Sprintf("gm-%016x", rand.Uint64())
	case bad || len(unique) > 128:
		return fmt.Sprintf("gm-%016x", hash([]byte(unique)))
	}
	return unique
}

// hash returns the FNV-1a hash of a text.
func hash(text []byte) uint64 {
	h := fnv.New64a()
	h.Write(text)
	return h.Sum64()
}

// jobEnded sends the end of a job to its subscribers.
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
	for _, x := range j.subscribers {
		switch response.Verdict {
		case core.Served:
			last := response.Result
			if response.Streamed {
				last = response.Last
			}
			x.send(proto.WorkComplete, handle, last)
		case core.Rejected:
			x.send(proto.WorkWarning, handle, rejectionText(response.RetryAfter))
			x.send(proto.WorkFail, handle)
		case core.Duplicate:
			x.send(proto.WorkWarning, handle, []byte("a job of this id is open over another front"))
			x.send(proto.WorkFail, handle)
		default:
			x.send(proto.WorkFail, handle)
		}
		x.post(func(x *session) { delete(x.openJobs, j.handle) })
	}
}

// removeJob frees a job's handle and unique id; nothing else does.
func (s *Server) removeJob(j *job) {
	delete(s.jobs, j.handle)
	if j.key != "" {
		delete(s.unique, j.key)
	}
	s.counters.Pending(-1)
}

// forwardEvent sends an event of a running job to its subscribers.
func (s *Server) forwardEvent(j *job, ev core.JobEvent) {
	if s.jobs[j.handle] != j {
		return
	}
	j.running = true
	handle := []byte(j.handle)
	for _, x := range j.subscribers {
		switch ev.State {
		case core.JobRunning:
			j.done, j.of = int64(ev.Share*100), 100
			x.send(proto.WorkStatus, handle, strconv.AppendInt(nil, j.done, 10), strconv.AppendInt(nil, j.of, 10))
		case core.JobData:
			x.send(proto.WorkData, handle, ev.Result)
		case core.JobWarning:
			x.send(proto.WorkWarning, handle, ev.Result)
		case core.JobException:
			x.post(func(x *session) {
				if x.exceptions {
					x.send(proto.WorkException, handle, ev.Result)
				}
			})
		}
	}
}

// clientLeft ends the jobs that nobody waits for any more after a client has left.
func (s *Server) clientLeft(x *session) {
	for _, j := range s.jobs {
		i := slices.Index(j.subscribers, x)
		if i < 0 {
			continue
		}
		j.subscribers = slices.Delete(j.subscribers, i, i+1)
		if len(j.subscribers) == 0 && !j.background {
			s.removeJob(j)
			s.counters.Failed(j.class)
			s.core.ClientLeft(j.core)
		}
	}
}

// status answers GET_STATUS.
func (s *Server) status(x *session, handle string) {
	j := s.jobs[handle]
	known, running, done, of := j.statusFields()
	x.send(proto.StatusRes, []byte(handle), known, running, done, of)
}

// statusUnique answers GET_STATUS_UNIQUE.
func (s *Server) statusUnique(x *session, unique string) {
	var found *job
	for _, j := range s.jobs {
		if j.id == unique && (found == nil || j.handle < found.handle) {
			found = j
		}
	}
	known, running, done, of := found.statusFields()
	clients := 0
	if found != nil {
		clients = len(found.subscribers)
	}
	x.send(proto.StatusResUnique, []byte(unique), known, running, done, of, strconv.AppendInt(nil, int64(clients), 10))
}

// statusFields returns the fields of a status packet; all are 0 for a job that is not known.
func (j *job) statusFields() (known, running, done, of []byte) {
	bit := func(b bool) []byte {
		if b {
			return []byte("1")
		}
		return []byte("0")
	}
	if j == nil {
		return bit(false), bit(false), bit(false), bit(false)
	}
	return bit(true), bit(j.running), strconv.AppendInt(nil, j.done, 10), strconv.AppendInt(nil, j.of, 10)
}
