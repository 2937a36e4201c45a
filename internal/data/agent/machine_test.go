package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"frosttide/internal/protocol"
)

const headAddress = "head" // internal address of the head

const (
	testEpoch = 5
	testLease = 12 * time.Second
)

// harness runs an agent on simulated time. The test acts as its head and as its runner.
type harness struct {
	t        *testing.T
	machine  *Machine
	now      time.Duration
	sequence uint64 // sequence of the newest heartbeat
	orders   uint64 // sequence of the newest orders
}

// newHarness returns a harness whose agent knows the head and has no runner.
func newHarness(t *testing.T) *harness {
	t.Helper()
	cfg := Config{Incarnation: 100, MaxRunLease: 6 * time.Second, Contacts: []string{"seed"}}
	h := &harness{t: t, machine: New(cfg, 0), now: time.Second}
	h.machine.SetView(h.now, testEpoch, headAddress)
	return h
}

// newSyncedHarness returns a harness whose agent has a lease and the runner i1, and has applied a
// full sync without runs.
func newSyncedHarness(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t)
	require.Zero(t, h.heartbeat("i1", nil).RunLease, "run lease granted without a lease of the head")
	h.fullSync(h.report(), nil)
	return h
}

// heartbeat advances the time by 10 ms, sends a heartbeat of a runner and returns the response.
func (h *harness) heartbeat(id string, running []*protocol.RunProgress, finished ...*protocol.RunEnd) HeartbeatResponse {
	h.sequence++
	h.now += 10 * time.Millisecond
	return h.machine.HandleHeartbeat(h.now, &Heartbeat{Account: &protocol.RunnerAccount{Id: id}, Sequence: h.sequence, Running: running, Finished: finished})
}

// report advances the time until the agent sends its next report, and returns the report.
func (h *harness) report() *protocol.RunnerReport {
	h.t.Helper()
	for range 100 {
		h.now += 20 * time.Millisecond
		h.machine.Tick(h.now)
		for _, s := range h.machine.TakeSends() {
			if s.Message.GetRunnerReport() != nil {
				return s.Message.GetRunnerReport()
			}
		}
	}
	h.t.Fatal("no report within 2 s")
	return nil
}

// nextOrders returns orders in response to a report, with the next sequence and no changes.
func (h *harness) nextOrders(report *protocol.RunnerReport) *protocol.RunnerOrders {
	return &protocol.RunnerOrders{
		Epoch:      testEpoch,
		Session:    1,
		Sequence:   h.orders + 1,
		Runner:     report.GetAccount().GetId(),
		Companion:  report.GetIncarnation(),
		LeaseRound: report.GetLeaseRound(),
		LeaseMs:    uint32(testLease.Milliseconds()),
	}
}

// send delivers orders of the head to the agent.
func (h *harness) send(o *protocol.RunnerOrders) {
	h.orders = o.GetSequence()
	h.machine.HandleOrders(h.now, headAddress, o)
}

// fullSync responds to a report with a lease and a full sync of the desired runs.
func (h *harness) fullSync(report *protocol.RunnerReport, runs []*protocol.RunOrder, drop ...*protocol.RunRef) {
	o := h.nextOrders(report)
	o.Full, o.Runs, o.Drop = true, runs, drop
	h.send(o)
}

// change responds to a report with a lease and a change of the desired runs.
func (h *harness) change(report *protocol.RunnerReport, runs []*protocol.RunOrder, drop ...*protocol.RunRef) {
	o := h.nextOrders(report)
	o.Runs, o.Drop = runs, drop
	h.send(o)
}

func order(task string, number uint32) *protocol.RunOrder {
	return &protocol.RunOrder{Task: task, Run: number, Spec: "s"}
}

func running(task string, number uint32) []*protocol.RunProgress {
	return []*protocol.RunProgress{{Task: task, Run: number}}
}

// TestStartsUntilListed checks that a start is repeated until the runner lists the run, and that
// the end of the run is reported until the head acknowledges it.
func TestStartsUntilListed(t *testing.T) {
	h := newSyncedHarness(t)
	h.change(h.report(), []*protocol.RunOrder{order("t", 1)})
	for range 3 {
		response := h.heartbeat("i1", nil)
		require.Len(t, response.Start, 1, "start not repeated although responses may be lost")
		require.EqualValues(t, 5, response.FencingToken)
		require.Positive(t, response.RunLease)
	}
	require.Empty(t, h.heartbeat("i1", running("t", 1)).Start)
	require.Empty(t, h.heartbeat("i1", nil, &protocol.RunEnd{Number: 1, Task: "t", Run: 1, How: "done"}).Start, "start of a run that has ended")
	report := h.report()
	require.Len(t, report.GetEnds(), 1)
	require.Zero(t, h.heartbeat("i1", nil, report.GetEnds()...).Acknowledged, "end acknowledged before the head did so")
	acknowledge := h.nextOrders(report)
	acknowledge.Sequence, acknowledge.LastSeen = h.orders, 1
	h.machine.HandleOrders(h.now, headAddress, acknowledge)
	require.EqualValues(t, 1, h.heartbeat("i1", nil).Acknowledged)
	require.Empty(t, h.report().GetEnds())
}

