package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"frosttide/internal/control/jobs"
	"frosttide/internal/protocol"
)

func TestStartsOnlyWhatIsCommitted(t *testing.T) {
	h := newHarness(t)
	h.register("c1", "i1")
	h.lastRequest++
	request := submitRequest(&protocol.Submit{Id: "0000000000000001", Queue: "fast", Stages: []*protocol.Stage{stage(2, 1000)}})
	request.Id = h.lastRequest
	h.scheduler.HandleRequest("client", request)
	require.True(t, h.append())
	h.collect()
	require.Empty(t, h.started("c1"), "the runs are not committed")
	h.scheduler.Committed(h.now, h.index)
	h.collect()
	require.Equal(t, map[string]uint32{"0000000000000001.0.0.0": 1, "0000000000000001.0.0.1": 1}, h.started("c1"))
}

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
	require.Zero(t, h.lastOrders("c1").GetLastSeen())
	h.commit()
	require.EqualValues(t, 1, h.lastOrders("c1").GetLastSeen())
	require.Equal(t, jobs.Completed, h.scheduler.Jobs().Get(id).State)
	previous := h.index
	h.report("c1", "i1", end())
	h.commit()
	require.Equal(t, previous, h.index, "an end that is listed again changes nothing")
}

// TestFullSyncWaitsForCommit checks that a full sync without runs that an entry declares lost is sent only once that
// entry is committed.
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
		require.False(t, o.GetFull())
	}
	h.commit()
	require.True(t, h.lastOrders("c1").GetFull())
}

func TestCanceledJobIsStopped(t *testing.T) {
	h := newHarness(t)
	h.register("c1", "i1")
	id := h.submit(1, "fast", stage(2, 1000))
	h.cancel(id)
	require.Empty(t, h.started("c1"))
	require.EqualValues(t, 2000, h.scheduler.runners["i1"].fleetRunner.Used().CPU, "what is being stopped still counts")
	h.report("c1", "i1", ends("stopped", &protocol.RunEnd{Number: 1, Task: id + ".0.0.0", Run: 1}, &protocol.RunEnd{Number: 2, Task: id + ".0.0.1", Run: 1}))
	h.commit()
	require.Zero(t, h.scheduler.runners["i1"].fleetRunner.Used().CPU)
}

func TestRefusedStartGoesElsewhere(t *testing.T) {
	h := newHarness(t)
	h.register("c1", "i1")
	id := h.submit(1, "fast", stage(1, 1000))
	h.report("c1", "i1", refuses(&protocol.RunRef{Task: id + ".0.0.0", Run: 1}))
	h.commit()
	require.Equal(t, uint32(2), h.started("c1")[id+".0.0.0"])
}

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
	require.Len(t, h.started("c1"), 1)
}

// TestCancelOfUnsentRun checks that the reservation of a run is released whose job was canceled before its agent got a
// full sync: the agent has never been sent the run and can list no end of it.
func TestCancelOfUnsentRun(t *testing.T) {
	h := newHarness(t)
	h.register("c1", "i1")
	h.report("c1", "i1", func(report *protocol.RunnerReport) { report.Incarnation = 2 }) // it needs a full sync
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
	require.Len(t, dropped, 2, "the agent is to report their ends")
	require.Equal(t, 2, h.scheduler.runners["i1"].fleetRunner.ReservationCount())
	tasks := h.scheduler.Status().Runners[0].Tasks
	require.Len(t, tasks, 2)
	require.Equal(t, RunStatus{Task: id + ".0.0.0", Run: 1, State: "canceled", Stopping: true}, tasks[0], "an operator sees what has the reservation")
	h.report("c1", "i1", refuses(dropped...))
	h.commit()
	require.Zero(t, h.scheduler.runners["i1"].fleetRunner.ReservationCount())
	previous := len(h.orders["c1"])
	h.report("c1", "i1", refuses(dropped...))
	h.commit()
	var forgotten []*protocol.RunRef
	for _, o := range h.orders["c1"][previous:] {
		forgotten = append(forgotten, o.GetDrop()...)
	}
	require.Len(t, forgotten, 2, "the agent may forget them")
	h.elect()
	require.Zero(t, h.scheduler.runners["i1"].fleetRunner.ReservationCount(), "their ends are in the store")
}

// TestLostOrdersUnderNewOnes checks that an agent that has missed orders gets a full sync though newer orders are sent
// all the time.
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
		h.report("c1", "i1", func(report *protocol.RunnerReport) { report.OrdersSeen = applied }) // the first was lost
		h.commit()
	}
	again := false
	for _, o := range h.orders["c1"][previous:] {
		again = again || o.GetFull()
	}
	require.True(t, again)
}
