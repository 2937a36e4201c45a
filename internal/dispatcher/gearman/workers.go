package gearman

import (
	"bytes"
	"maps"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"frosttide/decision"
	"frosttide/internal/dispatcher/core"
	"frosttide/internal/dispatcher/gearman/proto"
)

const (
	// grabTime is how long a worker may take to grab a job that it has been woken for. It
	// says so in milliseconds; past this the job never ran there.
	grabTime = time.Second
	// mostResult bounds what a job's data come to; it is the platform's bound on a body.
	mostResult = 64 << 10
	// source marks Gearman's workers in the route table.
	source = 1
)

// worker is what a session knows of itself as a worker: an egress target with one slot.
type worker struct {
	uid      string
	listed   bool
	since    time.Time // its connection's first ability: it counts as cold from then on
	can      map[string]bool
	classes  uint64 // what it can do, a bit for each class
	sleeps   bool
	offered  *core.Attempt // waits for the grab
	until    *time.Timer
	running  *run // what it has, until it says that it is done
	assigned uint64
}

// run is a job at a worker.
type run struct {
	hop     core.Attempt
	handle  string
	data    []byte
	givenUp bool // nobody waits for it; the slot is taken until the worker is done
}

// shown is what others may see of a worker.
type shown struct {
	uid string
	can []string
}

// show lets others see the worker as it is now.
func (x *session) show() {
	x.shown.Store(&shown{uid: x.worker.uid, can: slices.Sorted(maps.Keys(x.worker.can))})
}

// abilities returns what the worker can do. Any goroutine may call it.
func (x *session) abilities() []string {
	if s := x.shown.Load(); s != nil {
		return s.can
	}
	return nil
}

// name returns the worker's uid, "-" for none. Any goroutine may call it.
func (x *session) name() string {
	if s := x.shown.Load(); s != nil && s.uid != "" {
		return s.uid
	}
	return "-"
}

// timer yields when an offer has been out for too long; never while there is none.
func (w *worker) timer() <-chan time.Time {
	if w.until == nil {
		return nil
	}
	return w.until.C
}

// work acts on a worker's packet.
func (x *session) work(p *proto.Packet) error {
	w := &x.worker
	switch p.Type {
	case proto.CanDo, proto.CanDoTimeout:
		name := string(p.Arg(0))
		if len(name) > mostName || len(w.can) >= mostFunctions && !w.can[name] {
			x.wrong("too_many_functions", "a worker has at most "+strconv.Itoa(mostFunctions)+" functions, of "+strconv.Itoa(mostName)+" bytes")
			return errBound
		}
		w.can[name] = true
		x.able()
	case proto.CantDo:
		delete(w.can, string(p.Arg(0)))
		x.able()
	case proto.ResetAbilities:
		clear(w.can)
		x.able()
	case proto.SetClientID:
		x.named(string(p.Arg(0)))
	case proto.PreSleep:
		w.sleeps = true
		x.rouse()
	case proto.GrabJob, proto.GrabJobUniq, proto.GrabJobAll:
		w.sleeps = false
		x.grab(p.Type)
	case proto.WorkStatus, proto.WorkData, proto.WorkWarning, proto.WorkComplete, proto.WorkFail, proto.WorkException:
		x.told(p)
	default:
		x.wrong("unexpected", p.Type.String()+" is not for a job server")
	}
	return nil
}

// named takes the worker's own name. Where it is listed already it is another worker from
// then on.
func (x *session) named(id string) {
	w := &x.worker
	if id == "" || len(id) > mostName || strings.IndexFunc(id, func(r rune) bool { return r <= ' ' || r >= 0x7f }) >= 0 {
		x.wrong("bad_client_id", "a client's id has 1 to "+strconv.Itoa(mostName)+" printable bytes")
		return
	}
	if w.running != nil || w.offered != nil {
		x.wrong("busy", "the id can't change while a job is here")
		return
	}
	x.unlist()
	w.uid = x.server.name("g-" + id)
	x.able()
}

func (x *session) addr() string { return scheme + strconv.FormatUint(x.number, 10) }

