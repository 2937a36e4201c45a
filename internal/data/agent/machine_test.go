package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"frosttide/internal/protocol"
)

const head = "head"

const (
	testEpoch = 5
	testLease = 12 * time.Second
)

// rig is an agent whose head and runner are the test.
type rig struct {
	t        *testing.T
	machine  *Machine
	now      time.Duration
	sequence uint64 // of the newest heartbeat
	orders   uint64 // sequence of the newest orders
}

// newRig returns a rig whose agent knows the head and no runner.
func newRig(t *testing.T) *rig {
	t.Helper()
	cfg := Config{Incarnation: 100, MaxRunLease: 6 * time.Second, Contacts: []string{"seed"}}
	r := &rig{t: t, machine: New(cfg, 0), now: time.Second}
	r.machine.SetView(r.now, testEpoch, head)
	return r
}

// newSyncedRig returns a rig whose agent has a lease, the runner i1, and an empty set of desired runs.
func newSyncedRig(t *testing.T) *rig {
	t.Helper()
	r := newRig(t)
	require.Zero(t, r.heartbeat("i1", nil).RunLease, "a run lease without a lease")
	r.fullSync(r.report(), nil)
	return r
}

// heartbeat sends a heartbeat of a runner and returns the response.
func (r *rig) heartbeat(id string, running []*protocol.RunProgress, finished ...*protocol.RunEnd) HeartbeatResponse {
	r.sequence++
	r.now += 10 * time.Millisecond
	return r.machine.HandleHeartbeat(r.now, &Heartbeat{Account: &protocol.RunnerAccount{Id: id}, Sequence: r.sequence, Running: running, Finished: finished})
}

// report lets time pass until the next report and returns it.
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

// nextOrders returns empty orders that answer a report.
func (r *rig) nextOrders(report *protocol.RunnerReport) *protocol.RunnerOrders {
	return &protocol.RunnerOrders{
		Epoch:      testEpoch,
		Session:    1,
		Sequence:   r.orders + 1,
		Runner:     report.GetAccount().GetId(),
		Companion:  report.GetIncarnation(),
		LeaseRound: report.GetLeaseRound(),
		LeaseMs:    uint32(testLease.Milliseconds()),
	}
}

func (r *rig) send(o *protocol.RunnerOrders) {
	r.orders = o.GetSequence()
	r.machine.HandleOrders(r.now, head, o)
}

// fullSync answers a report with a lease and all desired runs.
func (r *rig) fullSync(report *protocol.RunnerReport, runs []*protocol.RunOrder, drop ...*protocol.RunRef) {
	o := r.nextOrders(report)
	o.Full, o.Runs, o.Drop = true, runs, drop
	r.send(o)
}

// change answers a report with a lease and a change of the desired runs.
func (r *rig) change(report *protocol.RunnerReport, runs []*protocol.RunOrder, drop ...*protocol.RunRef) {
	o := r.nextOrders(report)
	o.Runs, o.Drop = runs, drop
	r.send(o)
}

func order(task string, number uint32) *protocol.RunOrder {
	return &protocol.RunOrder{Task: task, Run: number, Spec: "s"}
}

func running(task string, number uint32) []*protocol.RunProgress {
	return []*protocol.RunProgress{{Task: task, Run: number}}
}

func TestStartsUntilListed(t *testing.T) {
	r := newSyncedRig(t)
	r.change(r.report(), []*protocol.RunOrder{order("t", 1)})
	for range 3 {
		a := r.heartbeat("i1", nil)
		require.Len(t, a.Start, 1, "a response may be lost")
		require.EqualValues(t, 5, a.FencingToken)
		require.Positive(t, a.RunLease)
	}
	require.Empty(t, r.heartbeat("i1", running("t", 1)).Start)
	require.Empty(t, r.heartbeat("i1", nil, &protocol.RunEnd{Number: 1, Task: "t", Run: 1, How: "done"}).Start, "the run has ended")
	report := r.report()
	require.Len(t, report.GetEnds(), 1)
	require.Zero(t, r.heartbeat("i1", nil, report.GetEnds()...).Acknowledged, "the head has not acknowledged it")
	acknowledge := r.nextOrders(report)
	acknowledge.Sequence, acknowledge.LastSeen = r.orders, 1
	r.machine.HandleOrders(r.now, head, acknowledge)
	require.EqualValues(t, 1, r.heartbeat("i1", nil).Acknowledged)
	require.Empty(t, r.report().GetEnds())
}

