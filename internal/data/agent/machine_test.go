package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"frosttide/internal/protocol"
)

const head = "head"

// rig is a companion with the head played by the test.
type rig struct {
	t        *testing.T
	machine  *Machine
	now      time.Duration
	sequence uint64
	orders   uint64
}

func newRig(t *testing.T) *rig {
	r := &rig{t: t, machine: New(Config{Incarnation: 100, MaxRunLease: 6 * time.Second, Contacts: []string{"seed"}}, 0), now: time.Second}
	r.machine.SetView(r.now, 5, head)
	return r
}

func (r *rig) heartbeat(id string, running []*protocol.RunProgress, finished ...*protocol.RunEnd) HeartbeatResponse {
	r.sequence++
	r.now += 10 * time.Millisecond
	return r.machine.HandleHeartbeat(r.now, &Heartbeat{Account: &protocol.RunnerAccount{Id: id}, Sequence: r.sequence, Running: running, Finished: finished})
}

// report has time pass until the next report and returns it.
func (r *rig) report() *protocol.RunnerReport {
	r.t.Helper()
	for range 100 {
		r.now += 20 * time.Millisecond
		r.machine.Tick(r.now)
		for _, s := range r.machine.TakeSends() {
			if s.Message.GetRunnerReport() != nil {
				return s.Message.GetRunnerReport()
			}
		}
	}
	r.t.Fatal("no report")
	return nil
}

// sendOrders answers a report with a lease, as the whole set where told.
func (r *rig) sendOrders(report *protocol.RunnerReport, full bool, runs []*protocol.RunOrder, drop ...*protocol.RunRef) {
	r.orders++
	r.machine.HandleOrders(r.now, head, &protocol.RunnerOrders{Epoch: 5, Sequence: r.orders, Session: 1, Runner: report.GetAccount().GetId(), Companion: report.GetIncarnation(),
		Full: full, Runs: runs, Drop: drop, LeaseRound: report.GetLeaseRound(), LeaseMs: 12000})
}

// ready returns a rig whose runner i1 has a lease and an empty set.
func ready(t *testing.T) *rig {
	r := newRig(t)
	require.Zero(t, r.heartbeat("i1", nil).RunLease, "without a lease nothing is held")
	r.sendOrders(r.report(), true, nil)
	return r
}

func order(task string, number uint32) *protocol.RunOrder {
	return &protocol.RunOrder{Task: task, Run: number, Spec: "s"}
}

func running(task string, number uint32) []*protocol.RunProgress {
	return []*protocol.RunProgress{{Task: task, Run: number}}
}

func TestStartsUntilListed(t *testing.T) {
	r := ready(t)
	r.sendOrders(r.report(), false, []*protocol.RunOrder{order("t", 1)})
	for range 3 {
		a := r.heartbeat("i1", nil)
		require.Len(t, a.Start, 1, "an answer may be lost")
		require.EqualValues(t, 5, a.FencingToken)
		require.Positive(t, a.RunLease)
	}
	require.Empty(t, r.heartbeat("i1", running("t", 1)).Start)
	require.Empty(t, r.heartbeat("i1", nil, &protocol.RunEnd{Number: 1, Task: "t", Run: 1, How: "done"}).Start, "it has ended")
	report := r.report()
	require.Len(t, report.GetEnds(), 1)
	require.Zero(t, r.heartbeat("i1", nil, report.GetEnds()...).Acknowledged, "the head has not noted it")
	r.machine.HandleOrders(r.now, head, &protocol.RunnerOrders{Epoch: 5, Session: 1, Sequence: r.orders, Runner: "i1", Companion: report.GetIncarnation(), LastSeen: 1})
	require.EqualValues(t, 1, r.heartbeat("i1", nil).Acknowledged)
	require.Empty(t, r.report().GetEnds())
}

func TestStopsWhatIsNotWanted(t *testing.T) {
	r := ready(t)
	require.Len(t, r.heartbeat("i1", running("old", 3)).Stop, 1)
	r.sendOrders(r.report(), false, []*protocol.RunOrder{order("t", 1)})
	r.sendOrders(r.report(), false, nil, &protocol.RunRef{Task: "t", Run: 1})
	a := r.heartbeat("i1", nil)
	require.Empty(t, a.Start)
	require.Equal(t, "t", a.Stop[0].GetTask(), "its start may be under way")
}