// able tells the core what the worker can do now. One that can do nothing any more drains:
// the core hears of it in the same moment.
func (x *session) able() {
	w := &x.worker
	w.classes = 0
	functions := *x.server.functions.Load()
	for name := range w.can {
		if f, known := functions[name]; known && f.Class < 64 {
			w.classes |= 1 << f.Class
		}
	}
	if w.classes == 0 && !w.listed {
		x.show()
		return
	}
	if w.uid == "" {
		w.uid = x.server.name("g-" + strings.ReplaceAll(x.conn.RemoteAddr().String(), ":", "-"))
	}
	if w.since.IsZero() {
		w.since = time.Now()
	}
	w.listed = true
	x.show()
	x.server.core.RoutesChanged([]core.Route{x.route()})
	if h := w.offered; h != nil && w.classes&(1<<h.Job.Class) == 0 {
		x.decline(decision.Rejected) // guards a drain: it has not begun
	}
}

// route is the worker's entry of the route table. It has one slot, works for this
// dispatcher alone, and is as cold as anything that has just started.
func (x *session) route() core.Route {
	w, cfg := &x.worker, &x.server.cfg
	m := decision.Member{Zone: cfg.Zone, Kind: cfg.Kind, StartedAt: time.Duration(w.since.UnixNano()), Reinstated: true, WarmUpPeers: 1,
		TokenLimit: 1, ClassMask: w.classes}
	if w.classes == 0 {
		m.State = decision.Draining
	}
	return core.Route{UID: w.uid, Addr: x.addr(), ZoneName: cfg.ZoneName, Source: source, Member: m}
}

// unlist takes the worker out of the route table.
func (x *session) unlist() {
	w := &x.worker
	if w.listed {
		route := x.route()
		route.State = decision.Removed
		x.server.core.RoutesChanged([]core.Route{route})
	}
	w.listed = false
	if w.uid != "" {
		x.server.freed(w.uid)
		w.uid = ""
		x.show()
	}
}

// lost gives back what a worker had when its connection ended: a job that it was given may
// have run, one that it was only offered has not.
func (x *session) lost() {
	w := &x.worker
	if r := w.running; r != nil && !r.givenUp {
		x.server.core.AttemptEnded(r.hop.Ref, decision.ConnReset, nil, core.Delivery{Reused: true, Bytes: len(r.hop.Job.Body)})
	}
	w.running = nil
	if w.offered != nil {
		x.decline(decision.ConnectFailed)
	}
	x.unlist()
}

// offer takes a job that the module has sent here, and wakes the worker.
func (x *session) offer(h core.Attempt) {
	w := &x.worker
	if x.over || w.offered != nil || w.classes&(1<<h.Job.Class) == 0 {
		x.server.core.AttemptEnded(h.Ref, decision.ConnectFailed, nil, core.Delivery{})
		return
	}
	w.offered = &h
	w.until = time.NewTimer(min(grabTime, time.Until(h.Deadline)))
	x.rouse()
}

// rouse wakes a worker that sleeps, if there is a job for it.
func (x *session) rouse() {
	if x.worker.offered != nil && x.worker.sleeps {
		x.send(proto.Noop)
	}
}

// late gives back an offer that was not taken in time.
func (x *session) late() { x.decline(decision.ConnectFailed) }

// decline gives back an offer: it never ran here.
func (x *session) decline(o decision.Outcome) {
	w := &x.worker
	h := w.offered
	w.offered = nil
	w.until.Stop()
	w.until = nil
	x.server.core.AttemptEnded(h.Ref, o, nil, core.Delivery{Reused: true})
}

// grab gives the worker the job that waits for it.
func (x *session) grab(kind proto.Type) {
	w := &x.worker
	if w.offered == nil || w.running != nil {
		x.send(proto.NoJob)
		return
	}
	h := *w.offered
	w.offered = nil
	w.until.Stop()
	w.until = nil
	w.assigned++
	r := &run{hop: h, handle: "W:" + strconv.FormatUint(x.number, 10) + ":" + strconv.FormatUint(w.assigned, 10)}
	w.running = r
	function, unique := []byte(x.function(h.Job)), []byte(h.Job.ID)
	if h.Job.Key != "" {
		unique = []byte(h.Job.Key)
	}
	switch kind {
	case proto.GrabJob:
		x.send(proto.JobAssign, []byte(r.handle), function, h.Job.Body)
	case proto.GrabJobUniq:
		x.send(proto.JobAssignUniq, []byte(r.handle), function, unique, h.Job.Body)
	default:
		x.send(proto.JobAssignAll, []byte(r.handle), function, unique, nil, h.Job.Body)
	}
	x.server.counts.Sent(h.Job.Class)
	x.server.core.AttemptAccepted(h.Ref, core.Delivery{Reused: true, Bytes: len(h.Job.Body)})
	x.report(r, core.JobEvent{State: core.JobStarted})
}