func TestStopsUndesiredRuns(t *testing.T) {
	r := newSyncedRig(t)
	require.Len(t, r.heartbeat("i1", running("old", 3)).Stop, 1)
	r.change(r.report(), []*protocol.RunOrder{order("t", 1)})
	r.change(r.report(), nil, &protocol.RunRef{Task: "t", Run: 1})
	a := r.heartbeat("i1", nil)
	require.Empty(t, a.Start)
	require.Equal(t, "t", a.Stop[0].GetTask(), "its start may be on the way")
}

// TestRunLeasesEndWithinTheLease checks that run leases end within the lease, which counts from the sending of its request.
func TestRunLeasesEndWithinTheLease(t *testing.T) {
	r := newRig(t)
	r.heartbeat("i1", nil)
	report := r.report()
	requested := r.now
	r.now += 3 * time.Second // the answer is delayed
	r.fullSync(report, nil)
	for r.now < requested+testLease {
		a := r.heartbeat("i1", nil)
		require.LessOrEqual(t, r.now+a.RunLease, requested+testLease)
		r.now += 200 * time.Millisecond
	}
	require.Zero(t, r.heartbeat("i1", nil).RunLease)
	require.Empty(t, r.heartbeat("i1", nil).Start)
}

func TestNewProcessGrantsNoRunLease(t *testing.T) {
	r := newRig(t)
	require.Zero(t, r.heartbeat("i1", running("t", 1)).RunLease)
	require.Empty(t, r.heartbeat("i1", running("t", 1)).Stop, "the desired runs are not known yet")
}

func TestRunnerThatComesBack(t *testing.T) {
	r := newSyncedRig(t)
	r.change(r.report(), []*protocol.RunOrder{order("t", 1)})
	r.heartbeat("i1", running("t", 1))
	r.sequence = 0
	require.Empty(t, r.heartbeat("i2", nil).Start, "the new runner has no orders")
	require.Contains(t, r.report().GetGone(), "i1")
	stale := r.machine.HandleHeartbeat(r.now, &Heartbeat{Account: &protocol.RunnerAccount{Id: "i1"}, Sequence: 99})
	require.Zero(t, stale.RunLease, "a delayed heartbeat of the old runner")
	require.Equal(t, "i2", r.report().GetAccount().GetId())
}

// TestTimedOutRunnerIsRemoved checks that a runner is removed only after its longest run lease on the slowest clock, and
// that orders given before that are void.
func TestTimedOutRunnerIsRemoved(t *testing.T) {
	r := newSyncedRig(t)
	r.change(r.report(), []*protocol.RunOrder{order("t", 1)})
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
	r.heartbeat("i1", nil) // it was only out of contact
	r.machine.HandleOrders(r.now, head, &protocol.RunnerOrders{
		Epoch: testEpoch, Session: 1, Sequence: 9, Runner: "i1", Companion: previous, Full: true, Runs: []*protocol.RunOrder{order("t", 1)},
	})
	require.Empty(t, r.heartbeat("i1", nil).Start, "orders given before the removal")
}

func TestHealthChecksRemoveRunner(t *testing.T) {
	r := newSyncedRig(t)
	r.heartbeat("i1", nil)
	_, due := r.machine.NextHealthCheck(r.now + 100*time.Millisecond)
	require.False(t, due)
	r.now += time.Second
	id, due := r.machine.NextHealthCheck(r.now)
	require.True(t, due)
	r.machine.HealthCheckDone(r.now, id, true)
	require.Empty(t, r.report().GetGone(), "one refused check is not enough")
	r.machine.HealthCheckDone(r.now, id, false)
	r.machine.HealthCheckDone(r.now, id, true)
	require.Empty(t, r.report().GetGone(), "a connection was accepted in between")
	r.machine.HealthCheckDone(r.now, id, true)
	require.Contains(t, r.report().GetGone(), "i1")
}

