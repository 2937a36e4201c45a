package agent

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"frosttide/internal/protocol"
)

// SetView switches to a newer view of the control plane, given by its epoch and the internal
// address of its head. From then on the agent reports to that head and waits for a full sync from
// it. Views that are not newer are ignored.
func (m *Machine) SetView(now time.Duration, epoch uint64, head string) {
	m.now = now
	if epoch <= m.epoch {
		return
	}
	m.epoch, m.headAddress = epoch, head
	m.resetSession(0)
	m.lastHeadContact = now
	m.nextReport = 0
}

// SetContacts replaces the addresses of the core machines that are queried for a view. An empty
// list is ignored.
func (m *Machine) SetContacts(contacts []string) {
	if len(contacts) > 0 {
		m.cfg.Contacts = contacts
	}
}

// Tick advances the time: it sends the reports and view queries that are due, and removes expired
// state.
func (m *Machine) Tick(now time.Duration) {
	m.now = now
	m.expire()
	if now < m.nextReport {
		return
	}
	if m.headAddress == "" || now-m.lastHeadContact > headTimeout {
		m.queryView()
	}
	if m.headAddress == "" {
		m.nextReport = now + viewQueryInterval
		return
	}
	m.report()
	m.nextReport = now + m.reportInterval
	if now-m.lastHeadContact > headTimeout {
		m.nextReport = now + viewQueryInterval
	}
}

// queryView queries the next core machine, in rotation, for a newer view.
func (m *Machine) queryView() {
	if len(m.cfg.Contacts) == 0 {
		return
	}
	m.nextContact++
	m.send(m.cfg.Contacts[m.nextContact%len(m.cfg.Contacts)],
		&protocol.Envelope{Body: &protocol.Envelope_ViewQuery{ViewQuery: &protocol.ViewQuery{Epoch: m.epoch}}})
}

// send queues a message to an internal address until TakeSends.
func (m *Machine) send(to string, e *protocol.Envelope) {
	m.sends = append(m.sends, protocol.Outbound{To: to, Message: e})
}

// expire forgets removed runners and unanswered lease requests after removedRetention, and removes
// a timed-out runner whose run leases have all expired.
func (m *Machine) expire() {
	for id, removedAt := range m.removed {
		if m.now-removedAt > removedRetention {
			delete(m.removed, id)
		}
	}
	for request, requestedAt := range m.leaseRequestedAt {
		if m.now-requestedAt > removedRetention {
			delete(m.leaseRequestedAt, request)
		}
	}
	r := m.runner
	if r == nil || !m.timedOut(r) {
		return
	}
	if m.now > r.runLeaseExpiry {
		m.removeRunner(r)
	}
}

// report sends the runner's state to the head, along with a request to renew the lease.
func (m *Machine) report() {
	m.lastLeaseRequest++
	m.leaseRequestedAt[m.lastLeaseRequest] = m.now
	report := &protocol.RunnerReport{
		Incarnation: m.incarnation,
		LeaseRound:  m.lastLeaseRequest,
		OrdersSeen:  m.appliedSequence,
		Epoch:       m.epoch,
		NoRunner:    m.runner == nil,
		TakesParts:  true,
		Gone:        slices.Sorted(maps.Keys(m.removed)),
	}
	if r := m.runner; r != nil {
		report.Account = r.account
		report.Silent = m.timedOut(r) || r.deregistered
		report.Holding = !report.Silent
		m.addEndsAndRefusals(report, r)
	}
	m.send(m.headAddress, &protocol.Envelope{Body: &protocol.Envelope_RunnerReport{RunnerReport: report}})
}

// addEndsAndRefusals adds the pending ends, the oldest first, and then the refused runs to a report, as
// far as they fit. What does not fit is reported once the head has acknowledged what comes before it.
// A run may have ended by one of the pending ends, so that no refusal goes before them.
func (m *Machine) addEndsAndRefusals(report *protocol.RunnerReport, r *runner) {
	size := 0
	for _, number := range slices.Sorted(maps.Keys(r.pendingEnds)) {
		end := r.pendingEnds[number]
		report.Ends = append(report.Ends, end)
		if size += proto.Size(end); size >= protocol.MaxListBytes {
			return
		}
	}
	for _, task := range slices.Sorted(maps.Keys(r.refused)) {
		ref := &protocol.RunRef{Task: task, Run: r.refused[task]}
		report.Refused = append(report.Refused, ref)
		if size += proto.Size(ref); size >= protocol.MaxListBytes {
			return
		}
	}
}

// HandleOrders handles orders of the head, whose internal address is from. It renews the lease, and
// applies the changes to the desired runs if they are for this runner and the next in sequence.
func (m *Machine) HandleOrders(now time.Duration, from string, o *protocol.RunnerOrders) {
	m.now = now
	if o.GetEpoch() < m.epoch || o.GetCompanion() != m.incarnation {
		return // from a deposed head, or for an earlier incarnation of this agent
	}
	if o.GetEpoch() > m.epoch {
		m.SetView(now, o.GetEpoch(), from)
	}
	m.headAddress, m.lastHeadContact = from, now
	m.renewLease(o)
	r := m.runner
	if r == nil || o.GetRunner() != r.account.GetId() {
		return
	}
	m.updateIntervals(o)
	m.acknowledgeEnds(r, o.GetLastSeen())
	if m.shouldApply(o) {
		m.appliedSequence = o.GetSequence()
		if complete := m.collectParts(o); complete != nil {
			m.updateDesired(r, complete)
		}
	}
}

