package scheduler

import (
	"maps"
	"slices"
	"time"

	"frosttide/internal/control/jobs"
	"frosttide/internal/control/placement"
	"frosttide/internal/protocol"
)

// wholeState is how far the sending of the whole set of a runner's runs is.
type wholeState int

// The states of the whole set.
const (
	wholeNeeded    wholeState = iota // it is to be sent
	wholeRequested                   // it is sent once the entry that asks for it is committed
	wholeDue                         // it goes with the next orders
	wholeSent                        // changes are enough
)

// session is a companion that speaks for its runner.
type session struct {
	address     string
	number      uint64   // rises with each session
	incarnation uint64   // of the companion
	runner      string   // id of its runner, empty before any is known
	before      []uint64 // incarnations that spoke for this machine before, the newest last
	round       uint64   // of the newest report
	heard       time.Duration
	leaseUntil  time.Duration // end of the newest lease
	sequence    uint64        // of the newest orders
	waitsSince  time.Duration // since when the oldest unapplied orders wait, or some were last applied
	seen        uint64        // newest orders that the companion has applied
	whole       wholeState
	silent      bool
	holding     bool
	draining    bool
}

const (
	// sessionEnded is how long a companion may be silent until its session may be given up.
	sessionEnded = 1200 * time.Millisecond
	// silentReports is how many reports a companion may leave out until its runner gets no more tasks.
	silentReports = 2.5
	// leastReport and mostReport bound the pause between a companion's reports; reportsASecond is how many
	// the head takes of all companions together.
	leastReport    = 100 * time.Millisecond
	mostReport     = 500 * time.Millisecond
	reportsASecond = 700
	// resendAfter is how long orders may be unapplied until the whole set is sent again.
	resendAfter = 700 * time.Millisecond
	// retryMs is the pause between a runner's beats; runners make none that is shorter.
	retryMs = 50
)

// leaseEnd returns when holds within a lease have surely run out.
func (d *Scheduler) leaseEnd(lease time.Duration) time.Duration {
	return lease + time.Duration(clockSlack*float64(d.cfg.Lease)) + leaseMargin
}

// Report handles what a companion says.
func (d *Scheduler) Report(now time.Duration, from string, report *protocol.RunnerReport) {
	d.now = now
	s := d.sessions[from]
	if d.outdated(s, report) {
		return
	}
	if s == nil || s.incarnation != report.GetIncarnation() {
		d.endSession(s)
		d.lastSession++
		s = &session{address: from, number: d.lastSession, incarnation: report.GetIncarnation(), before: s.predecessors()}
		d.sessions[from] = s
		d.needWhole(s)
	}
	s.heard, s.round = now, report.GetLeaseRound()
	for _, id := range report.GetGone() {
		d.lose(id)
	}
	d.meet(s, report)
	s.silent, s.holding = report.GetSilent(), report.GetHolding()
	if report.GetEpoch() == d.epoch {
		s.apply(now, report.GetOrdersSeen())
	}
	d.noteEnds(s, report.GetEnds())
	d.noteRefused(s, report.GetRefused())
	d.updateUsable(s)
	d.answer(s, report)
}

// mostPredecessors bounds the incarnations that are remembered of a machine.
const mostPredecessors = 8

// predecessors returns the incarnations that spoke for a session's machine, its own included.
func (s *session) predecessors() []uint64 {
	if s == nil {
		return nil
	}
	all := append(slices.Clone(s.before), s.incarnation)
	return all[max(0, len(all)-mostPredecessors):]
}

// outdated tells whether a report comes after a later one of the same machine: what it says of the runner holds no
// longer.
func (d *Scheduler) outdated(s *session, report *protocol.RunnerReport) bool {
	if s != nil && s.incarnation == report.GetIncarnation() {
		return report.GetLeaseRound() <= s.round
	}
	return s != nil && slices.Contains(s.before, report.GetIncarnation())
}

// apply notes how far a companion has applied its orders. Later orders don't put the patience with the oldest
// off: a companion that misses one applies none after it.
func (s *session) apply(now time.Duration, seen uint64) {
	if seen > s.seen {
		s.seen, s.waitsSince = seen, now
	}
}

// needWhole has a session sent the whole set of its runner's runs.
func (d *Scheduler) needWhole(s *session) {
	s.whole = wholeNeeded
	d.wholeWanted = true
}

// meet notes which runner a companion speaks for.
func (d *Scheduler) meet(s *session, report *protocol.RunnerReport) {
	a := report.GetAccount()
	if a == nil {
		return
	}
	if s.runner != a.GetId() {
		d.loseOthers(s.address, a.GetId())
		s.runner = a.GetId()
		d.needWhole(s)
	}
	r := d.runner(a.GetId())
	r.session, r.known = s, true
	if r.companion != s.address {
		r.companion = s.address
		d.putRunner(r)
	}
	s.draining = a.GetDraining()
	if s.draining {
		d.evacuate(r, time.Duration(a.GetRemainingMs())*time.Millisecond)
	}
	c := a.GetCapacity()
	d.fleet.Describe(r.account, a.GetService(), rackOf(d.cfg.RackPrefix, a.GetLabels()), a.GetLabels(), placement.Resources{CPU: c.GetCpu(), MemMB: c.GetMemMb(), GPUs: c.GetGpus()})
}