// function returns the name by which the worker knows a job: the client's own, or else the
// first of its that is of the job's class.
func (x *session) function(j *core.Job) string {
	last, err := url.PathUnescape(j.Resource[strings.LastIndexByte(j.Resource, '/')+1:])
	functions := *x.server.functions.Load()
	if f, known := functions[last]; err == nil && known && f.Class == j.Class && x.worker.can[last] {
		return last
	}
	for _, name := range slices.Sorted(maps.Keys(x.worker.can)) {
		if f, known := functions[name]; known && f.Class == j.Class {
			return name
		}
	}
	return last
}

func (x *session) report(r *run, ev core.JobEvent) {
	ev.ID, ev.From = r.hop.Job.ID, x.worker.uid
	x.server.core.Report(ev, func(bool) {})
}

// told takes what a worker says of its job. Guards against a word on a job that it does
// not have: one of another worker, or one that it has ended.
func (x *session) told(p *proto.Packet) {
	w := &x.worker
	r := w.running
	if r == nil || string(p.Arg(0)) != r.handle {
		x.wrong("job_not_found", "this connection has no job "+strconv.Quote(string(p.Arg(0))))
		return
	}
	over := p.Type == proto.WorkComplete || p.Type == proto.WorkFail || p.Type == proto.WorkException
	if over {
		w.running = nil
	}
	if r.givenUp {
		return // its slot is free now
	}
	switch p.Type {
	case proto.WorkStatus:
		done, err := strconv.ParseFloat(string(p.Arg(1)), 64)
		of, err2 := strconv.ParseFloat(string(p.Arg(2)), 64)
		if err == nil && err2 == nil && of > 0 && done >= 0 {
			x.report(r, core.JobEvent{State: core.JobRunning, Share: min(done/of, 1)})
		}
	case proto.WorkData:
		x.more(r, p.Arg(1), core.JobData)
	case proto.WorkWarning:
		x.report(r, core.JobEvent{State: core.JobWarning, Result: bytes.Clone(p.Arg(1))})
	case proto.WorkException:
		x.report(r, core.JobEvent{State: core.JobException, Result: bytes.Clone(p.Arg(1))})
		x.report(r, core.JobEvent{State: core.JobFailed})
	case proto.WorkFail:
		x.report(r, core.JobEvent{State: core.JobFailed})
	case proto.WorkComplete:
		last := bytes.Clone(p.Arg(1))
		if len(r.data)+len(last) > mostResult {
			x.tooLarge(r)
			return
		}
		x.report(r, core.JobEvent{State: core.JobDone, Result: append(r.data, last...), Last: last, Streamed: true})
	}
}

// more takes a part of a job's result.
func (x *session) more(r *run, data []byte, state core.JobState) {
	if len(r.data)+len(data) > mostResult {
		r.givenUp = true // the worker goes on; what it still says is passed over
		x.tooLarge(r)
		return
	}
	r.data = append(r.data, data...)
	x.report(r, core.JobEvent{State: state, Result: bytes.Clone(data)})
}

// tooLarge fails a job whose result nobody can be given. Guards memory against a worker
// that sends without end.
func (x *session) tooLarge(r *run) {
	x.server.log.WithFields(logrus.Fields{"id": r.hop.Job.ID, "target": x.worker.uid}).Warn("a job's result is larger than 64 KiB; it fails")
	x.report(r, core.JobEvent{State: core.JobFailed})
}

// giveUp ends the core's waiting for a job. The protocol can't call a job off: a worker
// that has it goes on, and its slot stays taken until it is done.
func (x *session) giveUp(h core.Attempt) {
	w, known := &x.worker, true
	defer func() { x.server.core.AttemptRecalled(h.Ref, known) }()
	switch {
	case w.offered != nil && w.offered.Ref == h.Ref:
		w.offered = nil
		w.until.Stop()
		w.until = nil
	case w.running != nil && w.running.hop.Ref == h.Ref:
		w.running.givenUp = true
		known = false
	}
}
