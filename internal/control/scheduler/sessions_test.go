package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"frosttide/internal/control/jobs"
	"frosttide/internal/protocol"
)

func TestLostRunnersTasksStartElsewhere(t *testing.T) {
	h := newHarness(t)
	h.register("c1", "i1")
	id := h.submit(1, "fast", stage(1, 1000))
	require.Len(t, h.started("c1"), 1)
	h.register("c2", "i2")
	reportFor := func(d time.Duration) {
		for until := h.now + d; h.now < until; h.now += 100 * time.Millisecond {
			h.report("c2", "i2")
			h.commit()
		}
	}
	reportFor(11 * time.Second)
	require.Empty(t, h.started("c2"), "the runner may run on for its lease")
	reportFor(3 * time.Second)
	require.Equal(t, map[string]uint32{id + ".0.0.0": 2}, h.started("c2"))
	// It comes back and is ordered to run nothing; an end of its old run changes nothing.
	h.report("c1", "i1", ends("done", &protocol.RunEnd{Number: 1, Task: id + ".0.0.0", Run: 1}))
	h.commit()
	require.Empty(t, h.started("c1"))
	require.Equal(t, jobs.Running, h.scheduler.Jobs().Get(id).State)
}

func TestNewRunnerIDLosesOldRuns(t *testing.T) {
	h := newHarness(t)
	h.register("c1", "i1")
	id := h.submit(1, "fast", stage(1, 1000))
	h.elect() // the runner has not registered with the new head
	h.register("c1", "i9")
	require.Equal(t, map[string]uint32{id + ".0.0.0": 2}, h.started("c1"))
}

// TestNewHeadRestoresRuns checks that a new head wants what runs, and starts nothing twice.
func TestNewHeadRestoresRuns(t *testing.T) {
	h := newHarness(t)
	h.register("c1", "i1")
	id := h.submit(1, "fast", stage(3, 1000))
	h.elect()
	h.register("c1", "i1")
	require.Equal(t, map[string]uint32{id + ".0.0.0": 1, id + ".0.0.1": 1, id + ".0.0.2": 1}, h.started("c1"))
	h.submit(2, "fast", stage(2, 1000))
	require.Len(t, h.started("c1"), 4, "the reservations of the runs are known")
}

func TestDrainingRunnerIsEmptied(t *testing.T) {
	h := newHarness(t)
	h.register("c1", "i1")
	lasting, long, short := stage(1, 500), stage(1, 500), stage(1, 500)
	lasting.LongRunning, long.EstimateMs, short.EstimateMs = true, 60000, 100
	h.submit(1, "fast", lasting)
	h.submit(2, "slow", long)
	id := h.submit(3, "fast", short)
	h.report("c1", "i1", func(report *protocol.RunnerReport) { report.Account.Draining, report.Account.RemainingMs = true, 2000 })
	h.commit()
	require.Equal(t, map[string]uint32{id + ".0.0.0": 1}, h.started("c1"))
	h.submit(4, "fast", stage(1, 100))
	require.NotContains(t, h.started("c1"), "0000000000000004.0.0.0")
}

// TestStaleReportsAreIgnored has reports arrive again after later ones: what they say of a runner that was there
// earlier, or of runs that have ended, must not undo what the head has learned since.
func TestStaleReportsAreIgnored(t *testing.T) {
	h := newHarness(t)
	h.register("c1", "i1")
	stale := h.reportNumber
	h.register("c1", "i2")
	id := h.submit(1, "fast", stage(1, 1000))
	require.Len(t, h.started("c1"), 1)
	requireIgnored := func(reportNumber, incarnation uint64) {
		t.Helper()
		h.scheduler.HandleReport(h.now, "c1", &protocol.RunnerReport{Incarnation: incarnation, LeaseRound: reportNumber, Gone: []string{"i2"},
			Account: &protocol.RunnerAccount{Id: "i1", Service: "svc"}})
		h.commit()
		require.Contains(t, h.scheduler.runners, "i2", "it is there and runs a task")
		require.Contains(t, h.scheduler.runners["i2"].live, id+".0.0.0")
	}
	requireIgnored(stale, 1)
	h.report("c1", "i2", func(report *protocol.RunnerReport) { report.Incarnation = 2 })
	h.commit()
	requireIgnored(h.reportNumber+1, 1) // of an earlier incarnation
}

// TestLeaseCountsFromTheConfirmation has a head whose epoch was last confirmed some time ago grant a lease: it ends when one
// granted at the confirmation would.
func TestLeaseCountsFromTheConfirmation(t *testing.T) {
	h := newHarness(t)
	h.register("a", "i1")
	confirmed := h.now
	const since = 5 * time.Second
	h.now += since
	h.scheduler.Tick(h.now, h.wall(), confirmed)
	h.report("a", "i1")
	h.collect()
	granted := h.orders["a"][len(h.orders["a"])-1]
	require.Positive(t, granted.GetLeaseMs())
	require.LessOrEqual(t, time.Duration(granted.GetLeaseMs())*time.Millisecond, h.scheduler.cfg.Lease-since)
	require.LessOrEqual(t, h.scheduler.sessions["a"].leaseExpiry, confirmed+h.scheduler.cfg.Lease)
}
