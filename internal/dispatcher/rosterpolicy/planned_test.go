package rosterpolicy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestWarmAfterPlannedRestart checks whether a runner that was warm before a planned restart of the
// dispatcher counts as warm afterwards, depending on the evidence since the start.
//
// Regression: on a busy machine a probe timed out and the runner was withheld; at its next response
// it counted as cold ("a stored runner is judged ... why=silent", then "fresh, possibly cold"), so
// a warm fleet refused half of its usual load. Runners were presumed not to have restarted only at
// the moment of the dispatcher's start. A runner that restarts refuses or breaks connections; a
// timeout alone does not show a restart.
func TestWarmAfterPlannedRestart(t *testing.T) {
	const warmUp = 30 * time.Second
	start := 1000 * time.Hour
	type observation struct {
		after    time.Duration // since the dispatcher's start
		evidence Evidence
	}
	for _, c := range []struct {
		name     string
		downtime time.Duration // 0 for an unplanned shutdown
		observed []observation
		wantWarm bool
	}{
		{"no evidence", time.Second, nil, true},
		{"answers", time.Second, []observation{{time.Second, Answered}}, true},
		{"one timeout", time.Second, []observation{{time.Second, TimedOut}, {2 * time.Second, Answered}}, true},
		{"timeouts for less than the window", time.Second, []observation{{time.Second, TimedOut}, {3 * time.Second, TimedOut}, {5 * time.Second, Answered}}, true},
		{"repeated timeouts with answers between", time.Second, []observation{{time.Second, TimedOut}, {4 * time.Second, Answered}, {6 * time.Second, TimedOut}, {9 * time.Second, Answered}}, true},
		{"timeouts for longer than the window", time.Second, []observation{{time.Second, TimedOut}, {4 * time.Second, TimedOut}, {7 * time.Second, Answered}}, false},
		{"connection refused", time.Second, []observation{{time.Second, Refused}, {2 * time.Second, Answered}}, false},
		{"timeout, then connection refused", time.Second, []observation{{time.Second, TimedOut}, {2 * time.Second, Refused}, {3 * time.Second, Answered}}, false},
		{"connection broken", time.Second, []observation{{time.Second, Broken}, {2 * time.Second, Answered}}, false},
		{"reports that it is unhealthy", time.Second, []observation{{time.Second, Busy}, {2 * time.Second, Answered}}, true},
		{"unplanned shutdown", 0, []observation{{time.Second, TimedOut}, {2 * time.Second, Answered}}, false},
		{"long downtime of the dispatcher", time.Minute, []observation{{time.Second, TimedOut}, {2 * time.Second, Answered}}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			cfg := Config{Fresh: 2 * time.Minute, Old: time.Hour, Max: 2 * time.Hour, ProbeRate: 10, Dispatchers: 1, WarmUp: warmUp, PlannedDowntime: c.downtime}
			table := New(cfg, start, []Stored{{UID: "s-1", Addr: "a", Confirmed: start - time.Second}}, 1)
			for _, o := range c.observed {
				table.Observe(start+o.after, "s-1", o.evidence)
			}
			standing, warmingUpSince, reason := table.Standing("s-1")
			require.Equal(t, Used, standing, reason)
			require.Equal(t, c.wantWarm, warmingUpSince+warmUp <= start, reason)
			wantCold := 1
			if c.wantWarm {
				wantCold = 0
			}
			require.Equal(t, wantCold, table.CountWarmingUp(start))
		})
	}
}
