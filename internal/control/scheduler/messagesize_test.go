package scheduler

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"frosttide/internal/protocol"
)

// longestSpec is a spec of the greatest length in characters and bytes.
var longestSpec = strings.Repeat("\U0001f3f4", 4000)

// registerLarge registers an agent whose runner has room for count small tasks.
func (h *harness) registerLarge(agent, runner string, count int, changes ...func(*protocol.RunnerReport)) {
	h.reportLarge(agent, runner, count, changes...)
	h.commit()
	h.reportLarge(agent, runner, count, changes...)
	h.commit()
}

// reportLarge delivers a report of an agent whose runner has room for count small tasks, with all orders applied.
func (h *harness) reportLarge(agent, runner string, count int, changes ...func(*protocol.RunnerReport)) {
	large := func(report *protocol.RunnerReport) {
		report.Account.Capacity = &protocol.Capacity{Cpu: int64(50 * count), MemMb: int64(10 * count)}
		report.TakesParts = true
	}
	h.report(agent, runner, append([]func(*protocol.RunnerReport){large}, changes...)...)
}

// largeRequest returns the submission of a job of many small tasks with the longest spec.
func largeRequest(id, count int) *protocol.ClientRequest {
	return submitRequest(&protocol.Submit{Id: jobID(id), Queue: "fast", Spec: longestSpec, Stages: []*protocol.Stage{{Count: uint32(count), Cpu: 50, MemMb: 10}}})
}

// submitLarge submits a job of many small tasks with the longest spec.
func (h *harness) submitLarge(id, count int) {
	h.t.Helper()
	h.lastRequest++
	request := largeRequest(id, count)
	request.Id = h.lastRequest
	h.scheduler.HandleRequest("client", request)
	h.append()
	require.EqualValues(h.t, http.StatusOK, h.replies[h.lastRequest].GetStatus())
}

// requireBoundedOrders requires that no message to an agent is much larger than protocol.MaxListBytes.
func (h *harness) requireBoundedOrders(agent string) {
	h.t.Helper()
	for _, o := range h.orders[agent] {
		require.Less(h.t, proto.Size(o), 3*protocol.MaxListBytes/2)
	}
}

// TestOrdersAreBounded guards against orders that fill a link with one message: the starts of a large job come in several
// messages, the later ones once the agent has applied the earlier ones, and all of them come.
func TestOrdersAreBounded(t *testing.T) {
	const count = 1000
	h := newHarness(t)
	h.registerLarge("c0", "w0", count)
	h.submitLarge(1, count)
	h.commit()
	require.NotEmpty(t, h.started("c0"))
	require.Less(t, len(h.started("c0")), count, "all starts were sent before any was applied")
	for range 20 {
		h.reportLarge("c0", "w0", count)
		h.commit()
	}
	h.requireBoundedOrders("c0")
	require.Len(t, h.started("c0"), count)
	h.cancel(jobID(1))
	h.reportLarge("c0", "w0", count)
	h.commit()
	require.Empty(t, h.started("c0"))
}

// TestFullSyncComesInParts checks that a full sync of many runs comes in parts with consecutive sequence numbers, one after
// the other is applied, that what is decided meanwhile follows, and that an agent of an earlier version gets it whole.
func TestFullSyncComesInParts(t *testing.T) {
	const count = 1000
	h := newHarness(t)
	h.registerLarge("c0", "w0", 2*count)
	h.submitLarge(1, count)
	h.commit()
	h.elect()
	h.reportLarge("c0", "w0", 2*count)
	h.commit()
	h.submitLarge(2, 1)
	for range 20 {
		h.reportLarge("c0", "w0", 2*count)
		h.commit()
	}
	h.requireBoundedOrders("c0")
	runs, parts, total := 0, uint32(0), uint32(0)
	for _, o := range h.orders["c0"] {
		if !o.GetFull() {
			continue
		}
		require.Equal(t, parts, o.GetPart())
		require.Greater(t, o.GetParts(), uint32(1))
		parts, total = parts+1, o.GetParts()
		runs += len(o.GetRuns())
	}
	require.Equal(t, total, parts)
	require.Equal(t, count, runs)
	require.Equal(t, jobID(2)+".0.0.0", h.lastChange("c0").GetRuns()[0].GetTask(), "what was decided before the last part")

	h.elect()
	h.reportLarge("c0", "w0", 2*count, func(report *protocol.RunnerReport) { report.TakesParts = false })
	h.commit()
	require.Len(t, h.lastChange("c0").GetRuns(), count+1)
	require.Zero(t, h.lastChange("c0").GetParts())
}

