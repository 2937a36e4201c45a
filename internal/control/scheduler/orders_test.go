package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"frosttide/internal/control/jobs"
	"frosttide/internal/protocol"
)

// TestStartsOnlyWhatIsCommitted checks that the order to start a run is sent only once the record of the start is
// committed.
func TestStartsOnlyWhatIsCommitted(t *testing.T) {
	h := newHarness(t)
	h.register("c1", "i1")
	h.lastRequest++
	request := submitRequest(&protocol.Submit{Id: "0000000000000001", Queue: "fast", Stages: []*protocol.Stage{stage(2, 1000)}})
	request.Id = h.lastRequest
	h.scheduler.HandleRequest("client", request)
	require.True(t, h.append())
	h.collect()
	require.Empty(t, h.started("c1"), "runs were ordered to start before their entry was committed")
	h.scheduler.Committed(h.now, h.index)
	h.collect()
	require.Equal(t, map[string]uint32{"0000000000000001.0.0.0": 1, "0000000000000001.0.0.1": 1}, h.started("c1"))
}

// TestEndsAreAcknowledgedOnceCommitted checks that a run end is acknowledged only once it is committed, and that a
// repeated end changes nothing.
func TestEndsAreAcknowledgedOnceCommitted(t *testing.T) {
	h := newHarness(t)
	h.register("c1", "i1")
	id := h.submit(1, "fast", stage(1, 1000))
	end := func() func(*protocol.RunnerReport) {
		return ends("done", &protocol.RunEnd{Number: 1, Task: id + ".0.0.0", Run: 1})
	}
	h.report("c1", "i1", end())
	require.True(t, h.append())
	h.collect()
	require.Zero(t, h.lastOrders("c1").GetLastSeen(), "the end was acknowledged before it was committed")
	h.commit()
	require.EqualValues(t, 1, h.lastOrders("c1").GetLastSeen())
	require.Equal(t, jobs.Completed, h.scheduler.Jobs().Get(id).State)
	previous := h.index
	h.report("c1", "i1", end())
	h.commit()
	require.Equal(t, previous, h.index, "a repeated end led to an entry")
}

// TestFullSyncWaitsForCommit checks that a full sync that omits lost runs is sent only once the entry that declares the
// runs lost is committed.
func TestFullSyncWaitsForCommit(t *testing.T) {
	h := newHarness(t)
	h.register("c1", "i1")
	h.submit(1, "fast", stage(1, 1000))
	h.now += 14 * time.Second // the runner is lost
	require.True(t, h.append())
	previous := len(h.orders["c1"])
	h.report("c1", "i1")
	h.append()
	h.collect()
	for _, o := range h.orders["c1"][previous:] {
		require.False(t, o.GetFull(), "a full sync was sent before the entry was committed")
	}
	h.commit()
	require.True(t, h.lastOrders("c1").GetFull(), "no full sync was sent after the commit")
}

// TestCanceledJobIsStopped checks that the runs of a canceled job are stopped, and keep their reservations until they end.
func TestCanceledJobIsStopped(t *testing.T) {
	h := newHarness(t)
	h.register("c1", "i1")
	id := h.submit(1, "fast", stage(2, 1000))
	h.cancel(id)
	require.Empty(t, h.started("c1"))
	require.EqualValues(t, 2000, h.scheduler.runners["i1"].fleetRunner.Used().CPU, "runs that are being stopped keep their reservations")
	h.report("c1", "i1", ends("stopped", &protocol.RunEnd{Number: 1, Task: id + ".0.0.0", Run: 1}, &protocol.RunEnd{Number: 2, Task: id + ".0.0.1", Run: 1}))
	h.commit()
	require.Zero(t, h.scheduler.runners["i1"].fleetRunner.Used().CPU, "the reservations of stopped runs are not released")
}

