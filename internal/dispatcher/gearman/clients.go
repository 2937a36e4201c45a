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

// job is a client's job from its submission until the core has answered. Clients that
// submit the same unique id of a function meanwhile wait for the one job, as the protocol
// says.
type job struct {
	server     *Server
	handle     string
	function   string
	id         string // unique id as the client gave it
	key        string // in Server.unique; empty for none
	class      int
	clients    []*session // who hears of it
	background bool       // somebody wants it done whoever hears of it
	core       *core.Job
	running    bool
	done, of   int64 // as the worker tells
}

// Respond takes the core's answer.
func (j *job) Respond(a core.Response) { j.server.box.Put(func(s *Server) { s.answered(j, a) }) }

// Stream takes what a worker tells while it works.
func (j *job) Stream(ev core.JobEvent) { j.server.box.Put(func(s *Server) { s.stream(j, ev) }) }

// submit reads a client's job.
func (x *session) submit(p *proto.Packet, background bool) error {
	function, unique, body := string(p.Arg(0)), string(p.Arg(1)), bytes.Clone(p.Arg(2))
	if len(function) > mostName || len(unique) > mostName {
		x.wrong("too_long", fmt.Sprintf("a function's name and a unique id have at most %d bytes", mostName))
		return nil
	}
	f, known := (*x.server.functions.Load())[function]
	switch {
	case !known:
		x.wrong("unknown_function", "no class is set for the function "+strconv.Quote(function))
		return nil
	case f.Keyed && (unique == "" || unique == "-"):
		x.wrong("unique_missing", "the function needs a unique id, as it must not run twice")
		return nil
	case len(x.open) >= mostOpen:
		x.wrong("too_many_jobs", fmt.Sprintf("at most %d jobs may be open on a connection", mostOpen))
		return nil
	}
	came := time.Now()
	x.server.box.Put(func(s *Server) { s.submitted(x, f, function, unique, body, background, came) })
	return nil
}

// submitted makes a job of it, or joins the one there is.
func (s *Server) submitted(x *session, f Function, function, unique string, body []byte, background bool, came time.Time) {
	if unique == "-" { // source: gearmand takes it for "the workload is the unique id"
		unique = strconv.FormatUint(hash(body), 16)
	}
	key := ""
	if unique != "" {
		key = function + "\x00" + unique
	}
	if j := s.unique[key]; key != "" && j != nil {
		j.background = j.background || background
		if !background && !slices.Contains(j.clients, x) {
			j.clients = append(j.clients, x)
		}
		s.created(x, j, background)
		return
	}
	s.number++
	j := &job{server: s, handle: fmt.Sprintf("H:%s:%d", "frosttide", s.number), function: function, id: unique, key: key,
		class: f.Class, background: background}
	if !background {
		j.clients = []*session{x}
	}
	by := s.leaving.Load()
	switch {
	case len(s.jobs) >= s.cfg.Jobs:
		s.refuse(x, j, background, crowded)
		return
	case by != nil && !time.Now().Before(*by):
		s.refuse(x, j, background, 0)
		return
	}
	j.core = &core.Job{ID: jobID(unique), Method: "POST", Resource: "/" + f.Name + "/" + url.PathEscape(function), Body: body,
		Class: f.Class, Slots: max(f.Slots, 1), Deadline: came.Add(f.GiveUp)}
	if f.Keyed {
		j.core.Key = unique
	}
	if by != nil && by.Before(j.core.Deadline) {
		j.core.Deadline, j.core.ProcessStopping = *by, true
	}
	if story := s.stories.Begin(came, "", ""); story != nil {
		story.Request, story.Class, story.Method, story.Value, story.Slots = j.core.ID, f.Name, "SUBMIT_JOB", f.Worth, j.core.Slots
		story.Keyed, story.RetryWindow = f.Keyed, f.Repeats
		if key != "" {
			story.RetryKey = hash([]byte(key)) | 1
		}
		j.core.Record = story
	}
	s.jobs[j.handle] = j
	if key != "" {
		s.unique[key] = j
	}
	s.counts.Pending(1)
	s.created(x, j, background)
	s.core.Submit(j.core, j)
}

// created tells a client its job's handle. It comes before all else on the job.
func (s *Server) created(x *session, j *job, background bool) {
	x.send(proto.JobCreated, []byte(j.handle))
	if !background {
		x.tell(func(x *session) { x.open[j.handle] = true })
	}
}