// lastChange returns the newest orders to an agent that change its set of runs.
func (h *harness) lastChange(agent string) *protocol.RunnerOrders {
	h.t.Helper()
	for i := len(h.orders[agent]) - 1; i >= 0; i-- {
		if o := h.orders[agent][i]; o.GetFull() || len(o.GetRuns()) > 0 || len(o.GetDrop()) > 0 {
			return o
		}
	}
	h.t.Fatal("no change of the runs")
	return nil
}

// TestPartThatIsLost checks that a full sync begins again if a part is not applied.
func TestPartThatIsLost(t *testing.T) {
	const count = 1000
	h := newHarness(t)
	h.registerLarge("c0", "w0", count)
	h.submitLarge(1, count)
	h.commit()
	h.elect()
	h.reportLarge("c0", "w0", count)
	h.commit()
	h.reportLarge("c0", "w0", count)
	applied := h.lastChange("c0").GetSequence()
	stuck := func(report *protocol.RunnerReport) { report.OrdersSeen = applied }
	for range 10 {
		h.now += fullSyncRetryAfter / 5
		h.reportLarge("c0", "w0", count, stuck)
		h.commit()
	}
	again := 0
	for _, o := range h.orders["c0"] {
		if o.GetFull() && o.GetPart() == 0 {
			again++
		}
	}
	require.Greater(t, again, 1, "no new full sync")
	for range 20 {
		h.reportLarge("c0", "w0", count)
		h.commit()
	}
	require.True(t, h.scheduler.runners["w0"].fleetRunner.Usable)
}

// TestEntriesAreBounded guards against an entry that no link takes: what is started at once is bounded, and the rest is
// started with the next entries.
func TestEntriesAreBounded(t *testing.T) {
	const count = 10_000
	h := newHarness(t)
	for i := range 4 {
		for j := range 5 {
			h.registerLarge(agentName(5*i+j), runnerName(5*i+j), count/5)
		}
	}
	for i := range 4 {
		h.scheduler.HandleRequest("client", largeRequest(1+i, count))
	}
	entries := 0
	for ; len(h.runnersByTask()) < 4*count; entries++ {
		require.Less(t, entries, 40)
		e := h.entry()
		require.NotNil(t, e, "tasks are left although there is room")
		require.Less(t, proto.Size(e), 3*protocol.MaxListBytes/2)
		h.index++
		h.store.Apply(e.GetPuts(), e.GetDeletes())
		h.scheduler.Appended(h.index)
	}
	require.Greater(t, entries, 1, "all tasks were started in one entry")
}

// TestLongCheckpointIsNotSent checks that a checkpoint of a length that an earlier version has kept, or that an agent of an
// earlier version reports, is not sent.
func TestLongCheckpointIsNotSent(t *testing.T) {
	tooLong := strings.Repeat("a", protocol.MaxCheckpointBytes+1)
	end := &protocol.RunEnd{Saved: tooLong[1:]}
	require.NotEmpty(t, checkpointOf(end))
	end.Saved = tooLong
	require.Empty(t, checkpointOf(end))
	h := newHarness(t)
	h.register("c0", "w0")
	id := h.submit(1, "fast", stage(1, 100))
	task := id + ".0.0.0"
	run := h.scheduler.runners["w0"].live[task]
	run.checkpoint = tooLong
	require.Empty(t, runOrder(task, run).GetSaved())
}

// TestStatusIsBounded checks that the status of a job with very many steps and tasks is bounded.
func TestStatusIsBounded(t *testing.T) {
	const count = maxListedTasks
	h := newHarness(t)
	for i := range 10 {
		h.registerLarge(agentName(i), runnerName(i), 2*count/10)
	}
	stages := []*protocol.Stage{{Count: count, Cpu: 50, MemMb: 10}, {Count: count, Cpu: 50, MemMb: 10}}
	id := h.submit(1, "fast", stages...)
	h.lastRequest++
	request := submitRequest(&protocol.Submit{Id: jobID(2), Queue: "fast", Stages: []*protocol.Stage{stage(1, 64_000)}, MaxRuns: maxListedSteps + 5, StartAtMs: 1, IntervalMs: 1})
	request.Id = h.lastRequest
	h.scheduler.HandleRequest("client", request)
	for range 20 {
		h.commit()
	}
	details, ok := h.scheduler.JobDetails(id)
	require.True(t, ok)
	require.Len(t, append(details.Steps[0].Tasks, details.Steps[1].Tasks...), maxListedTasks)
	details, ok = h.scheduler.JobDetails(jobID(2))
	require.True(t, ok)
	require.Len(t, details.Steps, maxListedSteps)
	require.Equal(t, maxListedSteps+4, details.Steps[maxListedSteps-1].Occurrence, "the newest steps")
	listed := 0
	for _, r := range h.scheduler.Status().Runners {
		listed += len(r.Tasks)
	}
	require.Equal(t, maxListedRuns, listed)
}
