package agent

import (
	"maps"
	"slices"
	"time"

	"frosttide/internal/protocol"
)

// View notes a newer view of the control plane: its head is whom to report to.
func (m *Machine) View(now time.Duration, epoch uint64, head string) {
	m.now = now
	if epoch <= m.epoch {
		return
	}
	m.epoch, m.head = epoch, head
	m.session, m.sequence, m.whole = 0, 0, false
	m.heardHead = now
	m.nextReport = 0
	if m.runner != nil {
		m.runner.known, m.runner.sentEnds = false, 0
	}
}

// Tick lets time pass.
func (m *Machine) Tick(now time.Duration) {
	m.now = now
	m.forget()
	if now < m.nextReport {
		return
	}
	if m.head == "" || now-m.heardHead > headSilent {
		m.find()
	}
	if m.head == "" {
		m.nextReport = now + findEvery
		return
	}
	m.report()
	m.nextReport = now + m.pause
	if now-m.heardHead > headSilent {
		m.nextReport = now + findEvery
	}
}

// Due returns when Tick has something to do.
func (m *Machine) Due() time.Duration { return m.nextReport }

// find asks core machines for the newest view, another one each time.
func (m *Machine) find() {
	if len(m.cfg.Contacts) == 0 {
		return
	}
	m.contact++
	m.sends = append(m.sends, Send{To: m.cfg.Contacts[m.contact%len(m.cfg.Contacts)],
		Message: &protocol.Envelope{Body: &protocol.Envelope_ViewQuery{ViewQuery: &protocol.ViewQuery{Epoch: m.epoch}}}})
}

// SetContacts replaces the core machines to be asked for the view.
func (m *Machine) SetContacts(contacts []string) {
	if len(contacts) > 0 {
		m.cfg.Contacts = contacts
	}
}

// forget drops what nobody has to be told any more, and gives up a runner whose holds have run out.
func (m *Machine) forget() {
	for id, at := range m.gone {
		if m.now-at > goneKept {
			delete(m.gone, id)
		}
	}
	for round, at := range m.asked {
		if m.now-at > goneKept {
			delete(m.asked, round)
		}
	}
	r := m.runner
	if r == nil || !m.silent(r) {
		return
	}
	if m.now > r.holdUntil {
		m.giveUp(r)
	}
}

// giveUp tells the head that a runner surely runs nothing any more. What the head ordered before it knows
// that is void, should the runner beat again.
func (m *Machine) giveUp(r *runner) {
	m.gone[r.account.GetId()] = m.now
	m.runner = nil
	m.incarnation++
	m.session, m.sequence, m.whole = 0, 0, false
	m.nextReport = 0
}

// report tells the head how the runner stands and asks for the lease to be renewed.
func (m *Machine) report() {
	m.round++
	m.asked[m.round] = m.now
	report := &protocol.RunnerReport{Incarnation: m.incarnation, LeaseRound: m.round, OrdersSeen: m.sequence, Epoch: m.epoch, NoRunner: m.runner == nil,
		Gone: slices.Sorted(maps.Keys(m.gone))}
	if r := m.runner; r != nil {
		report.Account = r.account
		report.Silent = m.silent(r) || r.left
		report.Holding = !report.Silent
		for _, number := range slices.Sorted(maps.Keys(r.ends)) {
			report.Ends = append(report.Ends, r.ends[number])
		}
		for _, task := range slices.Sorted(maps.Keys(r.refused)) {
			report.Refused = append(report.Refused, &protocol.RunRef{Task: task, Run: r.refused[task]})
		}
	}
	m.sends = append(m.sends, Send{To: m.head, Message: &protocol.Envelope{Body: &protocol.Envelope_RunnerReport{RunnerReport: report}}})
}

// Orders handles orders of the head.
func (m *Machine) Orders(now time.Duration, from string, o *protocol.RunnerOrders) {
	m.now = now
	if o.GetEpoch() < m.epoch || o.GetCompanion() != m.incarnation {
		return // of a head that is none any more, or for the process that was here before
	}
	if o.GetEpoch() > m.epoch {
		m.View(now, o.GetEpoch(), from)
	}
	m.head, m.heardHead = from, now
	m.takeLease(o)
	r := m.runner
	if r == nil || o.GetRunner() != r.account.GetId() {
		return
	}
	if o.GetRetryMs() > 0 {
		m.retry = time.Duration(o.GetRetryMs()) * time.Millisecond
	}
	if o.GetReportMs() > 0 {
		m.pause = time.Duration(o.GetReportMs()) * time.Millisecond
	}
	m.acknowledge(r, o.GetLastSeen())
	if o.GetSession() < m.session {
		return // of a session that the head has ended
	}
	if o.GetSession() > m.session {
		m.session, m.sequence, m.whole = o.GetSession(), 0, false
	}
	if !o.GetFull() && len(o.GetRuns()) == 0 && len(o.GetDrop()) == 0 {
		return // it bears the newest sequence, of orders that may have been lost
	}
	if !o.GetFull() && (!m.whole || o.GetSequence() > m.sequence+1) {
		return // the whole set is sent again, as these are reported as not applied
	}
	if o.GetSequence() <= m.sequence {
		return // they came before, and later ones have been applied since
	}
	m.sequence = o.GetSequence()
	m.apply(r, o)
}

// takeLease counts a lease from the sending of the request that it answers.
func (m *Machine) takeLease(o *protocol.RunnerOrders) {
	at, ok := m.asked[o.GetLeaseRound()]
	if !ok {
		return
	}
	m.lease = max(m.lease, at+time.Duration(o.GetLeaseMs())*time.Millisecond)
	for round := range m.asked {
		if round <= o.GetLeaseRound() {
			delete(m.asked, round)
		}
	}
}

// acknowledge drops the ends that the head has noted.
func (m *Machine) acknowledge(r *runner, lastSeen uint64) {
	if lastSeen <= r.lastSeen {
		return
	}
	r.lastSeen = lastSeen
	for number := range r.ends {
		if number <= lastSeen {
			delete(r.ends, number)
		}
	}
}

// apply changes the set of wanted runs.
func (m *Machine) apply(r *runner, o *protocol.RunnerOrders) {
	if o.GetFull() {
		before := r.wanted
		r.wanted = make(map[string]*protocol.RunOrder, len(o.GetRuns()))
		m.whole = true
		clear(r.refused)
		for task, w := range before { // a start of it may be under way to the runner
			r.fenced[task] = &fence{run: w.GetRun()}
		}
	}
	for _, ref := range o.GetDrop() {
		if r.refused[ref.GetTask()] <= ref.GetRun() {
			delete(r.refused, ref.GetTask())
		}
		w := r.wanted[ref.GetTask()]
		if w != nil && w.GetRun() <= ref.GetRun() {
			r.fenced[ref.GetTask()] = &fence{run: w.GetRun()}
			delete(r.wanted, ref.GetTask())
		}
		if o.GetFull() && !m.ended(r, ref.GetTask(), ref.GetRun()) { // the head waits for its end
			r.fenced[ref.GetTask()] = &fence{run: ref.GetRun()}
		}
	}
	for _, run := range o.GetRuns() {
		if !m.ended(r, run.GetTask(), run.GetRun()) {
			r.wanted[run.GetTask()] = run
			delete(r.fenced, run.GetTask())
		}
	}
}

// ended tells whether the runner has listed the end of a run that is not noted yet.
func (m *Machine) ended(r *runner, task string, run uint32) bool {
	for _, e := range r.ends {
		if e.GetTask() == task && e.GetRun() >= run {
			return true
		}
	}
	return false
}
