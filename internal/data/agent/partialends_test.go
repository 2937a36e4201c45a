package agent

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"frosttide/internal/protocol"
)

// outstandingEnds is a number of ends of which a heartbeat lists only a part.
const outstandingEnds = maxListedEnds + 3

// endedRuns returns the ends of run 1 of many tasks, in the order of their numbers.
func endedRuns(how string) (ends []*protocol.RunEnd) {
	for i := range outstandingEnds {
		ends = append(ends, &protocol.RunEnd{Number: uint64(i + 1), Task: fmt.Sprintf("t%03d", i), Run: 1, How: how})
	}
	return ends
}

// ordersOf returns the orders to start the runs of some ends.
func ordersOf(ends []*protocol.RunEnd) (orders []*protocol.RunOrder) {
	for _, end := range ends {
		orders = append(orders, order(end.GetTask(), end.GetRun()))
	}
	return orders
}

// refsOf returns references to the runs of some ends.
func refsOf(ends []*protocol.RunEnd) (refs []*protocol.RunRef) {
	for _, end := range ends {
		refs = append(refs, &protocol.RunRef{Task: end.GetTask(), Run: end.GetRun()})
	}
	return refs
}

// progressOf returns the runs of some ends as a runner lists them before these ends.
func progressOf(ends []*protocol.RunEnd) (progress []*protocol.RunProgress) {
	for _, end := range ends {
		progress = append(progress, &protocol.RunProgress{Task: end.GetTask(), Run: end.GetRun()})
	}
	return progress
}

// TestEndsBeyondTheListAreNotRefusals guards against tasks that run twice, and failures that do not
// count, after the head was away: a run that has ended behind the 500 ends that a heartbeat lists was
// reported as refused.
func TestEndsBeyondTheListAreNotRefusals(t *testing.T) {
	tests := []struct {
		name   string
		how    string
		before func(h *harness, ends []*protocol.RunEnd) // the runs begin
		during func(h *harness, ends []*protocol.RunEnd) // the heartbeats list a part of the ends
	}{
		{"the head is away", "done", runAll, nil},
		{"failed ends", "failed", runAll, nil},
		{"no heartbeat between start and end", "done", startAll, nil},
		{"the runs are dropped", "stopped", runAll, func(h *harness, ends []*protocol.RunEnd) {
			h.change(h.report(), nil, refsOf(ends)...)
		}},
		{"the agent is back", "done", startAgentAgain, nil},
		{"a full sync lists the runs", "done", runAll, func(h *harness, ends []*protocol.RunEnd) {
			h.fullSync(h.report(), ordersOf(ends))
		}},
		{"a full sync leaves the runs out", "done", runAll, func(h *harness, _ []*protocol.RunEnd) {
			h.fullSync(h.report(), nil)
		}},
		{"a full sync stops the runs", "done", startAgentAgain, func(h *harness, ends []*protocol.RunEnd) {
			h.fullSync(h.report(), nil, refsOf(ends)...)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h, ends := newSyncedHarness(t), endedRuns(test.how)
			test.before(h, ends)
			h.heartbeat("i1", nil, ends[:maxListedEnds]...)
			if test.during != nil {
				test.during(h, ends)
			}
			for range 2 * int(startTimeout/(50*time.Millisecond)) {
				h.now += 40 * time.Millisecond
				response := h.heartbeat("i1", nil, ends[:maxListedEnds]...)
				require.Positive(t, response.RunLease)
				h.requireNoRefusals()
			}
			acknowledge := h.nextOrders(h.report())
			acknowledge.Sequence, acknowledge.LastSeen = h.orders, maxListedEnds
			h.machine.HandleOrders(h.now, headAddress, acknowledge)
			for range 2 * stopsToBlock {
				h.heartbeat("i1", nil, ends[maxListedEnds:]...)
				h.requireNoRefusals()
			}
			require.Len(t, h.report().GetEnds(), outstandingEnds-maxListedEnds)
		})
	}
}

// startAll orders the runs and has their starts sent.
func startAll(h *harness, ends []*protocol.RunEnd) {
	h.change(h.report(), ordersOf(ends))
	h.heartbeat("i1", nil)
}

// runAll orders the runs and has the runner list them.
func runAll(h *harness, ends []*protocol.RunEnd) {
	startAll(h, ends)
	h.heartbeat("i1", progressOf(ends))
}

// startAgentAgain replaces the agent by a new process, which knows the runs only from the head.
func startAgentAgain(h *harness, ends []*protocol.RunEnd) {
	h.machine = New(Config{Incarnation: 200, MaxRunLease: 6 * time.Second, Contacts: []string{"seed"}}, h.now)
	h.machine.SetView(h.now, testEpoch, headAddress)
	h.heartbeat("i1", nil, ends[:maxListedEnds]...)
	h.orders = 0
	h.fullSync(h.report(), ordersOf(ends))
}

// requireNoRefusals requires that the agent has no refused run to report.
func (h *harness) requireNoRefusals() {
	h.t.Helper()
	require.Empty(h.t, h.machine.runner.refused, "run reported as refused that has ended")
}

// TestStartsBesideUnlistedEnds checks that a new run starts, and that one which never begins is
// refused in the end, although the runner had more ends than it lists at once.
func TestStartsBesideUnlistedEnds(t *testing.T) {
	h, ends := newSyncedHarness(t), endedRuns("done")
	runAll(h, ends)
	h.change(h.report(), []*protocol.RunOrder{order("new", 1)})
	for range 2 * int(startTimeout/(50*time.Millisecond)) {
		h.now += 40 * time.Millisecond
		response := h.heartbeat("i1", nil, ends[:maxListedEnds]...)
		require.Len(t, response.Start, 1, "starts: the new run, and none that has begun")
		require.Equal(t, "new", response.Start[0].GetTask())
	}
	for range stopsToBlock + 1 {
		require.Len(t, h.heartbeat("i1", nil, ends[maxListedEnds:]...).Stop, 1)
	}
	require.Contains(t, h.machine.runner.refused, "new")
}