// TestRefusedStartGoesElsewhere checks that a task whose run was refused gets a new run.
func TestRefusedStartGoesElsewhere(t *testing.T) {
	h := newHarness(t)
	h.register("c1", "i1")
	id := h.submit(1, "fast", stage(1, 1000))
	h.report("c1", "i1", refuses(&protocol.RunRef{Task: id + ".0.0.0", Run: 1}))
	h.commit()
	require.Equal(t, uint32(2), h.started("c1")[id+".0.0.0"])
}

// TestUnappliedOrdersAreSentAgain checks that orders that an agent has lost are sent again.
func TestUnappliedOrdersAreSentAgain(t *testing.T) {
	h := newHarness(t)
	h.register("c1", "i1")
	h.submit(1, "fast", stage(1, 1000))
	lost := h.orders["c1"]
	h.orders["c1"] = nil
	for range 12 {
		h.now += 100 * time.Millisecond
		h.report("c1", "i1", func(report *protocol.RunnerReport) { report.OrdersSeen = lost[0].GetSequence() })
		h.commit()
	}
	require.Len(t, h.started("c1"), 1, "the lost start was not sent again")
}

// TestCancelOfUnsentRun checks that the reservation of a run is released if its job is canceled while the agent waits for
// a full sync. The agent was never sent the run, so it can't report its end; it has to refuse the run.
func TestCancelOfUnsentRun(t *testing.T) {
	h := newHarness(t)
	h.register("c1", "i1")
	h.report("c1", "i1", func(report *protocol.RunnerReport) { report.Incarnation = 2 }) // a new incarnation needs a full sync
	id := h.submit(1, "fast", stage(2, 1000))
	h.cancel(id)
	h.now += time.Second
	h.elect()
	h.report("c1", "i1")
	h.commit()
	require.Empty(t, h.started("c1"))
	var dropped []*protocol.RunRef
	for _, o := range h.orders["c1"] {
		if o.GetFull() {
			dropped = o.GetDrop()
		}
	}
	require.Len(t, dropped, 2, "the full sync does not ask the agent to drop the canceled runs")
	require.Equal(t, 2, h.scheduler.runners["i1"].fleetRunner.ReservationCount())
	tasks := h.scheduler.Status().Runners[0].Tasks
	require.Len(t, tasks, 2)
	require.Equal(t, RunStatus{Task: id + ".0.0.0", Run: 1, State: "canceled", Stopping: true}, tasks[0], "the status does not show the run that has a reservation")
	h.report("c1", "i1", refuses(dropped...))
	h.commit()
	require.Zero(t, h.scheduler.runners["i1"].fleetRunner.ReservationCount(), "the reservations of refused runs are not released")
	previous := len(h.orders["c1"])
	h.report("c1", "i1", refuses(dropped...))
	h.commit()
	var forgotten []*protocol.RunRef
	for _, o := range h.orders["c1"][previous:] {
		forgotten = append(forgotten, o.GetDrop()...)
	}
	require.Len(t, forgotten, 2, "the agent was not told to forget the refused runs")
	h.elect()
	require.Zero(t, h.scheduler.runners["i1"].fleetRunner.ReservationCount(), "a new head does not know that the runs have ended")
}

// TestLostOrdersUnderNewOnes checks that an agent that has missed orders gets a full sync even while newer orders are
// sent to it continually.
func TestLostOrdersUnderNewOnes(t *testing.T) {
	h := newHarness(t)
	h.register("c1", "i1")
	h.report("c1", "i1")
	h.commit()
	applied := h.lastOrders("c1").GetSequence()
	previous := len(h.orders["c1"])
	for i := range 20 {
		h.now += 100 * time.Millisecond
		h.submit(i+1, "fast", stage(1, 10))
		h.report("c1", "i1", func(report *protocol.RunnerReport) { report.OrdersSeen = applied }) // the orders after applied were lost
		h.commit()
	}
	resynced := false
	for _, o := range h.orders["c1"][previous:] {
		resynced = resynced || o.GetFull()
	}
	require.True(t, resynced, "no full sync was sent to an agent that has missed orders")
}
