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
	// grabTimeout is how long a worker may take to grab a job that was offered to it. Workers do so
	// within milliseconds; a job that was not grabbed has not run, so it can go to another worker.
	grabTimeout = time.Second
	// maxResultBytes limits the result of a job. It is the platform's limit for a body.
	maxResultBytes = 64 << 10
	// routeSource identifies this front as the source of a worker in the route table.
	routeSource = 1
)

// worker is the worker's side of a session: a backend with one slot.
type worker struct {
	uid           string
	routed        bool
	connectedAt   time.Time // when it registered its first function of a class; it is cold then
	functions     map[string]bool
	classMask     uint64 // bit i is set if it can do a function of class i
	sleeping      bool
	offered       *core.Attempt // attempt that the worker has not grabbed yet; nil for none
	offerTimer    *time.Timer
	running       *assignedJob // grabbed job, until the worker reports its end; nil for none
	assignedCount uint64       // jobs grabbed so far, for unique handles
}

// assignedJob is a job that the worker has grabbed.
type assignedJob struct {
	attempt  core.Attempt
	handle   string
	data     []byte
	canceled bool // its result is discarded; the slot stays in use until the worker reports the end
}

// workerView is an immutable copy of a worker's identity and functions for other goroutines.
type workerView struct {
	uid       string
	functions []string
}

// publishView updates the copy of the worker's state that other goroutines read.
func (sess *session) publishView() {
	sess.view.Store(&workerView{uid: sess.worker.uid, functions: slices.Sorted(maps.Keys(sess.worker.functions))})
}

// abilities returns the worker's functions in order. It is safe for concurrent use.
func (sess *session) abilities() []string {
	if v := sess.view.Load(); v != nil {
		return v.functions
	}
	return nil
}

// displayUID returns the worker's uid, or "-" if it has none. It is safe for concurrent use.
func (sess *session) displayUID() string {
	if v := sess.view.Load(); v != nil && v.uid != "" {
		return v.uid
	}
	return "-"
}

// offerTimeout returns the channel that fires when the offered job was not grabbed in time. It is
// nil without an offer.
func (w *worker) offerTimeout() <-chan time.Time {
	if w.offerTimer == nil {
		return nil
	}
	return w.offerTimer.C
}

// handleWorkerPacket handles a packet that only workers send, and answers any other with an ERROR
// packet. An error ends the connection.
func (sess *session) handleWorkerPacket(p *proto.Packet) error {
	w := &sess.worker
	switch p.Type {
	case proto.CanDo, proto.CanDoTimeout:
		name := string(p.Arg(0))
		if len(name) > maxNameBytes || len(w.functions) >= maxFunctions && !w.functions[name] {
			sess.sendError("too_many_functions", "a worker has at most "+strconv.Itoa(maxFunctions)+" functions, of "+strconv.Itoa(maxNameBytes)+" bytes")
			return errLimitExceeded
		}
		w.functions[name] = true
		sess.abilitiesChanged()
	case proto.CantDo:
		delete(w.functions, string(p.Arg(0)))
		sess.abilitiesChanged()
	case proto.ResetAbilities:
		clear(w.functions)
		sess.abilitiesChanged()
	case proto.SetClientID:
		sess.setClientID(string(p.Arg(0)))
	case proto.PreSleep:
		w.sleeping = true
		sess.wakeWorker()
	case proto.GrabJob, proto.GrabJobUniq, proto.GrabJobAll:
		w.sleeping = false
		sess.assignOfferedJob(p.Type)
	case proto.WorkStatus, proto.WorkData, proto.WorkWarning, proto.WorkComplete, proto.WorkFail, proto.WorkException:
		sess.handleWorkerUpdate(p)
	default:
		sess.sendError("unexpected", p.Type.String()+" is not for a job server")
	}
	return nil
}

// setClientID sets the worker's id. A worker that is in the route table is removed from it and
// added again with the new uid.
func (sess *session) setClientID(id string) {
	w := &sess.worker
	if id == "" || len(id) > maxNameBytes || strings.IndexFunc(id, func(r rune) bool { return r <= ' ' || r >= 0x7f }) >= 0 {
		sess.sendError("bad_client_id", "a client's id has 1 to "+strconv.Itoa(maxNameBytes)+" printable bytes")
		return
	}
	if w.running != nil || w.offered != nil {
		sess.sendError("busy", "the id can't change while a job is here")
		return
	}
	sess.removeRoute()
	w.uid = sess.server.reserveUID("g-" + id)
	sess.abilitiesChanged()
}

// addr returns the worker's address in the route table.
func (sess *session) addr() string { return addrPrefix + strconv.FormatUint(sess.number, 10) }

