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
	// grabTimeout is how long a worker may take to grab a job after it was woken. Workers do so
	// within milliseconds; a job that was not grabbed never ran there.
	grabTimeout = time.Second
	// maxResultBytes bounds the data of a job's result; it is the platform's limit of a body.
	maxResultBytes = 64 << 10
	// routeSource marks Gearman's workers in the route table.
	routeSource = 1
)

// worker is the state of a session as a worker: a backend with one slot.
type worker struct {
	uid         string
	routed      bool
	connectedAt time.Time // when it announced its first ability; it counts as cold from then on
	functions   map[string]bool
	classMask   uint64 // the classes of its functions, one bit each
	asleep      bool
	offered     *core.Attempt // an attempt that waits to be grabbed; nil for none
	offerTimer  *time.Timer
	running     *run // its present job, until it reports the end; nil for none
	assigned    uint64
}

// run is a job at a worker.
type run struct {
	attempt   core.Attempt
	handle    string
	data      []byte
	cancelled bool // nobody waits for it; the slot is taken until the worker is done
}

// workerView is what other goroutines may see of a worker.
type workerView struct {
	uid       string
	functions []string
}

// publishView makes the present state of the worker visible to other goroutines.
func (x *session) publishView() {
	x.view.Store(&workerView{uid: x.worker.uid, functions: slices.Sorted(maps.Keys(x.worker.functions))})
}

// abilities returns the functions of the worker. It is safe for concurrent use.
func (x *session) abilities() []string {
	if s := x.view.Load(); s != nil {
		return s.functions
	}
	return nil
}

// name returns the worker's uid, "-" for none. It is safe for concurrent use.
func (x *session) name() string {
	if s := x.view.Load(); s != nil && s.uid != "" {
		return s.uid
	}
	return "-"
}

// offerTimeout yields when an offer has not been grabbed in time; it is nil without an offer.
func (w *worker) offerTimeout() <-chan time.Time {
	if w.offerTimer == nil {
		return nil
	}
	return w.offerTimer.C
}

// handleWorkerPacket handles a packet that only workers send. An error ends the connection.
func (x *session) handleWorkerPacket(p *proto.Packet) error {
	w := &x.worker
	switch p.Type {
	case proto.CanDo, proto.CanDoTimeout:
		name := string(p.Arg(0))
		if len(name) > maxNameBytes || len(w.functions) >= maxFunctions && !w.functions[name] {
			x.sendError("too_many_functions", "a worker has at most "+strconv.Itoa(maxFunctions)+" functions, of "+strconv.Itoa(maxNameBytes)+" bytes")
			return errLimitExceeded
		}
		w.functions[name] = true
		x.abilitiesChanged()
	case proto.CantDo:
		delete(w.functions, string(p.Arg(0)))
		x.abilitiesChanged()
	case proto.ResetAbilities:
		clear(w.functions)
		x.abilitiesChanged()
	case proto.SetClientID:
		x.setClientID(string(p.Arg(0)))
	case proto.PreSleep:
		w.asleep = true
		x.wakeWorker()
	case proto.GrabJob, proto.GrabJobUniq, proto.GrabJobAll:
		w.asleep = false
		x.grab(p.Type)
	case proto.WorkStatus, proto.WorkData, proto.WorkWarning, proto.WorkComplete, proto.WorkFail, proto.WorkException:
		x.handleWorkerUpdate(p)
	default:
		x.sendError("unexpected", p.Type.String()+" is not for a job server")
	}
	return nil
}

// setClientID sets the worker's id. If the worker is in the route table, it is removed and added
// as another one.
func (x *session) setClientID(id string) {
	w := &x.worker
	if id == "" || len(id) > maxNameBytes || strings.IndexFunc(id, func(r rune) bool { return r <= ' ' || r >= 0x7f }) >= 0 {
		x.sendError("bad_client_id", "a client's id has 1 to "+strconv.Itoa(maxNameBytes)+" printable bytes")
		return
	}
	if w.running != nil || w.offered != nil {
		x.sendError("busy", "the id can't change while a job is here")
		return
	}
	x.removeRoute()
	w.uid = x.server.reserveUID("g-" + id)
	x.abilitiesChanged()
}

// addr returns the worker's address in the route table.
func (x *session) addr() string { return scheme + strconv.FormatUint(x.number, 10) }