func TestStopsUndesiredRuns(t *testing.T) {
	h := newSyncedHarness(t)
	require.Len(t, h.heartbeat("i1", running("old", 3)).Stop, 1)
	h.change(h.report(), []*protocol.RunOrder{order("t", 1)})
	h.change(h.report(), nil, &protocol.RunRef{Task: "t", Run: 1})
	response := h.heartbeat("i1", nil)
	require.Empty(t, response.Start)
	require.Equal(t, "t", response.Stop[0].GetTask(), "no stop although the start may be in flight")
}

// TestRunLeasesEndWithinTheLease checks that run leases expire no later than the lease, which
// counts from the time when the agent sent the request for it.
func TestRunLeasesEndWithinTheLease(t *testing.T) {
	h := newHarness(t)
	h.heartbeat("i1", nil)
	report := h.report()
	requested := h.now
	h.now += 3 * time.Second // the response of the head is delayed
	h.fullSync(report, nil)
	for h.now < requested+testLease {
		response := h.heartbeat("i1", nil)
		require.LessOrEqual(t, h.now+response.RunLease, requested+testLease)
		h.now += 200 * time.Millisecond
	}
	require.Zero(t, h.heartbeat("i1", nil).RunLease)
	require.Empty(t, h.heartbeat("i1", nil).Start)
}

// TestNewProcessGrantsNoRunLease checks that an agent neither grants a run lease nor stops runs
// before its first full sync.
func TestNewProcessGrantsNoRunLease(t *testing.T) {
	h := newHarness(t)
	require.Zero(t, h.heartbeat("i1", running("t", 1)).RunLease)
	require.Empty(t, h.heartbeat("i1", running("t", 1)).Stop, "stop of a run before the desired runs are known")
}

// TestRunnerUnderNewIDReplacesOldOne checks that a heartbeat with a new ID replaces the runner, and
// that a delayed heartbeat of the old runner does not bring it back.
func TestRunnerUnderNewIDReplacesOldOne(t *testing.T) {
	h := newSyncedHarness(t)
	h.change(h.report(), []*protocol.RunOrder{order("t", 1)})
	h.heartbeat("i1", running("t", 1))
	h.sequence = 0
	require.Empty(t, h.heartbeat("i2", nil).Start, "the new runner got a start for the old one")
	require.Contains(t, h.report().GetGone(), "i1")
	stale := h.machine.HandleHeartbeat(h.now, &Heartbeat{Account: &protocol.RunnerAccount{Id: "i1"}, Sequence: 99})
	require.Zero(t, stale.RunLease, "run lease for a delayed heartbeat of the old runner")
	require.Equal(t, "i2", h.report().GetAccount().GetId())
}

// TestTimedOutRunnerIsRemoved checks that a timed-out runner is removed only after its run lease
// has expired on the slowest clock allowed, and that orders sent before the removal are void.
func TestTimedOutRunnerIsRemoved(t *testing.T) {
	h := newSyncedHarness(t)
	h.change(h.report(), []*protocol.RunOrder{order("t", 1)})
	runLease := h.heartbeat("i1", running("t", 1)).RunLease
	last := h.now
	for h.now < last+runLease {
		require.Empty(t, h.report().GetGone())
	}
	report := h.report()
	previous := report.GetIncarnation()
	for len(report.GetGone()) == 0 {
		report = h.report()
	}
	require.Greater(t, h.now, last+runLease+time.Duration(0.02*float64(runLease)), "removed before the run lease expired on a clock that is 2% slow")
	require.NotEqual(t, previous, report.GetIncarnation())
	h.heartbeat("i1", nil) // the runner had only lost contact
	h.machine.HandleOrders(h.now, headAddress, &protocol.RunnerOrders{
		Epoch: testEpoch, Session: 1, Sequence: 9, Runner: "i1", Companion: previous, Full: true, Runs: []*protocol.RunOrder{order("t", 1)},
	})
	require.Empty(t, h.heartbeat("i1", nil).Start, "start by orders sent before the removal")
}