// resetSession begins another session of the head, in which nothing is applied yet.
func (m *Machine) resetSession(session uint64) {
	m.session, m.appliedSequence, m.fullSyncDone, m.syncParts = session, 0, false, nil
}

// renewLease extends the lease. It counts from the time when the request was sent that these orders
// answer.
func (m *Machine) renewLease(o *protocol.RunnerOrders) {
	requestedAt, ok := m.leaseRequestedAt[o.GetLeaseRound()]
	if !ok {
		return
	}
	m.leaseExpiry = max(m.leaseExpiry, requestedAt+time.Duration(o.GetLeaseMs())*time.Millisecond)
	for request := range m.leaseRequestedAt {
		if request <= o.GetLeaseRound() {
			delete(m.leaseRequestedAt, request)
		}
	}
}

// updateIntervals sets the intervals of the runner's heartbeats and of the agent's reports, as far
// as the orders contain them.
func (m *Machine) updateIntervals(o *protocol.RunnerOrders) {
	if o.GetRetryMs() > 0 {
		m.heartbeatInterval = time.Duration(o.GetRetryMs()) * time.Millisecond
	}
	if o.GetReportMs() > 0 {
		m.reportInterval = time.Duration(o.GetReportMs()) * time.Millisecond
	}
}

// acknowledgeEnds forgets the ends of runs up to a number, which the head has recorded.
func (m *Machine) acknowledgeEnds(r *runner, upTo uint64) {
	if upTo <= r.acknowledged {
		return
	}
	r.acknowledged = upTo
	for number := range r.pendingEnds {
		if number <= upTo {
			delete(r.pendingEnds, number)
		}
	}
}

// shouldApply reports whether orders are the next ones to apply. It switches to the session of the
// orders if that is newer; a new session begins without a full sync.
func (m *Machine) shouldApply(o *protocol.RunnerOrders) bool {
	if o.GetSession() < m.session {
		return false // the head has ended that session
	}
	if o.GetSession() > m.session {
		m.resetSession(o.GetSession())
	}
	if !o.GetFull() && len(o.GetRuns()) == 0 && len(o.GetDrop()) == 0 {
		// The orders only renew the lease. Their sequence is that of the newest orders with
		// changes, which may have been lost.
		return false
	}
	if !o.GetFull() && (!m.fullSyncDone || o.GetSequence() > m.appliedSequence+1) {
		return false // the next report does not acknowledge these orders, so the head sends a full sync
	}
	if o.GetSequence() <= m.appliedSequence {
		return false // a duplicate: these or later orders have been applied
	}
	return !m.missesPartBefore(o)
}

// updateDesired applies orders to the set of desired runs: a full sync replaces the set, other
// orders change it.
func (m *Machine) updateDesired(r *runner, o *protocol.RunnerOrders) {
	previous := r.desired
	if o.GetFull() {
		m.beginFullSync(r, len(o.GetRuns()))
	}
	for _, ref := range o.GetDrop() {
		m.dropRun(r, ref, o.GetFull())
	}
	for _, order := range o.GetRuns() {
		if !m.hasPendingEnd(r, order.GetTask(), order.GetRun()) {
			r.desired[order.GetTask()] = previous[order.GetTask()].replace(order)
			delete(r.blockedRuns, order.GetTask())
		}
	}
}

// beginFullSync clears the set of desired runs. Starts of these runs may be in flight to the
// runner, so that the runs are blocked unless the full sync lists them again.
func (m *Machine) beginFullSync(r *runner, runs int) {
	previous := r.desired
	r.desired = make(map[string]*desiredRun, runs)
	m.fullSyncDone = true
	clear(r.refused)
	for task, desired := range previous {
		r.blockedRuns[task] = &blockedRun{run: desired.order.GetRun()}
	}
}

// dropRun removes a run, or an earlier run of its task, from the set of desired runs and blocks it.
// A full sync also drops runs that this agent does not know and whose end the head waits for; these
// are blocked as well, unless their end is pending. Dropping a refused run acknowledges the
// refusal.
func (m *Machine) dropRun(r *runner, ref *protocol.RunRef, fullSync bool) {
	task, run := ref.GetTask(), ref.GetRun()
	if r.refused[task] <= run {
		delete(r.refused, task)
	}
	if desired := r.desired[task]; desired != nil && desired.order.GetRun() <= run {
		r.blockedRuns[task] = &blockedRun{run: desired.order.GetRun()}
		delete(r.desired, task)
	}
	if fullSync && !m.hasPendingEnd(r, task, run) {
		r.blockedRuns[task] = &blockedRun{run: run}
	}
}

// hasPendingEnd reports whether the runner has listed an end of this or a later run of the task
// that the head has not acknowledged yet.
func (m *Machine) hasPendingEnd(r *runner, task string, run uint32) bool {
	for _, end := range r.pendingEnds {
		if end.GetTask() == task && end.GetRun() >= run {
			return true
		}
	}
	return false
}
