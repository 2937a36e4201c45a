package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"frosttide/internal/protocol"
)

// TestReportsLongestWaitingStep checks that the longest waiting step is reported once per overdueInterval.
func TestReportsLongestWaitingStep(t *testing.T) {
	h := newHarness(t)
	h.register("c0", "w0")
	h.submit(1, "slow", &protocol.Stage{Count: 1, Cpu: 4000, MemMb: 1, EstimateMs: 60_000})
	h.submit(2, "slow", &protocol.Stage{Count: 3, Cpu: 3000, MemMb: 1, EstimateMs: 60_000})
	require.Empty(t, h.scheduler.TakeEvents())
	reported := 0
	for range 100 {
		h.now += 100 * time.Millisecond
		h.report("c0", "w0")
		h.commit()
		for _, event := range h.scheduler.TakeEvents() {
			require.Equal(t, "Step waits for runners", event.Message)
			require.Equal(t, 3, event.Value("waitingTasks"))
			require.Equal(t, 0, event.Value("step"))
			require.Equal(t, "0000000000000002", event.Value("job"))
			require.Contains(t, event.Value("reason"), "1 are full")
			reported++
		}
	}
	require.Equal(t, 2, reported, "want one report after 5 s and one after 10 s")
}

// TestCounters checks the counters of a service over starts, failures, completions, unknown end reasons and lost runs.
func TestCounters(t *testing.T) {
	h := newHarness(t)
	h.register("c0", "w0")
	h.submit(1, "slow", &protocol.Stage{Count: 6, Cpu: 1000, MemMb: 1, EstimateMs: 60_000})
	status := h.scheduler.Status().Services["svc"]
	require.EqualValues(t, 6, status.Ready)
	require.EqualValues(t, 2, status.Blocked, "four of the six tasks fit")
	require.EqualValues(t, 4, status.Started)
	require.Equal(t, 2, status.WaitingTasks)
	require.Equal(t, 1, status.WaitingSteps)
	h.endFirst("w0", "failed")
	h.endFirst("w0", "done")
	h.commit()
	status = h.scheduler.Status().Services["svc"]
	require.EqualValues(t, 7, status.Ready, "the failed task becomes ready again")
	require.EqualValues(t, 6, status.Started)
	require.Equal(t, map[string]uint64{"failed": 1, "done": 1}, status.Ended)
	require.Equal(t, 1, status.WaitingTasks)
	h.endFirst("w0", "unknown reason")
	h.commit()
	status = h.scheduler.Status().Services["svc"]
	require.EqualValues(t, 1, status.Ended[endOther])
	h.scheduler.declareLost("w0")
	h.commit()
	status = h.scheduler.Status().Services["svc"]
	require.EqualValues(t, 4, status.Ended["lost"])
	require.Equal(t, 5, status.WaitingTasks)
}