// abilitiesChanged reports the worker's classes to the core. A worker without any is draining from
// the same moment on.
func (x *session) abilitiesChanged() {
	w := &x.worker
	w.classMask = 0
	functions := *x.server.functions.Load()
	for name := range w.functions {
		if f, known := functions[name]; known && f.Class < 64 {
			w.classMask |= 1 << f.Class
		}
	}
	if w.classMask == 0 && !w.routed {
		x.publishView()
		return
	}
	if w.uid == "" {
		w.uid = x.server.reserveUID("g-" + strings.ReplaceAll(x.conn.RemoteAddr().String(), ":", "-"))
	}
	if w.connectedAt.IsZero() {
		w.connectedAt = time.Now()
	}
	w.routed = true
	x.publishView()
	x.server.core.RoutesChanged([]core.Route{x.route()})
	if attempt := w.offered; attempt != nil && w.classMask&(1<<attempt.Job.Class) == 0 {
		x.decline(decision.Rejected) // it has not begun, so a draining worker must not get it
	}
}

// route returns the worker's entry in the route table. It has one slot, serves only this
// dispatcher, and is as cold as any runner that has just started.
func (x *session) route() core.Route {
	w, cfg := &x.worker, &x.server.cfg
	m := decision.Member{Zone: cfg.Zone, Kind: cfg.Kind, StartedAt: time.Duration(w.connectedAt.UnixNano()), Reinstated: true, WarmUpPeers: 1,
		TokenLimit: 1, ClassMask: w.classMask}
	if w.classMask == 0 {
		m.State = decision.Draining
	}
	return core.Route{UID: w.uid, Addr: x.addr(), ZoneName: cfg.ZoneName, Source: routeSource, Member: m}
}

// removeRoute removes the worker from the route table.
func (x *session) removeRoute() {
	w := &x.worker
	if w.routed {
		route := x.route()
		route.State = decision.Removed
		x.server.core.RoutesChanged([]core.Route{route})
	}
	w.routed = false
	if w.uid != "" {
		x.server.releaseUID(w.uid)
		w.uid = ""
		x.publishView()
	}
}

// releaseWorker ends what a worker had when its connection ended: a job that it grabbed may have
// run, one that it was only offered has not.
func (x *session) releaseWorker() {
	w := &x.worker
	if r := w.running; r != nil && !r.cancelled {
		x.server.core.AttemptEnded(r.attempt.Ref, decision.ConnReset, nil, core.Delivery{Reused: true, Bytes: len(r.attempt.Job.Body)})
	}
	w.running = nil
	if w.offered != nil {
		x.decline(decision.ConnectFailed)
	}
	x.removeRoute()
}

// offer takes an attempt that the core sends here, and wakes the worker.
func (x *session) offer(attempt core.Attempt) {
	w := &x.worker
	if x.stopped || w.offered != nil || w.classMask&(1<<attempt.Job.Class) == 0 {
		x.server.core.AttemptEnded(attempt.Ref, decision.ConnectFailed, nil, core.Delivery{})
		return
	}
	w.offered = &attempt
	w.offerTimer = time.NewTimer(min(grabTimeout, time.Until(attempt.Deadline)))
	x.wakeWorker()
}

// wakeWorker sends NOOP to a worker that sleeps, if there is a job for it.
func (x *session) wakeWorker() {
	if x.worker.offered != nil && x.worker.asleep {
		x.send(proto.Noop)
	}
}

// offerTimedOut returns an offer that was not grabbed in time.
func (x *session) offerTimedOut() { x.decline(decision.ConnectFailed) }

// decline returns an offer with an outcome that says that it never ran here.
func (x *session) decline(o decision.Outcome) {
	w := &x.worker
	attempt := w.offered
	w.offered = nil
	w.offerTimer.Stop()
	w.offerTimer = nil
	x.server.core.AttemptEnded(attempt.Ref, o, nil, core.Delivery{Reused: true})
}

// grab assigns the offered job to the worker.
func (x *session) grab(kind proto.Type) {
	w := &x.worker
	if w.offered == nil || w.running != nil {
		x.send(proto.NoJob)
		return
	}
	attempt := *w.offered
	w.offered = nil
	w.offerTimer.Stop()
	w.offerTimer = nil
	w.assigned++
	r := &run{attempt: attempt, handle: "W:" + strconv.FormatUint(x.number, 10) + ":" + strconv.FormatUint(w.assigned, 10)}
	w.running = r
	function, unique := []byte(x.function(attempt.Job)), []byte(attempt.Job.ID)
	if attempt.Job.Key != "" {
		unique = []byte(attempt.Job.Key)
	}
	switch kind {
	case proto.GrabJob:
		x.send(proto.JobAssign, []byte(r.handle), function, attempt.Job.Body)
	case proto.GrabJobUniq:
		x.send(proto.JobAssignUniq, []byte(r.handle), function, unique, attempt.Job.Body)
	default:
		x.send(proto.JobAssignAll, []byte(r.handle), function, unique, nil, attempt.Job.Body)
	}
	x.server.counters.Sent(attempt.Job.Class)
	x.server.core.AttemptAccepted(attempt.Ref, core.Delivery{Reused: true, Bytes: len(attempt.Job.Body)})
	x.report(r, core.JobEvent{State: core.JobStarted})
}

