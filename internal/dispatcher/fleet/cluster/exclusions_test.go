package cluster

import (
	"fmt"
	"testing"
	"time"

	"frosttide/internal/dispatcher/fleet/ledger"
	"frosttide/internal/dispatcher/fleet/quorum"
)

// recordingDispatcher is a dispatcher that records the exclusions.
type recordingDispatcher struct {
	Dispatcher
	out map[string]bool
}

func (d *recordingDispatcher) Exclude(uid string, out bool, _ time.Time) { d.out[uid] = out }

// TestApplyAhead checks that an order takes effect as soon as it is acknowledged to the operator,
// although the local log delivers its entry, and older ones, later; and that the entry with the
// highest index wins.
func TestApplyAhead(t *testing.T) {
	// An update is the function that applies it (ahead for applyAhead, log for applyExclusion), the
	// entry's index and its operation, as in: log 7 exclude.
	for name, tc := range map[string]struct {
		updates string
		want    []bool // whether the runner is excluded, after each update
	}{
		"by the log alone":              {"log 3 exclude log 4 include", []bool{true, false}},
		"ahead of the log":              {"ahead 7 exclude log 5 include log 6 exclude log 7 exclude log 8 include", []bool{true, true, true, true, false}},
		"after the log":                 {"log 7 exclude log 8 include ahead 7 exclude", []bool{true, false, false}},
		"two ahead, in reverse order":   {"ahead 8 include ahead 7 exclude log 7 exclude log 8 include", []bool{false, false, false, false}},
		"included ahead of the log":     {"log 3 exclude ahead 6 include log 5 exclude log 6 include log 7 exclude", []bool{true, false, false, false, true}},
		"snapshot beyond the entry":     {"ahead 7 exclude log 9 include", []bool{true, false}},
		"snapshot before the entry":     {"ahead 7 exclude log 4 include", []bool{true, true}},
		"the same entry twice in a row": {"ahead 7 exclude ahead 7 exclude", []bool{true, true}},
	} {
		dispatcher := &recordingDispatcher{out: map[string]bool{}}
		c := &Cluster{dispatcher: dispatcher, excluded: map[string]bool{}, appliedAhead: map[string]uint64{}, exclusionFiles: newExclusionWriter("", "", nil)}
		var origin, effect string
		var index uint64
		rest := tc.updates
		for i, want := range tc.want {
			if _, err := fmt.Sscan(rest, &origin, &index, &effect); err != nil {
				t.Fatal(err)
			}
			rest = rest[min(len(origin)+len(effect)+len(fmt.Sprint(index))+3, len(rest)):]
			op := ledger.Include
			if effect == "exclude" {
				op = ledger.Exclude
			}
			d := ledger.Done{Entry: ledger.Entry{Op: op, UID: "s-1"}, Index: index, Changed: true}
			if origin == "ahead" {
				c.applyAhead(d, 0)
			} else {
				c.applyExclusion(d)
			}
			if got := dispatcher.out["s-1"]; got != want {
				t.Errorf("%s: after update %d, %s %d %s: excluded = %t, want the opposite", name, i+1, origin, index, effect, got)
			}
		}
	}
}

// TestAheadIsBounded checks that the indexes of entries applied ahead of the log are dropped once
// the log has passed them, even those of entries without effect, which the log never delivers.
func TestAheadIsBounded(t *testing.T) {
	c := &Cluster{dispatcher: &recordingDispatcher{out: map[string]bool{}}, excluded: map[string]bool{}, appliedAhead: map[string]uint64{}, exclusionFiles: newExclusionWriter("", "", nil)}
	for i := range uint64(100) {
		c.applyAhead(ledger.Done{Entry: ledger.Entry{Op: ledger.Exclude, UID: fmt.Sprint(i)}, Index: 10 + i}, 0)
	}
	c.applyExclusion(ledger.Done{Entry: ledger.Entry{Op: ledger.Exclude, UID: "x"}, Index: 200, Changed: true})
	if len(c.appliedAhead) > 0 {
		t.Errorf("%d indexes in appliedAhead after the log has passed them, want 0", len(c.appliedAhead))
	}
}

// TestCaughtUp checks under which conditions a restarted member has applied all committed entries.
func TestCaughtUp(t *testing.T) {
	status := func(leader string, contact float64, last, applied uint64) quorum.Status {
		return quorum.Status{Leader: leader, Contact: contact, Last: last, Applied: applied}
	}
	for name, tc := range map[string]struct {
		status     quorum.Status
		logName    string
		leaderLast uint64
		want       bool
	}{
		"all applied":                  {status("d1", 0.1, 9, 9), "log", 9, true},
		"more applied since the query": {status("d1", 0.1, 12, 12), "log", 9, true},
		"behind the leader":            {status("d1", 0.1, 5, 5), "log", 9, false},
		"last entry not applied":       {status("d1", 0.1, 9, 8), "log", 9, false},
		"leader's last index unknown":  {status("d1", 0.1, 5, 5), "log", 0, false},
		"no leader":                    {status("", 0.1, 9, 9), "log", 9, false},
		"no contact with the leader":   {status("d1", -1, 9, 9), "log", 9, false},
		"log without a name":           {status("d1", 0.1, 9, 9), "", 9, false},
	} {
		if got := caughtUp(&tc.status, tc.logName, tc.leaderLast); got != tc.want {
			t.Errorf("%s: caughtUp = %t, want the opposite", name, got)
		}
	}
}
