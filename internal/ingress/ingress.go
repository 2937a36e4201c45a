// Package ingress is the platform's front: it takes the jobs of clients, answers
// the health check, and takes the runners' call-backs, all at one address. It
// turns HTTP into the core's terms and back, and decides nothing.
package ingress

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"frosttide/internal/core"
	"frosttide/internal/loadreport"
	"frosttide/internal/trace"
)

const (
	maxBody = 64 << 10 // the protocol's bound on any body
	maxID   = 128      // a longer id is not one of ours
	// hearTime is how long a request may take to arrive: from the connection's
	// opening, or from its first bytes on a kept one, to its last byte. Good ones may take
	// more than 2 s; whoever sends something else is due an end within 3 s.
	hearTime = 2750 * time.Millisecond
	// readTime is how long a client may take to read its answer.
	readTime = 10 * time.Second
	// idleTime is how long a connection may sit between requests.
	idleTime = 2 * time.Minute
	// quiet is how long nothing must have come in before the listener closes.
	quiet = 250 * time.Millisecond
	// transit is taken off the time that a client gives, which runs from its
	// sending: the way here, and the answer's way back.
	transit = 10 * time.Millisecond
	// crowded is what a client is told to wait when there is no room for it.
	crowded = 500 * time.Millisecond
	// passTime is how long a call-back may take to the process that holds the job.
	passTime = 500 * time.Millisecond
)

// Core takes what the front has read.
type Core interface {
	Submit(*core.Job, core.Ingress)
	Leave(*core.Job)
	Release(job *core.Job, done func(*core.Moved))
	Adopt(*core.Job, *core.Moved, core.Ingress)
	Report(ev core.JobEvent, took func(bool))
	EndBy(time.Time)
}

// Other is the other process of the dispatcher, while there is one.
type Other interface {
	Linked() bool
	Succeeded() bool // it is newer, and serves
	Pass(ev core.JobEvent, by time.Time) bool
	Hand(c net.Conn, request []byte, m *core.Moved, by time.Time) bool
}

// Counts takes note of how jobs end, by their class's number.
type Counts interface {
	Completed(class int)
	Rejected(class int)
	Failed(class int)
	Pending(change int)
}

// Config holds the figures of the ingress.
type Config struct {
	Classes []Class  // by their numbers
	Tenants []string // likewise
	Columns []string // of load reports
	Slots   float64  // most that a job may ask for
	Clients int      // most jobs at a time
	Sockets int      // most connections at all; the rest is the call-backs'
	Stories Stories
}

// Class is what the ingress knows of a class.
type Class struct {
	Name  string
	Keyed bool // its jobs carry a key
	Gone  bool // no new job may be of it
	Worth float64
	// Repeats is how long after a job's coming one that asks for the same belongs to it.
	Repeats time.Duration
}

// Stories begins the stories of jobs, and takes those that end at the door. Begin returns
// nil where nothing is recorded.
type Stories interface {
	Begin(came time.Time, parent, state string) *trace.Story
	Ended(*trace.Story)
}

// Front is the server of clients and call-backs.
type Front struct {
	cfg     Config
	core    Core
	other   Other
	counts  Counts
	log     *logrus.Entry
	server  *http.Server
	door    *door
	serving atomic.Int64 // requests being handled, call-backs too
	jobs    atomic.Int64 // those that wait for the core's answer
	clients atomic.Int64 // most of them
	classes atomic.Pointer[[]Class]
	tenants atomic.Pointer[[]string]
	moving  chan struct{} // closed when all jobs go to a newer process
	adopted *adopted
	bad     atomic.Int64              // requests refused as malformed, since the last summary
	crowded atomic.Int64              // jobs refused for want of room, since then
	leaveBy atomic.Pointer[time.Time] // when all that comes now has to be answered; nil before the planned end
}

// New makes a front.
func New(cfg Config, c Core, other Other, counts Counts, log *logrus.Entry) *Front {
	f := &Front{cfg: cfg, core: c, other: other, counts: counts, log: log, door: &door{most: cfg.Sockets},
		moving: make(chan struct{})}
	f.adopted = &adopted{conns: make(chan net.Conn, 64), over: make(chan struct{}), door: f.door}
	f.clients.Store(int64(cfg.Clients))
	f.classes.Store(&cfg.Classes)
	f.tenants.Store(&cfg.Tenants)
	f.server = &http.Server{
		Handler:           http.HandlerFunc(f.handle),
		ReadTimeout:       hearTime,
		ReadHeaderTimeout: hearTime,
		IdleTimeout:       idleTime,
		MaxHeaderBytes:    16 << 10,
		ConnState:         connState,
		ConnContext:       func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		ErrorLog:          stdLog(log),
	}
	return f
}