// refuse answers a job that the core never gets. The protocol has no refusal: the client
// has its handle, a warning that tells when to come back, and the failure at once.
func (s *Server) refuse(x *session, j *job, background bool, after time.Duration) {
	s.counts.Rejected(j.class)
	x.send(proto.JobCreated, []byte(j.handle))
	if !background {
		x.send(proto.WorkWarning, []byte(j.handle), comeBack(after))
		x.send(proto.WorkFail, []byte(j.handle))
	}
}

// crowded is what a client is told to wait where too many jobs are open.
const crowded = 500 * time.Millisecond

// comeBack words a refusal. Source: Retry-After's seconds, as the HTTP front gives them.
func comeBack(after time.Duration) []byte {
	if after <= 0 {
		return []byte("refused; trying again is harmless")
	}
	return []byte(fmt.Sprintf("refused; trying again is harmless; Retry-After: %.3f", after.Seconds()))
}

// jobID returns the id of a job: the unique id where it can go into a header and a path,
// so that the same thing can't be open over both fronts at once.
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

func hash(text []byte) uint64 {
	h := fnv.New64a()
	h.Write(text)
	return h.Sum64()
}

// answered tells all who wait how a job ended.
func (s *Server) answered(j *job, a core.Response) {
	if s.jobs[j.handle] != j {
		return
	}
	s.forget(j)
	switch a.Verdict {
	case core.Served:
		s.counts.Completed(j.class)
	case core.Rejected:
		s.counts.Rejected(j.class)
	default:
		s.counts.Failed(j.class)
	}
	handle := []byte(j.handle)
	for _, x := range j.clients {
		switch a.Verdict {
		case core.Served:
			last := a.Result
			if a.Streamed {
				last = a.Last
			}
			x.send(proto.WorkComplete, handle, last)
		case core.Rejected:
			x.send(proto.WorkWarning, handle, comeBack(a.RetryAfter))
			x.send(proto.WorkFail, handle)
		case core.Duplicate:
			x.send(proto.WorkWarning, handle, []byte("a job of this id is open over another front"))
			x.send(proto.WorkFail, handle)
		default:
			x.send(proto.WorkFail, handle)
		}
		x.tell(func(x *session) { delete(x.open, j.handle) })
	}
}

// forget gives back a job's handle and unique id; it is the one place where that happens.
func (s *Server) forget(j *job) {
	delete(s.jobs, j.handle)
	if j.key != "" {
		delete(s.unique, j.key)
	}
	s.counts.Pending(-1)
}

// stream passes on what a worker tells.
func (s *Server) stream(j *job, ev core.JobEvent) {
	if s.jobs[j.handle] != j {
		return
	}
	j.running = true
	handle := []byte(j.handle)
	for _, x := range j.clients {
		switch ev.State {
		case core.JobRunning:
			j.done, j.of = int64(ev.Share*100), 100
			x.send(proto.WorkStatus, handle, strconv.AppendInt(nil, j.done, 10), strconv.AppendInt(nil, j.of, 10))
		case core.JobData:
			x.send(proto.WorkData, handle, ev.Result)
		case core.JobWarning:
			x.send(proto.WorkWarning, handle, ev.Result)
		case core.JobException:
			x.tell(func(x *session) {
				if x.exceptions {
					x.send(proto.WorkException, handle, ev.Result)
				}
			})
		}
	}
}

// left lets go of the jobs that nobody waits for any more.
func (s *Server) left(x *session) {
	for _, j := range s.jobs {
		i := slices.Index(j.clients, x)
		if i < 0 {
			continue
		}
		j.clients = slices.Delete(j.clients, i, i+1)
		if len(j.clients) == 0 && !j.background {
			s.forget(j)
			s.counts.Failed(j.class)
			s.core.ClientLeft(j.core)
		}
	}
}

// status answers what is known of a job.
func (s *Server) status(x *session, handle string) {
	j := s.jobs[handle]
	known, running, done, of := j.figures()
	x.send(proto.StatusRes, []byte(handle), known, running, done, of)
}

func (s *Server) statusUnique(x *session, unique string) {
	var found *job
	for _, j := range s.jobs {
		if j.id == unique && (found == nil || j.handle < found.handle) {
			found = j
		}
	}
	known, running, done, of := found.figures()
	clients := 0
	if found != nil {
		clients = len(found.clients)
	}
	x.send(proto.StatusResUnique, []byte(unique), known, running, done, of, strconv.AppendInt(nil, int64(clients), 10))
}

// figures writes what a status tells; all is 0 of a job that is not there.
func (j *job) figures() (known, running, done, of []byte) {
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