// abilitiesChanged updates the worker's entry in the route table after a change of its functions. A
// worker that can no longer do a function of any class is draining from then on.
func (sess *session) abilitiesChanged() {
	w := &sess.worker
	w.classMask = 0
	functions := *sess.server.functions.Load()
	for name := range w.functions {
		if f, known := functions[name]; known && f.Class < 64 {
			w.classMask |= 1 << f.Class
		}
	}
	if w.classMask == 0 && !w.routed {
		sess.publishView()
		return
	}
	if w.uid == "" {
		w.uid = sess.server.reserveUID("g-" + strings.ReplaceAll(sess.conn.RemoteAddr().String(), ":", "-"))
	}
	if w.connectedAt.IsZero() {
		w.connectedAt = time.Now()
	}
	w.routed = true
	sess.publishView()
	sess.server.core.RoutesChanged([]core.Route{sess.route()})
	if attempt := w.offered; attempt != nil && w.classMask&(1<<attempt.Job.Class) == 0 {
		sess.declineOffer(decision.Rejected) // not started yet, so the draining worker must not get it
	}
}

// route returns the worker's entry in the route table. The worker has one slot, serves only this
// dispatcher, and is cold at connectedAt like a runner that has just started.
func (sess *session) route() core.Route {
	w, cfg := &sess.worker, &sess.server.cfg
	member := decision.Member{Zone: cfg.Zone, Kind: cfg.Kind, StartedAt: time.Duration(w.connectedAt.UnixNano()), Reinstated: true, WarmUpPeers: 1,
		TokenLimit: 1, ClassMask: w.classMask}
	if w.classMask == 0 {
		member.State = decision.Draining
	}
	return core.Route{UID: w.uid, Addr: sess.addr(), ZoneName: cfg.ZoneName, Source: routeSource, Member: member}
}

// removeRoute removes the worker from the route table and releases its uid.
func (sess *session) removeRoute() {
	w := &sess.worker
	if w.routed {
		route := sess.route()
		route.State = decision.Removed
		sess.server.core.RoutesChanged([]core.Route{route})
	}
	w.routed = false
	if w.uid != "" {
		sess.server.releaseUID(w.uid)
		w.uid = ""
		sess.publishView()
	}
}

// releaseWorker ends the attempts at a worker whose connection has closed, and removes its route. A
// grabbed job may have run, so it ends with ConnReset; an offered one has not, so it ends with
// ConnectFailed.
func (sess *session) releaseWorker() {
	w := &sess.worker
	if assigned := w.running; assigned != nil && !assigned.canceled {
		sess.server.core.AttemptEnded(assigned.attempt.Ref, decision.ConnReset, nil, core.Delivery{Reused: true, Bytes: len(assigned.attempt.Job.Body)})
	}
	w.running = nil
	if w.offered != nil {
		sess.declineOffer(decision.ConnectFailed)
	}
	sess.removeRoute()
}

// offerAttempt offers an attempt of the core to the worker, and wakes the worker. The attempt fails
// at once if another is offered already, the worker can't do its class, or the session has ended.
func (sess *session) offerAttempt(attempt core.Attempt) {
	w := &sess.worker
	if sess.stopped || w.offered != nil || w.classMask&(1<<attempt.Job.Class) == 0 {
		sess.server.core.AttemptEnded(attempt.Ref, decision.ConnectFailed, nil, core.Delivery{})
		return
	}
	w.offered = &attempt
	w.offerTimer = time.NewTimer(min(grabTimeout, time.Until(attempt.Deadline)))
	sess.wakeWorker()
}

// wakeWorker sends NOOP to a sleeping worker if a job is offered to it.
func (sess *session) wakeWorker() {
	if sess.worker.offered != nil && sess.worker.sleeping {
		sess.send(proto.Noop)
	}
}

// offerTimedOut ends an attempt that was not grabbed in time.
func (sess *session) offerTimedOut() { sess.declineOffer(decision.ConnectFailed) }

// declineOffer ends the offered attempt. The outcome must be one of an attempt that has not run.
func (sess *session) declineOffer(outcome decision.Outcome) {
	w := &sess.worker
	attempt := w.offered
	w.offered = nil
	w.offerTimer.Stop()
	w.offerTimer = nil
	sess.server.core.AttemptEnded(attempt.Ref, outcome, nil, core.Delivery{Reused: true})
}

// assignOfferedJob answers a GRAB_JOB packet of any of its types: it assigns the offered job to the
// worker, or sends NO_JOB if none is offered or a job is still running.
func (sess *session) assignOfferedJob(packetType proto.Type) {
	w := &sess.worker
	if w.offered == nil || w.running != nil {
		sess.send(proto.NoJob)
		return
	}
	attempt := *w.offered
	w.offered = nil
	w.offerTimer.Stop()
	w.offerTimer = nil
	w.assignedCount++
	assigned := &assignedJob{attempt: attempt, handle: "W:" + strconv.FormatUint(sess.number, 10) + ":" + strconv.FormatUint(w.assignedCount, 10)}
	w.running = assigned
	function, unique := []byte(sess.functionName(attempt.Job)), []byte(attempt.Job.ID)
	if attempt.Job.Key != "" {
		unique = []byte(attempt.Job.Key)
	}
	switch packetType {
	case proto.GrabJob:
		sess.send(proto.JobAssign, []byte(assigned.handle), function, attempt.Job.Body)
	case proto.GrabJobUniq:
		sess.send(proto.JobAssignUniq, []byte(assigned.handle), function, unique, attempt.Job.Body)
	default:
		sess.send(proto.JobAssignAll, []byte(assigned.handle), function, unique, nil, attempt.Job.Body)
	}
	sess.server.counters.Sent(attempt.Job.Class)
	sess.server.core.AttemptAccepted(attempt.Ref, core.Delivery{Reused: true, Bytes: len(attempt.Job.Body)})
	sess.report(assigned, core.JobEvent{State: core.JobStarted})
}

