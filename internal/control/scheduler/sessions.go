package scheduler

import (
	"maps"
	"slices"
	"time"

	"frosttide/internal/control/jobs"
	"frosttide/internal/control/placement"
	"frosttide/internal/protocol"
)

// fullSyncState is how far the sending of the whole set of a runner's runs is.
type fullSyncState int

// The states of the whole set.
const (
	fullSyncNeeded    fullSyncState = iota // it is to be sent
	fullSyncRequested                      // it is sent once the entry that asks for it is committed
	fullSyncReady                          // it goes with the next orders
	fullSyncSent                           // changes are enough
)

// session is a companion that speaks for its runner.
type session struct {
	address              string
	number               uint64   // rises with each session
	incarnation          uint64   // of the companion
	runner               string   // id of its runner, empty before any is known
	previousIncarnations []uint64 // incarnations that spoke for this machine before, the newest last
	reportNumber         uint64   // of the newest report
	lastContact          time.Duration
	leaseExpiry          time.Duration // end of the newest lease
	lastSequence         uint64        // of the newest orders
	unappliedSince       time.Duration // since when the oldest unapplied orders wait, or some were last applied
	appliedSequence      uint64        // newest orders that the companion has applied
	fullSync             fullSyncState
	runnerUnresponsive   bool
	hasLease             bool
	draining             bool
}

const (
	// sessionTimeout is how long a companion may be silent until its session may be given up.
	sessionTimeout = 1200 * time.Millisecond
	// maxMissedReports is how many reports a companion may leave out until its runner gets no more tasks.
	maxMissedReports = 2.5
	// minReportInterval and mostReport bound the pause between a companion's reports; reportsASecond is how many
	// the head takes of all companions together.
	minReportInterval   = 100 * time.Millisecond
	maxReportInterval   = 500 * time.Millisecond
	maxReportsPerSecond = 700
	// fullSyncRetryAfter is how long orders may be unapplied until the whole set is sent again.
	fullSyncRetryAfter = 700 * time.Millisecond
	// heartbeatIntervalMs is the pause between a runner's beats; runners make none that is shorter.
	heartbeatIntervalMs = 50
)

// leaseOverAt returns when holds within a lease have surely run out.
func (s *Scheduler) leaseOverAt(expiry time.Duration) time.Duration {
	return expiry + time.Duration(maxClockDrift*float64(s.cfg.Lease)) + leaseMargin
}

// HandleReport handles what a companion says.
func (s *Scheduler) HandleReport(now time.Duration, from string, report *protocol.RunnerReport) {
	s.now = now
	sess := s.sessions[from]
	if s.isStale(sess, report) {
		return
	}
	if sess == nil || sess.incarnation != report.GetIncarnation() {
		s.endSession(sess)
		s.lastSession++
		sess = &session{address: from, number: s.lastSession, incarnation: report.GetIncarnation(), previousIncarnations: sess.incarnationHistory()}
		s.sessions[from] = sess
		s.requestFullSync(sess)
	}
	sess.lastContact, sess.reportNumber = now, report.GetLeaseRound()
	for _, id := range report.GetGone() {
		s.declareLost(id)
	}
	s.registerRunner(sess, report)
	sess.runnerUnresponsive, sess.hasLease = report.GetSilent(), report.GetHolding()
	if report.GetEpoch() == s.epoch {
		sess.acknowledge(now, report.GetOrdersSeen())
	}
	s.recordEnds(sess, report.GetEnds())
	s.recordRefusals(sess, report.GetRefused())
	s.updateUsable(sess)
	s.renewLease(sess, report)
}

// maxPreviousIncarnations bounds the incarnations that are remembered of a machine.
const maxPreviousIncarnations = 8

// incarnationHistory returns the incarnations that spoke for a session's machine, its own included.
func (sess *session) incarnationHistory() []uint64 {
	if sess == nil {
		return nil
	}
	all := append(slices.Clone(sess.previousIncarnations), sess.incarnation)
	return all[max(0, len(all)-maxPreviousIncarnations):]
}

// isStale tells whether a report comes after a later one of the same machine: what it says of the runner holds no
// longer.
func (s *Scheduler) isStale(sess *session, report *protocol.RunnerReport) bool {
	if sess != nil && sess.incarnation == report.GetIncarnation() {
		return report.GetLeaseRound() <= sess.reportNumber
	}
	return sess != nil && slices.Contains(sess.previousIncarnations, report.GetIncarnation())
}

// acknowledge notes how far a companion has applied its orders. Later orders don't put the patience with the oldest
// off: a companion that misses one applies none after it.
func (sess *session) acknowledge(now time.Duration, sequence uint64) {
	if sequence > sess.appliedSequence {
		sess.appliedSequence, sess.unappliedSince = sequence, now
	}
}

// requestFullSync has a session sent the whole set of its runner's runs.
func (s *Scheduler) requestFullSync(sess *session) {
	sess.fullSync = fullSyncNeeded
	s.fullSyncWanted = true
}

// registerRunner notes which runner a companion speaks for.
func (s *Scheduler) registerRunner(sess *session, report *protocol.RunnerReport) {
	account := report.GetAccount()
	if account == nil {
		return
	}
	if sess.runner != account.GetId() {
		s.declareOthersLost(sess.address, account.GetId())
		sess.runner = account.GetId()
		s.requestFullSync(sess)
	}
	r := s.runner(account.GetId())
	r.session, r.registered = sess, true
	if r.agent != sess.address {
		r.agent = sess.address
		s.writeRunner(r)
	}
	sess.draining = account.GetDraining()
	if sess.draining {
		s.evacuate(r, time.Duration(account.GetRemainingMs())*time.Millisecond)
	}
	capacity := account.GetCapacity()
	s.fleet.UpdateRunner(r.fleetRunner, account.GetService(), rackOf(s.cfg.RackPrefix, account.GetLabels()), account.GetLabels(), placement.Resources{CPU: capacity.GetCpu(), MemMB: capacity.GetMemMb(), GPUs: capacity.GetGpus()})
}