func TestBusyRunnerTimesOutLater(t *testing.T) {
	r := newSyncedRig(t)
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
	r := newSyncedRig(t)
	r.change(r.report(), []*protocol.RunOrder{order("t", 2)})
	blocked := false
	for range 200 {
		a := r.heartbeat("i1", nil)
		blocked = blocked || len(a.Stop) > 0
		if len(a.Start) == 0 && len(a.Stop) == 0 {
			break
		}
		r.now += 40 * time.Millisecond
	}
	require.True(t, blocked, "the run may still start")
	report := r.report()
	require.Equal(t, "t", report.GetRefused()[0].GetTask())
	r.change(report, nil, &protocol.RunRef{Task: "t", Run: 2})
	require.Empty(t, r.report().GetRefused())
}

func TestOrdersOfOthersAreVoid(t *testing.T) {
	r := newSyncedRig(t)
	report := r.report()
	tests := []struct {
		name   string
		change func(*protocol.RunnerOrders)
	}{
		{"older epoch", func(o *protocol.RunnerOrders) { o.Epoch = testEpoch - 1 }},
		{"another agent process", func(o *protocol.RunnerOrders) { o.Companion++ }},
		{"another runner", func(o *protocol.RunnerOrders) { o.Runner = "i0" }},
		{"older session", func(o *protocol.RunnerOrders) { o.Session = 0 }},
		{"gap in the sequence", func(o *protocol.RunnerOrders) { o.Sequence++ }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			o := r.nextOrders(report)
			o.Runs = []*protocol.RunOrder{order("t", 1)}
			test.change(o)
			r.machine.HandleOrders(r.now, head, o)
			require.Empty(t, r.heartbeat("i1", nil).Start)
		})
	}
	require.EqualValues(t, r.orders, r.report().GetOrdersSeen(), "the gap is reported")
	// Orders that only renew the lease carry the newest sequence. They don't stand for those that were lost.
	r.machine.HandleOrders(r.now, head, r.nextOrders(report))
	require.EqualValues(t, r.orders, r.report().GetOrdersSeen())
}

func TestDrainingRunnerStartsNothing(t *testing.T) {
	r := newSyncedRig(t)
	r.change(r.report(), []*protocol.RunOrder{order("t", 1)})
	r.sequence++
	a := r.machine.HandleHeartbeat(r.now, &Heartbeat{Account: &protocol.RunnerAccount{Id: "i1", Draining: true}, Sequence: r.sequence})
	require.Empty(t, a.Start)
	require.True(t, r.report().GetAccount().GetDraining())
	r.machine.Deregister(r.now, "i1")
	require.True(t, r.report().GetSilent())
	r.now += time.Second
	require.Empty(t, r.report().GetGone(), "the runner may go on")
	r.machine.HealthCheckDone(r.now, "i1", true)
	r.machine.HealthCheckDone(r.now, "i1", true)
	require.Contains(t, r.report().GetGone(), "i1", "nothing listens there any more")
}

// TestDeregistrationIsNoEnd has a runner deregister and go on, with heartbeats that arrive seconds late: what it runs
// must not start elsewhere.
func TestDeregistrationIsNoEnd(t *testing.T) {
	r := newSyncedRig(t)
	r.change(r.report(), []*protocol.RunOrder{order("t", 1), order("u", 1)})
	r.heartbeat("i1", running("t", 1))
	r.machine.Deregister(r.now, "i1")
	for range 4 {
		for range 8 { // 1.6 s and more without a heartbeat
			report := r.report()
			require.Empty(t, report.GetGone())
			require.True(t, report.GetSilent(), "it has to get no more runs")
			r.change(report, nil)
		}
		require.Empty(t, r.heartbeat("i1", running("t", 1)).Start, "the runner is about to end")
	}
	id, due := r.machine.NextHealthCheck(r.now + time.Second)
	require.True(t, due, "it is checked until it has ended")
	r.machine.HealthCheckDone(r.now+time.Second, id, true)
	r.machine.HealthCheckDone(r.now+time.Second, id, true)
	require.Contains(t, r.report().GetGone(), "i1")
}