// TestHealthChecksRemoveRunner checks that minRefusedChecks consecutive refused health checks
// remove a timed-out runner, and that an accepted connection resets the count.
func TestHealthChecksRemoveRunner(t *testing.T) {
	h := newSyncedHarness(t)
	h.heartbeat("i1", nil)
	_, due := h.machine.NextHealthCheck(h.now + 100*time.Millisecond)
	require.False(t, due)
	h.now += time.Second
	id, due := h.machine.NextHealthCheck(h.now)
	require.True(t, due)
	h.machine.HealthCheckDone(h.now, id, true)
	require.Empty(t, h.report().GetGone(), "removed after one refused health check")
	h.machine.HealthCheckDone(h.now, id, false)
	h.machine.HealthCheckDone(h.now, id, true)
	require.Empty(t, h.report().GetGone(), "removed although a connection was accepted in between")
	h.machine.HealthCheckDone(h.now, id, true)
	require.Contains(t, h.report().GetGone(), "i1")
}

// TestBusyRunnerTimesOutLater checks that a runner with 40 runs is not timed out after 600 ms
// without a heartbeat, but after 1 s.
func TestBusyRunnerTimesOutLater(t *testing.T) {
	h := newSyncedHarness(t)
	var many []*protocol.RunProgress
	for i := range 40 {
		many = append(many, &protocol.RunProgress{Task: string(rune('a' + i)), Run: 1})
	}
	h.heartbeat("i1", many)
	_, due := h.machine.NextHealthCheck(h.now + 600*time.Millisecond)
	require.False(t, due)
	_, due = h.machine.NextHealthCheck(h.now + time.Second)
	require.True(t, due)
}

// TestIneffectiveStartIsRefused checks that a run which the runner never lists is stopped and then
// reported as refused until the head drops it.
func TestIneffectiveStartIsRefused(t *testing.T) {
	h := newSyncedHarness(t)
	h.change(h.report(), []*protocol.RunOrder{order("t", 2)})
	blocked := false
	for range 200 {
		response := h.heartbeat("i1", nil)
		blocked = blocked || len(response.Stop) > 0
		if len(response.Start) == 0 && len(response.Stop) == 0 {
			break
		}
		h.now += 40 * time.Millisecond
	}
	require.True(t, blocked, "no stop was sent although the run may still start")
	report := h.report()
	require.Equal(t, "t", report.GetRefused()[0].GetTask())
	h.change(report, nil, &protocol.RunRef{Task: "t", Run: 2})
	require.Empty(t, h.report().GetRefused())
}

// TestOrdersOfOthersAreVoid checks that orders for another process, runner, epoch or session are
// not applied, nor orders after a gap in the sequence.
func TestOrdersOfOthersAreVoid(t *testing.T) {
	h := newSyncedHarness(t)
	report := h.report()
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
			o := h.nextOrders(report)
			o.Runs = []*protocol.RunOrder{order("t", 1)}
			test.change(o)
			h.machine.HandleOrders(h.now, headAddress, o)
			require.Empty(t, h.heartbeat("i1", nil).Start)
		})
	}
	require.EqualValues(t, h.orders, h.report().GetOrdersSeen(), "the report acknowledges orders after the gap")
	// Orders that only renew the lease carry the newest sequence. They must not be taken for orders
	// that were lost.
	h.machine.HandleOrders(h.now, headAddress, h.nextOrders(report))
	require.EqualValues(t, h.orders, h.report().GetOrdersSeen())
}

// TestDrainingRunnerStartsNothing checks that a draining runner gets no starts, and that it is
// removed once health checks show that it has exited after its deregistration.
func TestDrainingRunnerStartsNothing(t *testing.T) {
	h := newSyncedHarness(t)
	h.change(h.report(), []*protocol.RunOrder{order("t", 1)})
	h.sequence++
	response := h.machine.HandleHeartbeat(h.now, &Heartbeat{Account: &protocol.RunnerAccount{Id: "i1", Draining: true}, Sequence: h.sequence})
	require.Empty(t, response.Start)
	require.True(t, h.report().GetAccount().GetDraining())
	h.machine.Deregister(h.now, "i1")
	require.True(t, h.report().GetSilent())
	h.now += time.Second
	require.Empty(t, h.report().GetGone(), "removed although the runner may still be running")
	h.machine.HealthCheckDone(h.now, "i1", true)
	h.machine.HealthCheckDone(h.now, "i1", true)
	require.Contains(t, h.report().GetGone(), "i1", "not removed although nothing listens at its address")
}