// reportInterval returns how often companions report: the fewer there are, the sooner a silent one is noticed.
func (s *Scheduler) reportInterval() time.Duration {
	return min(max(time.Duration(len(s.sessions))*time.Second/maxReportsPerSecond, minReportInterval), maxReportInterval)
}

// contactTimeout returns how long a companion may be silent, or orders unapplied, until its runner gets no
// more tasks.
func (s *Scheduler) contactTimeout() time.Duration {
	return time.Duration(maxMissedReports * float64(s.reportInterval()))
}

// updateUsable decides whether a session's runner may be sent tasks.
func (s *Scheduler) updateUsable(sess *session) {
	if r := s.runners[sess.runner]; r != nil && r.session == sess {
		s.fleet.SetUsable(r.fleetRunner, r.registered && sess.hasLease && !sess.runnerUnresponsive && !sess.draining && s.now-sess.lastContact < s.contactTimeout() && sess.leaseExpiry > s.now &&
			(sess.appliedSequence >= sess.lastSequence || s.now-sess.unappliedSince < s.contactTimeout()))
	}
}

// recordEnds notes the ends that a runner has listed, each once.
func (s *Scheduler) recordEnds(sess *session, ends []*protocol.RunEnd) {
	r := s.runners[sess.runner]
	if r == nil {
		return
	}
	previous := r.recordedEnd
	for _, end := range ends {
		if end.GetNumber() <= r.recordedEnd {
			continue
		}
		r.recordedEnd = end.GetNumber()
		s.recordEnd(r, end)
	}
	if r.recordedEnd > previous {
		s.writeRunner(r)
		s.batch.acknowledgeEnds(r.id, r.recordedEnd)
	}
}

// recordRefusals notes runs that a runner surely never starts.
func (s *Scheduler) recordRefusals(sess *session, refused []*protocol.RunRef) {
	r := s.runners[sess.runner]
	if r == nil || r.session != sess {
		return
	}
	for _, ref := range refused {
		name, ok := jobs.ParseTask(ref.GetTask())
		run, live := r.live[ref.GetTask()]
		if !ok || !live || run.number != ref.GetRun() {
			s.batch.addDrop(r.id, ref.GetTask(), ref.GetRun()) // it is known already
			continue
		}
		if run.pending {
			continue
		}
		s.jobs.RecordEnd(name, run.number, r.id, jobs.EndRefused, "", s.maxAttempts(name.Job), s.wallMs)
		s.countEnd(run.step, jobs.EndRefused)
		s.releaseRun(r, ref.GetTask())
	}
}

func (s *Scheduler) recordEnd(r *runner, end *protocol.RunEnd) {
	name, ok := jobs.ParseTask(end.GetTask())
	if !ok {
		return
	}
	reason := jobs.EndReason(end.GetHow())
	first := s.firstFailure(name)
	result := s.jobs.RecordEnd(name, end.GetRun(), r.id, reason, end.GetSaved(), s.maxAttempts(name.Job), s.wallMs)
	if run, live := r.live[end.GetTask()]; live && run.number == end.GetRun() {
		s.releaseRun(r, end.GetTask())
	}
	if result.Applied {
		s.countEnd(result.Step, reason)
	}
	if result.Applied && (reason == jobs.EndDone || reason == jobs.EndFailed && first) {
		s.fleet.RecordOutcome(r.fleetRunner, name.Job, reason == jobs.EndFailed, s.now)
	}
}

// firstFailure tells whether a task has not failed before: one that fails again and again says little of its
// runners, nor does lasting work, which may fail at any time.
func (s *Scheduler) firstFailure(name jobs.TaskName) bool {
	sess := s.jobs.FindStep(name)
	return sess != nil && sess.Tasks[name.Index].Failures == 0 && !sess.Stage.GetLongRunning()
}

// maxAttempts returns how many failed runs a task of a job may have.
func (s *Scheduler) maxAttempts(id string) int {
	j := s.jobs.Get(id)
	if j == nil {
		return 1
	}
	if route := s.config.Route(j.Queue); route != nil {
		return route.MaxAttempts
	}
	return defaultMaxAttempts
}

// defaultMaxAttempts counts for jobs of a queue that is gone.
const defaultMaxAttempts = 2

// endSession has a runner wait for its companion's next session.
func (s *Scheduler) endSession(sess *session) {
	if sess == nil {
		return
	}
	if r := s.runners[sess.runner]; r != nil && r.session == sess {
		r.session = nil
		s.fleet.SetUsable(r.fleetRunner, false)
		r.lostAfter = s.leaseOverAt(sess.leaseExpiry)
	}
	delete(s.sessions, sess.address)
}

// expireSessions gives up runners whose holds have run out, and has orders sent again that were not
// applied.
func (s *Scheduler) expireSessions() {
	for _, address := range slices.Sorted(maps.Keys(s.sessions)) {
		sess := s.sessions[address]
		if s.now > s.leaseOverAt(sess.leaseExpiry) && s.now-sess.lastContact > sessionTimeout {
			s.endSession(sess)
			continue
		}
		s.updateUsable(sess)
		if sess.appliedSequence < sess.lastSequence && s.now-sess.unappliedSince > fullSyncRetryAfter && s.now-sess.lastContact < s.contactTimeout() {
			s.requestFullSync(sess)
			sess.unappliedSince = s.now
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.runners)) {
		if r := s.runners[id]; r.session == nil && s.now > r.lostAfter {
			s.declareLost(id)
		}
	}
}