// connKey finds a request's connection in its context.
type connKey struct{}

// Serve answers until the listener is closed.
func (f *Front) Serve(l net.Listener) error {
	f.door.Listener = l
	stop := make(chan struct{})
	defer close(stop)
	go f.summarise(stop)
	go func() { _ = f.server.Serve(f.adopted) }() // ends with the server
	if err := f.server.Serve(f.door); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serving %s: %w", l.Addr(), err)
	}
	return nil
}

// Leave tells when the process may be ended. No job that is here or comes from now
// on has a later deadline; who is refused is told to go elsewhere, and everybody
// else may still use the connections there are.
func (f *Front) Leave(by time.Time) {
	f.leaveBy.Store(&by)
	f.core.EndBy(by)
}

// Classes sets what jobs may be of from now on.
func (f *Front) Classes(classes []Class) { f.classes.Store(&classes) }

// Tenants takes the names of the tenants by their numbers.
func (f *Front) Tenants(names []string) { f.tenants.Store(&names) }

// Budget sets how many jobs and connections there may be from now on.
func (f *Front) Budget(clients, sockets int) {
	f.clients.Store(int64(clients))
	f.door.budget(sockets)
}

// GiveWay leaves all jobs to a newer process, those that come on the connections that
// there are too; the caller has closed the listener. It returns when no connection is
// left, when the newer process has ended, or at the deadline. Guards requests that cross
// a close: kept connections go with their next use, not before.
func (f *Front) GiveWay(by time.Time) {
	close(f.moving)
	tick := time.NewTicker(quiet / 25)
	defer tick.Stop()
	for f.door.count() > 0 && time.Now().Before(by) && f.other.Succeeded() {
		<-tick.C
	}
}

// Drain tells clients to go elsewhere, keeps answering, call-backs above all,
// until every request taken has its answer, and only then closes the listener.
// Server.Shutdown alone would close it first, and the runners' call-backs could
// not come in any more.
//
// Connections close after each answer from here on, so an open one has a request
// on it or has just been made: the end is when none is open, or when none of
// them has said anything for a while.
func (f *Front) Drain(ctx context.Context) error {
	f.server.SetKeepAlivesEnabled(false)
	tick := time.NewTicker(quiet / 25)
	defer tick.Stop()
	for since := time.Now(); f.door.count() > 0 && time.Since(since) < quiet; {
		if f.serving.Load() > 0 {
			since = time.Now()
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return fmt.Errorf("waiting for open requests: %w", ctx.Err())
		}
	}
	// What is open now has nothing whole on it. Guards a quick end against connections
	// that say nothing, which Shutdown would wait for.
	last, cancel := context.WithDeadline(ctx, time.Now().Add(quiet))
	defer cancel()
	if err := f.server.Shutdown(last); err != nil {
		_ = f.server.Close() // they are lost either way
	}
	return nil
}

// summaryEvery is how often what was turned away is logged, if anything was.
const summaryEvery = 10 * time.Second

// summarise logs how much was turned away. Guards against a log line for each of
// them, which any client could cause at will.
func (f *Front) summarise(stop <-chan struct{}) {
	tick := time.NewTicker(summaryEvery)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		bad, crowded, out := f.bad.Swap(0), f.crowded.Swap(0), f.door.putOut.Swap(0)
		if bad+crowded+out > 0 {
			f.log.WithFields(logrus.Fields{"malformed": bad, "crowded": crowded, "put_out": out,
				"connections": f.door.count()}).Info("turned away in the last 10 s")
		}
	}
}