// TestRunLeasesEndWithinTheLease has holds end within the lease, which counts from the sending of its request.
func TestRunLeasesEndWithinTheLease(t *testing.T) {
	r := newRig(t)
	r.heartbeat("i1", nil)
	report := r.report()
	requested := r.now
	r.now += 3 * time.Second // the answer is slow
	r.sendOrders(report, true, nil)
	for r.now < requested+12*time.Second {
		a := r.heartbeat("i1", nil)
		require.LessOrEqual(t, r.now+a.RunLease, requested+12*time.Second)
		r.now += 200 * time.Millisecond
	}
	require.Zero(t, r.heartbeat("i1", nil).RunLease)
	require.Empty(t, r.heartbeat("i1", nil).Start)
}

func TestNewProcessGrantsNoRunLease(t *testing.T) {
	r := newRig(t)
	require.Zero(t, r.heartbeat("i1", running("t", 1)).RunLease)
	require.Empty(t, r.heartbeat("i1", running("t", 1)).Stop, "it does not know yet what is wanted")
}

func TestRunnerThatComesBack(t *testing.T) {
	r := ready(t)
	r.sendOrders(r.report(), false, []*protocol.RunOrder{order("t", 1)})
	r.heartbeat("i1", running("t", 1))
	r.sequence = 0
	require.Empty(t, r.heartbeat("i2", nil).Start, "the new one has no orders")
	require.Contains(t, r.report().GetGone(), "i1")
	stale := r.machine.HandleHeartbeat(r.now, &Heartbeat{Account: &protocol.RunnerAccount{Id: "i1"}, Sequence: 99})
	require.Zero(t, stale.RunLease, "a late beat of the old one")
	require.Equal(t, "i2", r.report().GetAccount().GetId())
}

// TestTimedOutRunnerIsRemoved has a runner count as gone only once its longest hold has surely run out, and
// orders from before that be void.
func TestTimedOutRunnerIsRemoved(t *testing.T) {
	r := ready(t)
	r.sendOrders(r.report(), false, []*protocol.RunOrder{order("t", 1)})
	runLease := r.heartbeat("i1", running("t", 1)).RunLease
	last := r.now
	for r.now < last+runLease {
		require.Empty(t, r.report().GetGone())
	}
	report := r.report()
	previous := report.GetIncarnation()
	for len(report.GetGone()) == 0 {
		report = r.report()
	}
	require.Greater(t, r.now, last+runLease+time.Duration(0.02*float64(runLease)), "a runner's clock may be slow")
	require.NotEqual(t, previous, report.GetIncarnation())
	r.heartbeat("i1", nil) // it was only silent
	r.machine.HandleOrders(r.now, head, &protocol.RunnerOrders{Epoch: 5, Session: 1, Sequence: 9, Runner: "i1", Companion: previous, Full: true, Runs: []*protocol.RunOrder{order("t", 1)}})
	require.Empty(t, r.heartbeat("i1", nil).Start, "the head did not know yet")
}

func TestHealthChecksRemoveRunner(t *testing.T) {
	r := ready(t)
	r.heartbeat("i1", nil)
	_, due := r.machine.NextHealthCheck(r.now + 100*time.Millisecond)
	require.False(t, due)
	r.now += time.Second
	id, due := r.machine.NextHealthCheck(r.now)
	require.True(t, due)
	r.machine.HealthCheckDone(r.now, id, true)
	require.Empty(t, r.report().GetGone(), "one look is not enough")
	r.machine.HealthCheckDone(r.now, id, false)
	r.machine.HealthCheckDone(r.now, id, true)
	require.Empty(t, r.report().GetGone(), "somebody listened in between")
	r.machine.HealthCheckDone(r.now, id, true)
	require.Contains(t, r.report().GetGone(), "i1")
}