// functionName returns the function that is sent to the worker with a job. It is the last segment
// of the job's path, where a Gearman client's function is, if the worker can do that function.
// Otherwise it is the first of the worker's functions, in order, of the job's class.
func (sess *session) functionName(j *core.Job) string {
	requested, err := url.PathUnescape(j.Resource[strings.LastIndexByte(j.Resource, '/')+1:])
	functions := *sess.server.functions.Load()
	if f, known := functions[requested]; err == nil && known && f.Class == j.Class && sess.worker.functions[requested] {
		return requested
	}
	for _, name := range slices.Sorted(maps.Keys(sess.worker.functions)) {
		if f, known := functions[name]; known && f.Class == j.Class {
			return name
		}
	}
	return requested
}

// report reports an event of an assigned job to the core.
func (sess *session) report(assigned *assignedJob, ev core.JobEvent) {
	ev.ID, ev.From = assigned.attempt.Job.ID, sess.worker.uid
	sess.server.core.Report(ev, func(core.ReportResult) {})
}

// handleWorkerUpdate handles a worker's packet about its job. If the job is another worker's or has
// ended, it answers with an ERROR packet.
func (sess *session) handleWorkerUpdate(p *proto.Packet) {
	w := &sess.worker
	assigned := w.running
	if assigned == nil || string(p.Arg(0)) != assigned.handle {
		sess.sendError("job_not_found", "this connection has no job "+strconv.Quote(string(p.Arg(0))))
		return
	}
	ended := p.Type == proto.WorkComplete || p.Type == proto.WorkFail || p.Type == proto.WorkException
	if ended {
		w.running = nil
	}
	if assigned.canceled {
		return // the result is discarded; only the slot is freed
	}
	switch p.Type {
	case proto.WorkStatus:
		done, doneErr := strconv.ParseFloat(string(p.Arg(1)), 64)
		total, totalErr := strconv.ParseFloat(string(p.Arg(2)), 64)
		if doneErr == nil && totalErr == nil && total > 0 && done >= 0 {
			sess.report(assigned, core.JobEvent{State: core.JobRunning, Share: min(done/total, 1)})
		}
	case proto.WorkData:
		sess.appendResult(assigned, p.Arg(1), core.JobData)
	case proto.WorkWarning:
		sess.report(assigned, core.JobEvent{State: core.JobWarning, Result: bytes.Clone(p.Arg(1))})
	case proto.WorkException:
		sess.report(assigned, core.JobEvent{State: core.JobException, Result: bytes.Clone(p.Arg(1))})
		sess.report(assigned, core.JobEvent{State: core.JobFailed})
	case proto.WorkFail:
		sess.report(assigned, core.JobEvent{State: core.JobFailed})
	case proto.WorkComplete:
		last := bytes.Clone(p.Arg(1))
		if len(assigned.data)+len(last) > maxResultBytes {
			sess.failOversizedJob(assigned)
			return
		}
		sess.report(assigned, core.JobEvent{State: core.JobDone, Result: append(assigned.data, last...), Last: last, Streamed: true})
	}
}

// appendResult appends data to a job's result and reports it to the core. A result above
// maxResultBytes fails the job.
func (sess *session) appendResult(assigned *assignedJob, data []byte, state core.JobState) {
	if len(assigned.data)+len(data) > maxResultBytes {
		assigned.canceled = true // the worker continues, but its further packets are discarded
		sess.failOversizedJob(assigned)
		return
	}
	assigned.data = append(assigned.data, data...)
	sess.report(assigned, core.JobEvent{State: state, Result: bytes.Clone(data)})
}

// failOversizedJob fails a job whose result exceeds maxResultBytes, which bounds the memory that a
// worker can make the dispatcher use.
func (sess *session) failOversizedJob(assigned *assignedJob) {
	sess.server.log.WithFields(logrus.Fields{"id": assigned.attempt.Job.ID, "target": sess.worker.uid}).Warn("job failed: its result is larger than 64 KiB")
	sess.report(assigned, core.JobEvent{State: core.JobFailed})
}

// cancelAttempt cancels an attempt. The protocol can't stop a job: a worker that has grabbed it
// continues, and its slot stays in use until it reports the end. The recall is unconfirmed then.
func (sess *session) cancelAttempt(attempt core.Attempt) {
	w, confirmed := &sess.worker, true
	defer func() { sess.server.core.AttemptRecalled(attempt.Ref, confirmed) }()
	switch {
	case w.offered != nil && w.offered.Ref == attempt.Ref:
		w.offered = nil
		w.offerTimer.Stop()
		w.offerTimer = nil
	case w.running != nil && w.running.attempt.Ref == attempt.Ref:
		w.running.canceled = true
		confirmed = false
	}
}