// handle sends a request to its part. There is no http.ServeMux, as it would
// redirect a job whose path it finds unclean, and paths pass through unchanged.
func (f *Front) handle(w http.ResponseWriter, r *http.Request) {
	f.serving.Add(1)
	defer f.serving.Add(-1)
	// Guards answers on a kept connection against the write deadline of an earlier
	// one, which net/http does not take away.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
	// Guards against a request hidden in another's body: where the lengths disagree
	// nothing is taken, and past a body whose end only net/http has seen nothing more
	// is read from the connection.
	x := r.Context().Value(connKey{}).(*conn)
	framed := x.framing.next()
	if framed.last() || f.gives() {
		w.Header().Set("Connection", "close")
	}
	switch {
	case framed.unclear():
		f.atDoor(f.story(r), trace.Unusable, "framing", http.StatusBadRequest)
		f.refuse(w, "the length of the request is not clear", http.StatusBadRequest)
	case r.URL.Path == "/_health" && (r.Method == http.MethodGet || r.Method == http.MethodHead):
		w.WriteHeader(http.StatusOK)
	case r.Method != http.MethodPost:
		f.refuse(w, "jobs and call-backs come by POST", http.StatusMethodNotAllowed)
	case r.URL.Path == "/v1/job-events":
		f.jobEvent(w, r, x)
	default:
		f.job(w, r, x)
	}
}

// refuse answers what is malformed and ends the connection: where the next
// request begins may not be known, and whoever sends such things is not to hold
// a place.
func (f *Front) refuse(w http.ResponseWriter, text string, status int) {
	f.bad.Add(1)
	w.Header().Set("Connection", "close")
	http.Error(w, text, status)
}

// body reads a request's body within its bounds, and within the time for the
// whole request. It answers what is wrong itself.
func (f *Front) body(w http.ResponseWriter, r *http.Request, x *conn) ([]byte, bool) {
	var text []byte
	err := error(&http.MaxBytesError{Limit: maxBody})
	if r.ContentLength <= maxBody { // a body that is announced as too large is not waited for
		text, err = io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	}
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		f.refuse(w, "the body is larger than 64 KiB", http.StatusRequestEntityTooLarge)
	case errors.Is(err, os.ErrDeadlineExceeded):
		f.refuse(w, "the body did not arrive in time", http.StatusRequestTimeout)
	case err != nil:
		f.refuse(w, "the body could not be read", http.StatusBadRequest)
	case x.framing.stray():
		// Guards against a body that is longer than it says: half of it would run.
		f.refuse(w, "the body is longer than its length", http.StatusBadRequest)
	default:
		// From here on a read only tells that the client leaves.
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
		return text, true
	}
	return nil, false
}

// ---- Jobs ----

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
	job.Body = text
	m := &core.Moved{Deadline: time.Duration(job.Deadline.UnixNano())}
	if c.moved != nil { // the older process has begun it
		m, c.moved = c.moved, nil
		job.Deadline = time.Unix(0, int64(m.Deadline))
		if story != nil && m.Story != nil {
			story = m.Story
		}
	}
	m.Story = story
	if f.gives() && f.move(w, r, m, text) {
		return
	}
	by := f.leaveBy.Load()
	if by != nil && by.Before(job.Deadline) {
		// Guards rule 1: what the process's end finds without an answer is lost.
		job.Deadline, job.Ending = *by, true
	}
	job.Story = story
	x := make(exchange, 1)
	if len(m.Hops) > 0 {
		f.core.Adopt(job, m, x)
	} else {
		f.core.Submit(job, x)
	}
	f.await(w, r, job, x)
}

