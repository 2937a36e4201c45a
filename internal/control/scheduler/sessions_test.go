package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"frosttide/internal/control/jobs"
	"frosttide/internal/protocol"
)

// TestLostRunnersTasksStartElsewhere checks that the task of a lost runner is started on another runner, but not before
// the lost runner's lease is over.
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
	require.Empty(t, h.started("c2"), "the task was started again while the lease of its runner may last")
	reportFor(3 * time.Second)
	require.Equal(t, map[string]uint32{id + ".0.0.0": 2}, h.started("c2"))
	// The lost runner reports again. It is sent no runs, and the end of its old run is ignored.
	h.report("c1", "i1", ends("done", &protocol.RunEnd{Number: 1, Task: id + ".0.0.0", Run: 1}))
	h.commit()
	require.Empty(t, h.started("c1"))
	require.Equal(t, jobs.Running, h.scheduler.Jobs().Get(id).State)
}

// TestNewRunnerIDLosesOldRuns checks that the runs of an agent's earlier runner are lost when the agent registers a runner
// with a new ID, even if the earlier one has never registered with this head.
func TestNewRunnerIDLosesOldRuns(t *testing.T) {
	h := newHarness(t)
	h.register("c1", "i1")
	id := h.submit(1, "fast", stage(1, 1000))
	h.elect() // the runner has not registered with the new head
	h.register("c1", "i9")
	require.Equal(t, map[string]uint32{id + ".0.0.0": 2}, h.started("c1"))
}

// TestNewHeadRestoresRuns checks that a new head takes over the live runs with their reservations, and starts no second
// run of their tasks.
func TestNewHeadRestoresRuns(t *testing.T) {
	h := newHarness(t)
	h.register("c1", "i1")
	id := h.submit(1, "fast", stage(3, 1000))
	h.elect()
	h.register("c1", "i1")
	require.Equal(t, map[string]uint32{id + ".0.0.0": 1, id + ".0.0.1": 1, id + ".0.0.2": 1}, h.started("c1"))
	h.submit(2, "fast", stage(2, 1000))
	require.Len(t, h.started("c1"), 4, "a new head does not count the reservations of live runs")
}

// TestDrainingRunnerIsEmptied checks that a draining runner keeps only the runs that will end in time and gets no new ones.
func TestDrainingRunnerIsEmptied(t *testing.T) {
	h := newHarness(t)
	h.register("c1", "i1")
	longRunning, long, short := stage(1, 500), stage(1, 500), stage(1, 500)
	longRunning.LongRunning, long.EstimateMs, short.EstimateMs = true, 60000, 100
	h.submit(1, "fast", longRunning)
	h.submit(2, "slow", long)
	id := h.submit(3, "fast", short)
	h.report("c1", "i1", func(report *protocol.RunnerReport) { report.Account.Draining, report.Account.RemainingMs = true, 2000 })
	h.commit()
	require.Equal(t, map[string]uint32{id + ".0.0.0": 1}, h.started("c1"))
	h.submit(4, "fast", stage(1, 100))
	require.NotContains(t, h.started("c1"), "0000000000000004.0.0.0")
}

// TestStaleReportsAreIgnored checks that a report that arrives after a newer one is ignored. Otherwise the report of an
// earlier runner on the machine would remove the present runner and its runs.
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
		require.Contains(t, h.scheduler.runners, "i2", "a stale report has removed a runner that has a run")
		require.Contains(t, h.scheduler.runners["i2"].live, id+".0.0.0", "a stale report has removed a run")
	}
	requireIgnored(stale, 1)
	h.report("c1", "i2", func(report *protocol.RunnerReport) { report.Incarnation = 2 })
	h.commit()
	requireIgnored(h.reportNumber+1, 1) // newer number, but an earlier incarnation
}

// TestLeaseCountsFromTheConfirmation checks that a lease is counted from the last confirmation of the head's epoch, not
// from the report that the lease answers.
func TestLeaseCountsFromTheConfirmation(t *testing.T) {
	h := newHarness(t)
	h.register("a", "i1")
	confirmed := h.now
	const confirmationAge = 5 * time.Second
	h.now += confirmationAge
	h.scheduler.Tick(h.now, h.wall(), confirmed)
	h.report("a", "i1")
	h.collect()
	granted := h.orders["a"][len(h.orders["a"])-1]
	require.Positive(t, granted.GetLeaseMs())
	require.LessOrEqual(t, time.Duration(granted.GetLeaseMs())*time.Millisecond, h.scheduler.cfg.Lease-confirmationAge)
	require.LessOrEqual(t, h.scheduler.sessions["a"].leaseExpiry, confirmed+h.scheduler.cfg.Lease)
}