func TestBusyRunnerTimesOutLater(t *testing.T) {
	r := ready(t)
	var many []*protocol.RunProgress
	for i := range 40 {
		many = append(many, &protocol.RunProgress{Task: string(rune('a' + i)), Run: 1})
	}
	r.heartbeat("i1", many)
	_, due := r.machine.NextHealthCheck(r.now + 600*time.Millisecond)
	require.False(t, due)
	_, due = r.machine.NextHealthCheck(r.now + time.Second)
	require.True(t, due)
}

func TestStartWithoutEffect(t *testing.T) {
	r := ready(t)
	r.sendOrders(r.report(), false, []*protocol.RunOrder{order("t", 2)})
	blocked := false
	for range 200 {
		a := r.heartbeat("i1", nil)
		blocked = blocked || len(a.Stop) > 0
		if len(a.Start) == 0 && len(a.Stop) == 0 {
			break
		}
		r.now += 40 * time.Millisecond
	}
	require.True(t, blocked, "it must never begin after all")
	report := r.report()
	require.Equal(t, "t", report.GetRefused()[0].GetTask())
	r.sendOrders(report, false, nil, &protocol.RunRef{Task: "t", Run: 2})
	require.Empty(t, r.report().GetRefused())
}

func TestOrdersOfOthersAreVoid(t *testing.T) {
	r := ready(t)
	report := r.report()
	apply := func(change func(*protocol.RunnerOrders)) {
		o := &protocol.RunnerOrders{Epoch: 5, Session: 1, Sequence: r.orders + 1, Runner: "i1", Companion: report.GetIncarnation(), Runs: []*protocol.RunOrder{order("t", 1)}}
		change(o)
		r.machine.HandleOrders(r.now, head, o)
		require.Empty(t, r.heartbeat("i1", nil).Start)
	}
	apply(func(o *protocol.RunnerOrders) { o.Epoch = 4 })
	apply(func(o *protocol.RunnerOrders) { o.Companion++ })
	apply(func(o *protocol.RunnerOrders) { o.Runner = "i0" })
	apply(func(o *protocol.RunnerOrders) { o.Session = 0 })
	apply(func(o *protocol.RunnerOrders) { o.Sequence++ })
	require.EqualValues(t, r.orders, r.report().GetOrdersSeen(), "what is missing is told")
	// Orders that only renew the lease bear the newest sequence and don't count for those that were lost.
	r.machine.HandleOrders(r.now, head, &protocol.RunnerOrders{Epoch: 5, Session: 1, Sequence: r.orders + 1, Runner: "i1", Companion: report.GetIncarnation()})
	require.EqualValues(t, r.orders, r.report().GetOrdersSeen())
}

func TestDrainingRunnerStartsNothing(t *testing.T) {
	r := ready(t)
	r.sendOrders(r.report(), false, []*protocol.RunOrder{order("t", 1)})
	r.sequence++
	a := r.machine.HandleHeartbeat(r.now, &Heartbeat{Account: &protocol.RunnerAccount{Id: "i1", Draining: true}, Sequence: r.sequence})
	require.Empty(t, a.Start)
	require.True(t, r.report().GetAccount().GetDraining())
	r.machine.Deregister(r.now, "i1")
	require.True(t, r.report().GetSilent())
	r.now += time.Second
	require.Empty(t, r.report().GetGone(), "it may run on")
	r.machine.HealthCheckDone(r.now, "i1", true)
	r.machine.HealthCheckDone(r.now, "i1", true)
	require.Contains(t, r.report().GetGone(), "i1", "nobody listens there any more")
}

// TestDeregistrationIsNoEnd has a runner take its leave first and run on, with beats that come seconds late: what it runs
// must not start elsewhere. It used to count as ended 400 ms after its leave.
func TestDeregistrationIsNoEnd(t *testing.T) {
	r := ready(t)
	r.sendOrders(r.report(), false, []*protocol.RunOrder{order("t", 1), order("u", 1)})
	r.heartbeat("i1", running("t", 1))
	r.machine.Deregister(r.now, "i1")
	for range 4 {
		for range 8 { // 1.6 s and more without a beat
			report := r.report()
			require.Empty(t, report.GetGone())
			require.True(t, report.GetSilent(), "it gets no more tasks")
			r.sendOrders(report, false, nil)
		}
		require.Empty(t, r.heartbeat("i1", running("t", 1)).Start, "it is about to end")
	}
	id, due := r.machine.NextHealthCheck(r.now + time.Second)
	require.True(t, due, "it is looked at until it has ended")
	r.machine.HealthCheckDone(r.now+time.Second, id, true)
	r.machine.HealthCheckDone(r.now+time.Second, id, true)
	require.Contains(t, r.report().GetGone(), "i1")
}

