package agent

import (
	"maps"
	"slices"
	"time"

	"frosttide/internal/protocol"
)

// SetView notes a newer view of the control plane: its head is whom to report to.
func (m *Machine) SetView(now time.Duration, epoch uint64, head string) {
	m.now = now
	if epoch <= m.epoch {
		return
	}
	m.epoch, m.headAddress = epoch, head
	m.session, m.appliedSequence, m.fullSyncDone = 0, 0, false
	m.lastHeadContact = now
	m.nextReport = 0
	if m.runner != nil {
		m.runner.known, m.runner.sentEnds = false, 0
	}
}

// Tick lets time pass.
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

// Due returns when Tick has something to do.
func (m *Machine) Due() time.Duration { return m.nextReport }

// queryView asks core machines for the newest view, another one each time.
func (m *Machine) queryView() {
	if len(m.cfg.Contacts) == 0 {
		return
	}
	m.nextContact++
	m.sends = append(m.sends, Send{To: m.cfg.Contacts[m.nextContact%len(m.cfg.Contacts)],
		Message: &protocol.Envelope{Body: &protocol.Envelope_ViewQuery{ViewQuery: &protocol.ViewQuery{Epoch: m.epoch}}}})
}

// SetContacts replaces the core machines to be asked for the view.
func (m *Machine) SetContacts(contacts []string) {
	if len(contacts) > 0 {
		m.cfg.Contacts = contacts
	}
}

// expire drops what nobody has to be told any more, and gives up a runner whose holds have run out.
func (m *Machine) expire() {
	for id, at := range m.removed {
		if m.now-at > removedRetention {
			delete(m.removed, id)
		}
	}
	for request, at := range m.leaseRequestedAt {
		if m.now-at > removedRetention {
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

// removeRunner tells the head that a runner surely runs nothing any more. What the head ordered before it knows
// that is void, should the runner beat again.
func (m *Machine) removeRunner(r *runner) {
	m.removed[r.account.GetId()] = m.now
	m.runner = nil
	m.incarnation++
	m.session, m.appliedSequence, m.fullSyncDone = 0, 0, false
	m.nextReport = 0
}

// report tells the head how the runner stands and asks for the lease to be renewed.
func (m *Machine) report() {
	m.lastLeaseRequest++
	m.leaseRequestedAt[m.lastLeaseRequest] = m.now
	report := &protocol.RunnerReport{Incarnation: m.incarnation, LeaseRound: m.lastLeaseRequest, OrdersSeen: m.appliedSequence, Epoch: m.epoch, NoRunner: m.runner == nil,
		Gone: slices.Sorted(maps.Keys(m.removed))}
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
	m.sends = append(m.sends, Send{To: m.headAddress, Message: &protocol.Envelope{Body: &protocol.Envelope_RunnerReport{RunnerReport: report}}})
}

// HandleOrders handles orders of the head.
func (m *Machine) HandleOrders(now time.Duration, from string, o *protocol.RunnerOrders) {
	m.now = now
	if o.GetEpoch() < m.epoch || o.GetCompanion() != m.incarnation {
		return // of a head that is none any more, or for the process that was here before
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
	if o.GetRetryMs() > 0 {
		m.heartbeatInterval = time.Duration(o.GetRetryMs()) * time.Millisecond
	}
	if o.GetReportMs() > 0 {
		m.reportInterval = time.Duration(o.GetReportMs()) * time.Millisecond
	}
	m.acknowledge(r, o.GetLastSeen())
	if o.GetSession() < m.session {
		return // of a session that the head has ended
	}
	if o.GetSession() > m.session {
		m.session, m.appliedSequence, m.fullSyncDone = o.GetSession(), 0, false
	}
	if !o.GetFull() && len(o.GetRuns()) == 0 && len(o.GetDrop()) == 0 {
		return // it bears the newest sequence, of orders that may have been lost
	}
	if !o.GetFull() && (!m.fullSyncDone || o.GetSequence() > m.appliedSequence+1) {
		return // the whole set is sent again, as these are reported as not applied
	}
	if o.GetSequence() <= m.appliedSequence {
		return // they came before, and later ones have been applied since
	}
	m.appliedSequence = o.GetSequence()
	m.updateDesired(r, o)
}

// renewLease counts a lease from the sending of the request that it answers.
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

// acknowledge drops the ends that the head has noted.
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

// updateDesired changes the set of wanted runs.
func (m *Machine) updateDesired(r *runner, o *protocol.RunnerOrders) {
	if o.GetFull() {
		previous := r.desired
		r.desired = make(map[string]*protocol.RunOrder, len(o.GetRuns()))
		m.fullSyncDone = true
		clear(r.refused)
		for task, w := range previous { // a start of it may be under way to the runner
			r.blockedRuns[task] = &blockedRun{run: w.GetRun()}
		}
	}
	for _, ref := range o.GetDrop() {
		if r.refused[ref.GetTask()] <= ref.GetRun() {
			delete(r.refused, ref.GetTask())
		}
		w := r.desired[ref.GetTask()]
		if w != nil && w.GetRun() <= ref.GetRun() {
			r.blockedRuns[ref.GetTask()] = &blockedRun{run: w.GetRun()}
			delete(r.desired, ref.GetTask())
		}
		if o.GetFull() && !m.ended(r, ref.GetTask(), ref.GetRun()) { // the head waits for its end
			r.blockedRuns[ref.GetTask()] = &blockedRun{run: ref.GetRun()}
		}
	}
	for _, run := range o.GetRuns() {
		if !m.ended(r, run.GetTask(), run.GetRun()) {
			r.desired[run.GetTask()] = run
			delete(r.blockedRuns, run.GetTask())
		}
	}
}

// ended tells whether the runner has listed the end of a run that is not noted yet.
func (m *Machine) ended(r *runner, task string, run uint32) bool {
	for _, e := range r.pendingEnds {
		if e.GetTask() == task && e.GetRun() >= run {
			return true
		}
	}
	return false
}