// reportPause returns how often companions report: the fewer there are, the sooner a silent one is noticed.
func (d *Scheduler) reportPause() time.Duration {
	return min(max(time.Duration(len(d.sessions))*time.Second/reportsASecond, leastReport), mostReport)
}

// silentAfter returns how long a companion may be silent, or orders unapplied, until its runner gets no
// more tasks.
func (d *Scheduler) silentAfter() time.Duration {
	return time.Duration(silentReports * float64(d.reportPause()))
}

// updateUsable decides whether a session's runner may be sent tasks.
func (d *Scheduler) updateUsable(s *session) {
	if r := d.runners[s.runner]; r != nil && r.session == s {
		d.fleet.SetUsable(r.account, r.known && s.holding && !s.silent && !s.draining && d.now-s.heard < d.silentAfter() && s.leaseUntil > d.now &&
			(s.seen >= s.sequence || d.now-s.waitsSince < d.silentAfter()))
	}
}

// noteEnds notes the ends that a runner has listed, each once.
func (d *Scheduler) noteEnds(s *session, ends []*protocol.RunEnd) {
	r := d.runners[s.runner]
	if r == nil {
		return
	}
	before := r.noted
	for _, end := range ends {
		if end.GetNumber() <= r.noted {
			continue
		}
		r.noted = end.GetNumber()
		d.noteEnd(r, end)
	}
	if r.noted > before {
		d.putRunner(r)
		d.batch.note(r.id, r.noted)
	}
}

// noteRefused notes runs that a runner surely never starts.
func (d *Scheduler) noteRefused(s *session, refused []*protocol.RunRef) {
	r := d.runners[s.runner]
	if r == nil || r.session != s {
		return
	}
	for _, ref := range refused {
		name, ok := jobs.ParseTask(ref.GetTask())
		run, live := r.live[ref.GetTask()]
		if !ok || !live || run.number != ref.GetRun() {
			d.batch.drop(r.id, ref.GetTask(), ref.GetRun()) // it is known already
			continue
		}
		if run.pending {
			continue
		}
		d.jobs.End(name, run.number, r.id, jobs.EndRefused, "", d.maxAttempts(name.Job), d.wallMs)
		d.countEnd(run.step, jobs.EndRefused)
		d.dropRun(r, ref.GetTask())
	}
}

func (d *Scheduler) noteEnd(r *runner, end *protocol.RunEnd) {
	name, ok := jobs.ParseTask(end.GetTask())
	if !ok {
		return
	}
	how := jobs.How(end.GetHow())
	first := d.firstFailure(name)
	out := d.jobs.End(name, end.GetRun(), r.id, how, end.GetSaved(), d.maxAttempts(name.Job), d.wallMs)
	if run, live := r.live[end.GetTask()]; live && run.number == end.GetRun() {
		d.dropRun(r, end.GetTask())
	}
	if out.Counted {
		d.countEnd(out.Step, how)
	}
	if out.Counted && (how == jobs.EndDone || how == jobs.EndFailed && first) {
		d.fleet.Trouble(r.account, name.Job, how == jobs.EndFailed, d.now)
	}
}

// firstFailure tells whether a task has not failed before: one that fails again and again says little of its
// runners, nor does lasting work, which may fail at any time.
func (d *Scheduler) firstFailure(name jobs.TaskName) bool {
	s := d.jobs.Find(name)
	return s != nil && s.Tasks[name.Index].Failures == 0 && !s.Stage.GetLongRunning()
}

// maxAttempts returns how many failed runs a task of a job may have.
func (d *Scheduler) maxAttempts(id string) int {
	j := d.jobs.Get(id)
	if j == nil {
		return 1
	}
	if route := d.config.Route(j.Queue); route != nil {
		return route.MaxAttempts
	}
	return defaultAttempts
}

// defaultAttempts counts for jobs of a queue that is gone.
const defaultAttempts = 2

// endSession has a runner wait for its companion's next session.
func (d *Scheduler) endSession(s *session) {
	if s == nil {
		return
	}
	if r := d.runners[s.runner]; r != nil && r.session == s {
		r.session = nil
		d.fleet.SetUsable(r.account, false)
		r.deadline = d.leaseEnd(s.leaseUntil)
	}
	delete(d.sessions, s.address)
}

// tickSessions gives up runners whose holds have run out, and has orders sent again that were not
// applied.
func (d *Scheduler) tickSessions() {
	for _, address := range slices.Sorted(maps.Keys(d.sessions)) {
		s := d.sessions[address]
		if d.now > d.leaseEnd(s.leaseUntil) && d.now-s.heard > sessionEnded {
			d.endSession(s)
			continue
		}
		d.updateUsable(s)
		if s.seen < s.sequence && d.now-s.waitsSince > resendAfter && d.now-s.heard < d.silentAfter() {
			d.needWhole(s)
			s.waitsSince = d.now
		}
	}
	for _, id := range slices.Sorted(maps.Keys(d.runners)) {
		if r := d.runners[id]; r.session == nil && d.now > r.deadline {
			d.lose(id)
		}
	}
}