// TestDeregistrationIsNoEnd guards against runs that execute twice: a runner that has deregistered
// may continue, with heartbeats that arrive seconds late. It must not be reported as removed while
// it runs, or the head would start its runs elsewhere.
func TestDeregistrationIsNoEnd(t *testing.T) {
	h := newSyncedHarness(t)
	h.change(h.report(), []*protocol.RunOrder{order("t", 1), order("u", 1)})
	h.heartbeat("i1", running("t", 1))
	h.machine.Deregister(h.now, "i1")
	for range 4 {
		for range 8 { // 1.6 s and more without a heartbeat
			report := h.report()
			require.Empty(t, report.GetGone())
			require.True(t, report.GetSilent(), "the head may still place runs on the deregistered runner")
			h.change(report, nil)
		}
		require.Empty(t, h.heartbeat("i1", running("t", 1)).Start, "start on a runner that is about to exit")
	}
	id, due := h.machine.NextHealthCheck(h.now + time.Second)
	require.True(t, due, "no health check although the runner may not have exited")
	h.machine.HealthCheckDone(h.now+time.Second, id, true)
	h.machine.HealthCheckDone(h.now+time.Second, id, true)
	require.Contains(t, h.report().GetGone(), "i1")
}

// TestDeregisteredRunnerWithoutHealthChecks checks that a deregistered runner is removed only after
// its run lease has expired on the slowest clock allowed.
func TestDeregisteredRunnerWithoutHealthChecks(t *testing.T) {
	h := newSyncedHarness(t)
	runLease := h.heartbeat("i1", running("t", 1)).RunLease
	last := h.now
	h.machine.Deregister(h.now, "i1")
	for h.now < last+runLease {
		require.Empty(t, h.report().GetGone())
	}
	h.now += time.Second
	require.Contains(t, h.report().GetGone(), "i1")
}

// TestQueriesAllContactsWithoutHead checks that an agent without a head queries its contacts for a
// view in rotation.
func TestQueriesAllContactsWithoutHead(t *testing.T) {
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

// TestDroppedRunIsBlocked drops a run that the runner has not listed. The agent must block the run
// before it reports it as refused, since the head then frees the run's capacity.
func TestDroppedRunIsBlocked(t *testing.T) {
	h := newSyncedHarness(t)
	h.change(h.report(), []*protocol.RunOrder{order("t", 1)})
	h.change(h.report(), nil, &protocol.RunRef{Task: "t", Run: 1})
	for range stopsToBlock + 1 {
		response := h.heartbeat("i1", nil)
		require.Len(t, response.Stop, 1)
		require.Empty(t, response.Start)
	}
	require.Empty(t, h.heartbeat("i1", nil).Stop, "stop of a run that is already refused")
	report := h.report()
	require.Len(t, report.GetRefused(), 1)
	h.change(report, nil, &protocol.RunRef{Task: "t", Run: 1})
	require.Empty(t, h.report().GetRefused(), "refusal reported again after the head acknowledged it")
}

// TestUnknownRunOfFullSyncIsBlocked has a full sync drop a run that the agent does not know and
// whose end the head waits for. The agent must block the run and report it as refused, unless the
// runner lists it and reports its end.
func TestUnknownRunOfFullSyncIsBlocked(t *testing.T) {
	h := newHarness(t)
	h.heartbeat("i1", nil)
	h.fullSync(h.report(), nil, &protocol.RunRef{Task: "t", Run: 2}, &protocol.RunRef{Task: "u", Run: 1})
	require.Len(t, h.heartbeat("i1", running("u", 1)).Stop, 2)
	for range stopsToBlock + 2 {
		h.heartbeat("i1", nil, &protocol.RunEnd{Number: 1, Task: "u", Run: 1, How: "stopped"})
	}
	report := h.report()
	require.Len(t, report.GetRefused(), 1)
	require.Equal(t, "t", report.GetRefused()[0].GetTask())
	require.Len(t, report.GetEnds(), 1)
}

// TestOrdersThatComeAgain checks that an older full sync which is delivered again after a newer one
// is not applied.
func TestOrdersThatComeAgain(t *testing.T) {
	h := newSyncedHarness(t)
	report := h.report()
	older := h.nextOrders(report)
	older.Full, older.Runs = true, []*protocol.RunOrder{order("old", 1)}
	h.send(older)
	h.fullSync(report, []*protocol.RunOrder{order("new", 1)})
	h.machine.HandleOrders(h.now, headAddress, older)
	response := h.heartbeat("i1", running("new", 1))
	require.Empty(t, response.Start)
	for _, stop := range response.Stop {
		require.NotEqual(t, "new", stop.GetTask(), "stop of a run that is desired")
	}
}

// TestDelayedHeartbeatIsIgnored has a heartbeat arrive after a later one. It must neither remove a
// run that the later one lists nor bring back a run that the later one does not list.
func TestDelayedHeartbeatIsIgnored(t *testing.T) {
	h := newSyncedHarness(t)
	h.change(h.report(), []*protocol.RunOrder{order("t", 1)})
	h.heartbeat("i1", running("t", 1))
	h.sequence -= 2
	delayed := h.heartbeat("i1", running("old", 3))
	require.Empty(t, delayed.Stop, "stop by the outdated list of a delayed heartbeat")
	h.sequence++
	require.Empty(t, h.heartbeat("i1", running("t", 1)).Start)
}