// TestDeregisteredRunnerWithoutHealthChecks counts as ended once its longest hold has surely run out.
func TestDeregisteredRunnerWithoutHealthChecks(t *testing.T) {
	r := ready(t)
	runLease := r.heartbeat("i1", running("t", 1)).RunLease
	last := r.now
	r.machine.Deregister(r.now, "i1")
	for r.now < last+runLease {
		require.Empty(t, r.report().GetGone())
	}
	r.now += time.Second
	require.Contains(t, r.report().GetGone(), "i1")
}

func TestLooksForTheHead(t *testing.T) {
	m := New(Config{Contacts: []string{"a", "b"}}, 0)
	requested := make(map[string]bool)
	for now := time.Duration(0); now < time.Second; now += 50 * time.Millisecond {
		m.Tick(now)
		for _, s := range m.TakeSends() {
			require.NotNil(t, s.Message.GetViewQuery())
			requested[s.To] = true
		}
	}
	require.Len(t, requested, 2)
}

// TestDroppedRunIsBlocked has the companion bar a run that was dropped before the runner has listed it, and
// then tell the head that it never begins: the head keeps its room until then.
func TestDroppedRunIsBlocked(t *testing.T) {
	r := ready(t)
	r.sendOrders(r.report(), false, []*protocol.RunOrder{order("t", 1)})
	r.sendOrders(r.report(), false, nil, &protocol.RunRef{Task: "t", Run: 1})
	for range stopsToBlock + 1 {
		a := r.heartbeat("i1", nil)
		require.Len(t, a.Stop, 1)
		require.Empty(t, a.Start)
	}
	require.Empty(t, r.heartbeat("i1", nil).Stop, "it is barred for good")
	report := r.report()
	require.Len(t, report.GetRefused(), 1)
	r.sendOrders(report, false, nil, &protocol.RunRef{Task: "t", Run: 1})
	require.Empty(t, r.report().GetRefused(), "the head knows")
}

// TestUnknownRunOfFullSyncIsBlocked has a companion that never heard of a run, whose end the head waits for,
// bar it and say so.
func TestUnknownRunOfFullSyncIsBlocked(t *testing.T) {
	r := newRig(t)
	r.heartbeat("i1", nil)
	r.sendOrders(r.report(), true, nil, &protocol.RunRef{Task: "t", Run: 2}, &protocol.RunRef{Task: "u", Run: 1})
	require.Len(t, r.heartbeat("i1", running("u", 1)).Stop, 2)
	for range stopsToBlock + 2 {
		r.heartbeat("i1", nil, &protocol.RunEnd{Number: 1, Task: "u", Run: 1, How: "stopped"})
	}
	report := r.report()
	require.Len(t, report.GetRefused(), 1)
	require.Equal(t, "t", report.GetRefused()[0].GetTask())
	require.Len(t, report.GetEnds(), 1)
}

// TestOrdersThatComeAgain has an older whole set come once more after a newer one.
func TestOrdersThatComeAgain(t *testing.T) {
	r := ready(t)
	report := r.report()
	r.sendOrders(report, true, []*protocol.RunOrder{order("old", 1)})
	first := r.orders
	r.sendOrders(report, true, []*protocol.RunOrder{order("new", 1)})
	r.machine.HandleOrders(r.now, head, &protocol.RunnerOrders{Epoch: 5, Sequence: first, Session: 1, Runner: "i1", Companion: report.GetIncarnation(), Full: true,
		Runs: []*protocol.RunOrder{order("old", 1)}})
	a := r.heartbeat("i1", running("new", 1))
	require.Empty(t, a.Start)
	for _, stop := range a.Stop {
		require.NotEqual(t, "new", stop.GetTask(), "it is wanted")
	}
}