// TestDeregisteredRunnerWithoutHealthChecks checks that a deregistered runner is removed after its longest run lease on
// the slowest clock.
func TestDeregisteredRunnerWithoutHealthChecks(t *testing.T) {
	r := newSyncedRig(t)
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

// TestDroppedRunIsBlocked drops a run that the runner has not listed: the agent blocks it and then reports that it
// never starts, until which the head keeps its capacity.
func TestDroppedRunIsBlocked(t *testing.T) {
	r := newSyncedRig(t)
	r.change(r.report(), []*protocol.RunOrder{order("t", 1)})
	r.change(r.report(), nil, &protocol.RunRef{Task: "t", Run: 1})
	for range stopsToBlock + 1 {
		a := r.heartbeat("i1", nil)
		require.Len(t, a.Stop, 1)
		require.Empty(t, a.Start)
	}
	require.Empty(t, r.heartbeat("i1", nil).Stop, "the run is blocked for good")
	report := r.report()
	require.Len(t, report.GetRefused(), 1)
	r.change(report, nil, &protocol.RunRef{Task: "t", Run: 1})
	require.Empty(t, r.report().GetRefused(), "the head has acknowledged it")
}

// TestUnknownRunOfFullSyncIsBlocked drops a run that the agent has never known, and whose end the head waits for, in a
// full sync: the agent blocks it and reports that it never starts.
func TestUnknownRunOfFullSyncIsBlocked(t *testing.T) {
	r := newRig(t)
	r.heartbeat("i1", nil)
	r.fullSync(r.report(), nil, &protocol.RunRef{Task: "t", Run: 2}, &protocol.RunRef{Task: "u", Run: 1})
	require.Len(t, r.heartbeat("i1", running("u", 1)).Stop, 2)
	for range stopsToBlock + 2 {
		r.heartbeat("i1", nil, &protocol.RunEnd{Number: 1, Task: "u", Run: 1, How: "stopped"})
	}
	report := r.report()
	require.Len(t, report.GetRefused(), 1)
	require.Equal(t, "t", report.GetRefused()[0].GetTask())
	require.Len(t, report.GetEnds(), 1)
}

// TestOrdersThatComeAgain delivers an older full sync again after a newer one.
func TestOrdersThatComeAgain(t *testing.T) {
	r := newSyncedRig(t)
	report := r.report()
	older := r.nextOrders(report)
	older.Full, older.Runs = true, []*protocol.RunOrder{order("old", 1)}
	r.send(older)
	r.fullSync(report, []*protocol.RunOrder{order("new", 1)})
	r.machine.HandleOrders(r.now, head, older)
	a := r.heartbeat("i1", running("new", 1))
	require.Empty(t, a.Start)
	for _, stop := range a.Stop {
		require.NotEqual(t, "new", stop.GetTask(), "the run is desired")
	}
}

// TestDelayedHeartbeatIsIgnored has a heartbeat arrive after a later one: it neither ends a run that the later one lists nor
// brings back one that it does not.
func TestDelayedHeartbeatIsIgnored(t *testing.T) {
	r := newSyncedRig(t)
	r.change(r.report(), []*protocol.RunOrder{order("t", 1)})
	r.heartbeat("i1", running("t", 1))
	r.sequence -= 2
	delayed := r.heartbeat("i1", running("old", 3))
	require.Empty(t, delayed.Stop, "its lists are out of date")
	r.sequence++
	require.Empty(t, r.heartbeat("i1", running("t", 1)).Start)
}
