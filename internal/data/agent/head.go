package agent

import (
	"maps"
	"slices"
	"time"

	"frosttide/internal/protocol"
)

// SetView takes over a newer view of the control plane by its epoch and the internal address of its head. The agent
// reports to that head from now on, and waits for a full sync from it.
func (m *Machine) SetView(now time.Duration, epoch uint64, head string) {
	m.now = now
	if epoch <= m.epoch {
		return
	}
	m.epoch, m.headAddress = epoch, head
	m.session, m.appliedSequence, m.fullSyncDone = 0, 0, false
	m.lastHeadContact = now
	m.nextReport = 0
}

// SetContacts replaces the core machines to ask for a view. An empty list changes nothing.
func (m *Machine) SetContacts(contacts []string) {
	if len(contacts) > 0 {
		m.cfg.Contacts = contacts
	}
}

// Tick handles the passing of time: it sends the reports that are due and removes what has expired.
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

// queryView asks the next core machine for a newer view.
func (m *Machine) queryView() {
	if len(m.cfg.Contacts) == 0 {
		return
	}
	m.nextContact++
	m.send(m.cfg.Contacts[m.nextContact%len(m.cfg.Contacts)],
		&protocol.Envelope{Body: &protocol.Envelope_ViewQuery{ViewQuery: &protocol.ViewQuery{Epoch: m.epoch}}})
}

func (m *Machine) send(to string, e *protocol.Envelope) {
	m.sends = append(m.sends, protocol.Outbound{To: to, Message: e})
}

// expire drops what the head need not know any more, and removes a timed-out runner whose run leases have ended.
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

// report sends the head the runner's state and asks it to renew the lease.
func (m *Machine) report() {
	m.lastLeaseRequest++
	m.leaseRequestedAt[m.lastLeaseRequest] = m.now
	report := &protocol.RunnerReport{
		Incarnation: m.incarnation,
		LeaseRound:  m.lastLeaseRequest,
		OrdersSeen:  m.appliedSequence,
		Epoch:       m.epoch,
		NoRunner:    m.runner == nil,
		Gone:        slices.Sorted(maps.Keys(m.removed)),
	}
	if r := m.runner; r != nil {
		report.Account = r.account
		report.Silent = m.timedOut(r) || r.deregistered
		report.Holding = !report.Silent
		for _, number := range slices.Sorted(maps.Keys(r.pendingEnds)) {
			report.Ends = append(report.Ends, r.pendingEnds[number])
		}
		for _, task := range slices.Sorted(maps.Keys(r.refused)) {
			report.Refused = append(report.Refused, &protocol.RunRef{Task: task, Run: r.refused[task]})
		}
	}
	m.send(m.headAddress, &protocol.Envelope{Body: &protocol.Envelope_RunnerReport{RunnerReport: report}})
}

// HandleOrders handles orders that the head has sent from an internal address.
func (m *Machine) HandleOrders(now time.Duration, from string, o *protocol.RunnerOrders) {
	m.now = now
	if o.GetEpoch() < m.epoch || o.GetCompanion() != m.incarnation {
		return // of a deposed head, or for an earlier process of this agent
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
	m.acknowledge(r, o.GetLastSeen())
	if m.accept(o) {
		m.appliedSequence = o.GetSequence()
		m.updateDesired(r, o)
	}
}

// renewLease extends the lease, counted from the sending of the request that the orders answer.
func (m *Machine) renewLease(o *protocol.RunnerOrders) {
	at, ok := m.leaseRequestedAt[o.GetLeaseRound()]
	if !ok {
		return
	}
	m.leaseExpiry = max(m.leaseExpiry, at+time.Duration(o.GetLeaseMs())*time.Millisecond)
	for request := range m.leaseRequestedAt {
		if request <= o.GetLeaseRound() {
			delete(m.leaseRequestedAt, request)
		}
	}
}

// updateIntervals takes over how often the runner sends heartbeats and the agent reports.
func (m *Machine) updateIntervals(o *protocol.RunnerOrders) {
	if o.GetRetryMs() > 0 {
		m.heartbeatInterval = time.Duration(o.GetRetryMs()) * time.Millisecond
	}
	if o.GetReportMs() > 0 {
		m.reportInterval = time.Duration(o.GetReportMs()) * time.Millisecond
	}
}

// acknowledge drops the ends up to a number, which the head has recorded.
func (m *Machine) acknowledge(r *runner, upTo uint64) {
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

// accept reports whether orders are the next ones to apply. Newer sessions begin without a full sync.
func (m *Machine) accept(o *protocol.RunnerOrders) bool {
	if o.GetSession() < m.session {
		return false // the head has ended that session
	}
	if o.GetSession() > m.session {
		m.session, m.appliedSequence, m.fullSyncDone = o.GetSession(), 0, false
	}
	if !o.GetFull() && len(o.GetRuns()) == 0 && len(o.GetDrop()) == 0 {
		return false // only the lease is renewed; the sequence is that of the newest orders, which may have been lost
	}
	if !o.GetFull() && (!m.fullSyncDone || o.GetSequence() > m.appliedSequence+1) {
		return false // the head sends a full sync, as the next report does not acknowledge these
	}
	if o.GetSequence() <= m.appliedSequence {
		return false // a repetition: these or later ones are applied
	}
	return true
}

// updateDesired applies a change of the desired runs, or all of them in a full sync.
func (m *Machine) updateDesired(r *runner, o *protocol.RunnerOrders) {
	if o.GetFull() {
		m.beginFullSync(r, len(o.GetRuns()))
	}
	for _, ref := range o.GetDrop() {
		m.drop(r, ref, o.GetFull())
	}
	for _, order := range o.GetRuns() {
		if !m.ended(r, order.GetTask(), order.GetRun()) {
			r.desired[order.GetTask()] = order
			delete(r.blockedRuns, order.GetTask())
		}
	}
}

// beginFullSync empties the set of desired runs. Starts of them may be on their way to the runner, so that those which
// are not desired again are blocked.
func (m *Machine) beginFullSync(r *runner, runs int) {
	previous := r.desired
	r.desired = make(map[string]*protocol.RunOrder, runs)
	m.fullSyncDone = true
	clear(r.refused)
	for task, order := range previous {
		r.blockedRuns[task] = &blockedRun{run: order.GetRun()}
	}
}

// drop takes a run, and earlier ones of its task, out of the desired set. A full sync also drops runs that this
// agent has never known and whose end the head waits for.
func (m *Machine) drop(r *runner, ref *protocol.RunRef, fullSync bool) {
	task, run := ref.GetTask(), ref.GetRun()
	if r.refused[task] <= run {
		delete(r.refused, task)
	}
	if order := r.desired[task]; order != nil && order.GetRun() <= run {
		r.blockedRuns[task] = &blockedRun{run: order.GetRun()}
		delete(r.desired, task)
	}
	if fullSync && !m.ended(r, task, run) {
		r.blockedRuns[task] = &blockedRun{run: run}
	}
}

// ended reports whether the runner has listed the end of a run, or of a later one of its task, that the head has not
// acknowledged yet.
func (m *Machine) ended(r *runner, task string, run uint32) bool {
	for _, end := range r.pendingEnds {
		if end.GetTask() == task && end.GetRun() >= run {
			return true
		}
	}
	return false
}
