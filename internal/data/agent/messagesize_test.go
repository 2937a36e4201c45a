package agent

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"frosttide/internal/protocol"
)

// Texts of the greatest length whose characters JSON writes with six bytes each.
var (
	longestSpec       = strings.Repeat("\x01", 4000)
	longestCheckpoint = strings.Repeat("\x02", protocol.MaxCheckpointBytes)
)

// manyOrders returns orders to start one run each of many tasks, with the longest specs; one in ten has
// the longest checkpoint.
func manyOrders(count int) (orders []*protocol.RunOrder) {
	for i := range count {
		o := &protocol.RunOrder{Task: fmt.Sprintf("t%05d", i), Run: 1, Spec: longestSpec}
		if i%10 == 0 {
			o.Saved = longestCheckpoint
		}
		orders = append(orders, o)
	}
	return orders
}

// TestEachStartComesInBoundedResponses guards against responses that a runner does not take because of
// their size, so that no run of it starts: each start comes within some responses, also where every
// third one is lost.
func TestEachStartComesInBoundedResponses(t *testing.T) {
	const count = 600
	h := newSyncedHarness(t)
	h.change(h.report(), manyOrders(count))
	var begun []*protocol.RunProgress
	responses := 0
	for ; len(begun) < count; responses++ {
		require.Less(t, responses, 200, "%d of %d runs have begun", len(begun), count)
		response := h.heartbeat("i1", begun)
		require.Less(t, len(response.Encode()), maxResponseBytes)
		require.Positive(t, response.RunLease)
		if responses%3 == 2 {
			continue // the response is lost
		}
		for _, start := range response.Start {
			begun = append(begun, &protocol.RunProgress{Task: start.GetTask(), Run: start.GetRun()})
		}
	}
	require.Empty(t, h.machine.runner.refused, "run refused whose turn had not come")
}

// TestIgnoredStartsGiveWay checks that starts without effect do not keep the others from being sent.
func TestIgnoredStartsGiveWay(t *testing.T) {
	h := newSyncedHarness(t)
	h.change(h.report(), manyOrders(600))
	sent := make(map[string]bool)
	for range 60 {
		for _, start := range h.heartbeat("i1", nil).Start {
			sent[start.GetTask()] = true
		}
	}
	require.Len(t, sent, 600)
}

// TestStopsAreBounded guards against stops that make a response too large, or that leave no room for a
// start: all runs are stopped in the end.
func TestStopsAreBounded(t *testing.T) {
	const count = 150_000
	h := newSyncedHarness(t)
	name := func(i int) string { return fmt.Sprintf("0123456789abcdef.0.0.%06d", i) }
	var runs []*protocol.RunProgress
	for i := range count {
		runs = append(runs, &protocol.RunProgress{Task: name(i), Run: 1})
	}
	h.change(h.report(), []*protocol.RunOrder{order("new", 1)})
	for responses := 0; len(runs) > 0; responses++ {
		require.Less(t, responses, 20)
		response := h.heartbeat("i1", runs)
		require.Less(t, len(response.Encode()), maxResponseBytes)
		require.Len(t, response.Start, 1, "no room for the start")
		runs = runs[len(response.Stop):] // they are listed in the same order
	}
}

// TestReportsAreBounded guards against a report that no link takes: ends with long checkpoints and
// refusals come in several reports, each end before the refusals.
func TestReportsAreBounded(t *testing.T) {
	const count = 20
	h := newSyncedHarness(t)
	for i := range 50_000 {
		h.machine.runner.refused[fmt.Sprintf("0123456789abcdef.0.0.%06d", i)] = 1
	}
	var ends []*protocol.RunEnd
	for i := range count {
		ends = append(ends, &protocol.RunEnd{Number: uint64(i + 1), Task: fmt.Sprint("t", i), Run: 1, How: "failed", Saved: longestCheckpoint})
	}
	h.heartbeat("i1", nil, ends...)
	reported, refused := uint64(0), 0
	for reports := 0; len(h.machine.runner.refused) > 0; reports++ {
		require.Less(t, reports, 40)
		h.heartbeat("i1", nil)
		report := h.report()
		require.Less(t, proto.Size(report), 2*protocol.MaxListBytes)
		for _, end := range report.GetEnds() {
			require.Equal(t, reported+1, end.GetNumber(), "an end is missing")
			reported++
		}
		if len(report.GetRefused()) > 0 {
			require.EqualValues(t, count, reported, "a refusal before an end that was seen")
		}
		refused += len(report.GetRefused())
		acknowledge := h.nextOrders(report)
		acknowledge.LastSeen, acknowledge.Drop = reported, report.GetRefused()
		if len(acknowledge.Drop) == 0 {
			acknowledge.Sequence = h.orders // they change no run
		}
		h.send(acknowledge)
	}
	require.Equal(t, 50_000, refused)
}

// TestLongCheckpointIsLeftOut checks that a checkpoint which could never be sent back is not kept.
func TestLongCheckpointIsLeftOut(t *testing.T) {
	body := func(checkpoint string) []byte {
		return []byte(`{"Running":[["t",1,"` + checkpoint + `",5]],"Finished":[[1,"u",1,"stopped","` + checkpoint + `"]]}`)
	}
	longest := strings.Repeat("a", protocol.MaxCheckpointBytes)
	b, err := ParseHeartbeat("i1", body(longest))
	require.NoError(t, err)
	require.Equal(t, longest, b.Finished[0].GetSaved())
	b, err = ParseHeartbeat("i1", body(longest+"a"))
	require.NoError(t, err)
	require.Empty(t, b.Finished[0].GetSaved())
	require.Empty(t, b.Running[0].GetSaved())
}

// TestFullSyncInParts checks that the parts of a full sync are applied together, and only if none of
// them is missing; until then the runs of the one before go on.
func TestFullSyncInParts(t *testing.T) {
	h := newSyncedHarness(t)
	h.change(h.report(), []*protocol.RunOrder{order("old", 1)})
	part := func(sequence uint64, number uint32, task string) *protocol.RunnerOrders {
		o := h.nextOrders(h.report())
		o.Sequence, o.Full, o.Part, o.Parts, o.Runs = sequence, true, number, 3, []*protocol.RunOrder{order(task, 1)}
		return o
	}
	requireDesired := func(tasks ...string) {
		t.Helper()
		var starts []string
		for _, start := range h.heartbeat("i1", nil).Start {
			starts = append(starts, start.GetTask())
		}
		require.Equal(t, tasks, starts)
	}
	first := h.orders + 1
	h.send(part(first, 0, "a"))
	require.EqualValues(t, first, h.report().GetOrdersSeen(), "the part is not acknowledged")
	h.send(part(first+2, 2, "c"))
	require.EqualValues(t, first, h.report().GetOrdersSeen(), "a part after a gap is acknowledged")
	requireDesired("old")
	h.send(part(first+3, 0, "a")) // the head begins again
	h.send(part(first+4, 1, "b"))
	h.send(part(first+4, 1, "b")) // a duplicate
	requireDesired("old")
	h.send(part(first+5, 2, "c"))
	requireDesired("a", "b", "c")
	require.Contains(t, h.machine.runner.blockedRuns, "old")
	require.EqualValues(t, first+5, h.report().GetOrdersSeen())
	h.now += time.Second
	h.machine.HandleOrders(h.now, headAddress, part(first+1, 1, "x")) // delayed
	requireDesired("a", "b", "c")
}