// await waits for a job's answer and writes it, unless the client leaves or the job
// moves to a newer process.
func (f *Front) await(w http.ResponseWriter, r *http.Request, job *core.Job, x exchange) {
	released := make(chan *core.Moved, 1)
	for moving := f.moving; ; {
		select {
		case a := <-x:
			_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(readTime))
			if f.leaveBy.Load() != nil && a.Verdict == core.Shed || f.gives() {
				w.Header().Set("Connection", "close")
			}
			f.write(w, job.Class, a)
			return
		case <-r.Context().Done():
			f.core.Leave(job)
			return
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
	if !f.other.Hand(c, text.Bytes(), m, time.Now().Add(passTime)) {
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

// parse reads a job's headers. A size hint that is no number is passed over, as it is
// a rough estimate at best.
func (f *Front) parse(r *http.Request, class int, came time.Time) (*core.Job, error) {
	h := r.Header
	job := &core.Job{ID: h.Get("X-Trace-Id"), Method: r.Method, Resource: r.RequestURI, Key: h.Get("Idempotency-Key"),
		Class: class, Retry: h.Get("X-Second-Try") == "1", Slots: 1}
	if !validID(job.ID) || len(h["X-Trace-Id"]) > 1 {
		return nil, errors.New("X-Trace-Id is missing or malformed")
	}
	if !strings.HasPrefix(job.Resource, "/") {
		return nil, errors.New("the request target is not a path")
	}
	if (*f.classes.Load())[class].Keyed && job.Key == "" {
		return nil, errors.New("Idempotency-Key is missing")
	}
	ms, err := strconv.ParseInt(h.Get("X-Expires-In-Ms"), 10, 64)
	if err != nil || ms <= 0 || ms > math.MaxInt32 {
		return nil, errors.New("X-Expires-In-Ms is missing or malformed")
	}
	job.Deadline = came.Add(time.Duration(ms)*time.Millisecond - transit)
	if hint, err := strconv.ParseInt(h.Get("X-Size-Hint"), 10, 64); err == nil && hint > 0 && hint < math.MaxInt32 {
		job.Hint = time.Duration(hint) * time.Microsecond
	}
	if name := h.Get("X-Customer"); name != "" { // one that the settings don't name has no share
		job.Tenant = slices.Index(*f.tenants.Load(), name) + 1
	}
	if c, err := r.Cookie("k"); err == nil {
		subject := fnv.New64a() // only equality matters
		subject.Write([]byte(c.Value))
		job.Subject = subject.Sum64()
	}
	for pair := range strings.SplitSeq(h.Get("X-Props"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		to := map[string]*float64{"slots": &job.Slots, "memory": &job.Memory}[name]
		if to == nil {
			continue // unknown figures are passed over
		}
		if *to, err = strconv.ParseFloat(value, 64); err != nil || *to < 0 || math.IsNaN(*to) || math.IsInf(*to, 0) {
			return nil, fmt.Errorf("X-Props: %s is malformed", name)
		}
	}
	if job.Slots > f.cfg.Slots {
		return nil, fmt.Errorf("X-Props: slots=%g is more than any runner has", job.Slots)
	}
	return job, nil
}

// class finds a job's class, which is told twice.
func (f *Front) class(name, path string) (int, error) {
	first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	if name == "" {
		name = first
	}
	for i, c := range *f.classes.Load() {
		if c.Name == name && first == name && !c.Gone {
			return i, nil
		}
	}
	return 0, errors.New("X-Qos and the path do not name one known class")
}

// validID tells whether an id can be passed on in a header and a path.
func validID(id string) bool {
	if id == "" || len(id) > maxID {
		return false
	}
	return strings.IndexFunc(id, func(r rune) bool { return r <= ' ' || r >= 0x7f || r == '/' }) < 0
}

// ---- Call-backs ----

var states = map[string]core.JobState{"started": core.JobStarted, "running": core.JobRunning, "done": core.JobDone,
	"failed": core.JobFailed, "returned": core.JobReturned, "lost": core.JobLost}

// jobEvent takes a runner's call-back. It is answered at once whatever it names,
// as the runner would repeat it otherwise; the core applies it once.
func (f *Front) jobEvent(w http.ResponseWriter, r *http.Request, c *conn) {
	text, ok := f.body(w, r, c)
	if !ok {
		return
	}
	var ev struct {
		ID, From, State string
		Share           float64
		Result, Load    json.RawMessage
	}
	err := json.Unmarshal(text, &ev)
	state, known := states[ev.State]
	if err != nil || !known || !validID(ev.ID) || ev.From == "" {
		f.refuse(w, "the call-back is malformed", http.StatusBadRequest)
		return
	}
	c.heard(true)
	report := core.JobEvent{ID: ev.ID, From: ev.From, State: state, Share: ev.Share,
		Load: loadreport.Parse(ev.Load, f.cfg.Columns), Result: ev.Result}
	var result string
	if json.Unmarshal(ev.Result, &result) == nil {
		report.Result = []byte(result)
	}
	if f.take(report) {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	http.Error(w, "no process holds the job now", http.StatusServiceUnavailable)
}

// take hands a call-back to the process that holds the job. Where there is one alone
// nobody waits for it. Guards a job of the other process: unless that has taken the
// call-back the runner has to repeat it.
func (f *Front) take(report core.JobEvent) bool {
	if !f.other.Linked() {
		f.core.Report(report, func(bool) {})
		return true
	}
	by := time.Now().Add(passTime)
	held := make(chan bool, 1)
	f.core.Report(report, func(here bool) { held <- here })
	late := time.NewTimer(time.Until(by))
	defer late.Stop()
	select {
	case here := <-held:
		return here || f.other.Pass(report, by)
	case <-late.C:
		return false
	}
}