// function returns the name by which the worker knows a job: the client's own, or else the
// worker's first one, in order, of the job's class.
func (x *session) function(j *core.Job) string {
	last, err := url.PathUnescape(j.Resource[strings.LastIndexByte(j.Resource, '/')+1:])
	functions := *x.server.functions.Load()
	if f, known := functions[last]; err == nil && known && f.Class == j.Class && x.worker.functions[last] {
		return last
	}
	for _, name := range slices.Sorted(maps.Keys(x.worker.functions)) {
		if f, known := functions[name]; known && f.Class == j.Class {
			return name
		}
	}
	return last
}

// report passes an event of a job to the core.
func (x *session) report(r *run, ev core.JobEvent) {
	ev.ID, ev.From = r.attempt.Job.ID, x.worker.uid
	x.server.core.Report(ev, func(core.ReportResult) {})
}

// handleWorkerUpdate handles a worker's packet about its job. It refuses one about a job that the
// worker does not have: another worker's, or one that has ended.
func (x *session) handleWorkerUpdate(p *proto.Packet) {
	w := &x.worker
	r := w.running
	if r == nil || string(p.Arg(0)) != r.handle {
		x.sendError("job_not_found", "this connection has no job "+strconv.Quote(string(p.Arg(0))))
		return
	}
	ended := p.Type == proto.WorkComplete || p.Type == proto.WorkFail || p.Type == proto.WorkException
	if ended {
		w.running = nil
	}
	if r.cancelled {
		return // no one waits for the result; only the slot is freed
	}
	switch p.Type {
	case proto.WorkStatus:
		done, err := strconv.ParseFloat(string(p.Arg(1)), 64)
		of, err2 := strconv.ParseFloat(string(p.Arg(2)), 64)
		if err == nil && err2 == nil && of > 0 && done >= 0 {
			x.report(r, core.JobEvent{State: core.JobRunning, Share: min(done/of, 1)})
		}
	case proto.WorkData:
		x.appendResult(r, p.Arg(1), core.JobData)
	case proto.WorkWarning:
		x.report(r, core.JobEvent{State: core.JobWarning, Result: bytes.Clone(p.Arg(1))})
	case proto.WorkException:
		x.report(r, core.JobEvent{State: core.JobException, Result: bytes.Clone(p.Arg(1))})
		x.report(r, core.JobEvent{State: core.JobFailed})
	case proto.WorkFail:
		x.report(r, core.JobEvent{State: core.JobFailed})
	case proto.WorkComplete:
		last := bytes.Clone(p.Arg(1))
		if len(r.data)+len(last) > maxResultBytes {
			x.tooLarge(r)
			return
		}
		x.report(r, core.JobEvent{State: core.JobDone, Result: append(r.data, last...), Last: last, Streamed: true})
	}
}

// appendResult adds data to a job's result and passes it on.
func (x *session) appendResult(r *run, data []byte, state core.JobState) {
	if len(r.data)+len(data) > maxResultBytes {
		r.cancelled = true // the worker continues; its further packets are ignored
		x.tooLarge(r)
		return
	}
	r.data = append(r.data, data...)
	x.report(r, core.JobEvent{State: state, Result: bytes.Clone(data)})
}

// tooLarge fails a job whose result exceeds the limit, which protects memory against a worker that
// sends without end.
func (x *session) tooLarge(r *run) {
	x.server.log.WithFields(logrus.Fields{"id": r.attempt.Job.ID, "target": x.worker.uid}).Warn("a job's result is larger than 64 KiB; it fails")
	x.report(r, core.JobEvent{State: core.JobFailed})
}

// cancelAttempt recalls an attempt. The protocol can't stop a job: a worker that has grabbed it
// continues, and its slot stays taken until it is done.
func (x *session) cancelAttempt(attempt core.Attempt) {
	w, known := &x.worker, true
	defer func() { x.server.core.AttemptRecalled(attempt.Ref, known) }()
	switch {
	case w.offered != nil && w.offered.Ref == attempt.Ref:
		w.offered = nil
		w.offerTimer.Stop()
		w.offerTimer = nil
	case w.running != nil && w.running.attempt.Ref == attempt.Ref:
		w.running.cancelled = true
		known = false
	}
}
