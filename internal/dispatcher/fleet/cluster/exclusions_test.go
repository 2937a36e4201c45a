package cluster

import (
	"fmt"
	"testing"
	"time"

	"frosttide/internal/dispatcher/fleet/ledger"
	"frosttide/internal/dispatcher/fleet/quorum"
)

// acting is a dispatcher that records the exclusions.
type acting struct {
	Dispatcher
	out map[string]bool
}

func (a *acting) Exclude(uid string, out bool, _ time.Time) { a.out[uid] = out }

// TestApplyAhead checks that a runner is excluded from the moment at which the operator was
// answered, although the log brings the entry, and older ones, later; and that a later entry wins.
func TestApplyAhead(t *testing.T) {
	// An update is its origin, its index and its effect, as in: log 7 out.
	for name, tc := range map[string]struct {
		updates string
		want    []bool // whether it is left out, after each
	}{
		"by the log alone":          {"log 3 out log 4 in", []bool{true, false}},
		"told before the log":       {"told 7 out log 5 in log 6 out log 7 out log 8 in", []bool{true, true, true, true, false}},
		"told after the log":        {"log 7 out log 8 in told 7 out", []bool{true, false, false}},
		"two are told, late":        {"told 8 in told 7 out log 7 out log 8 in", []bool{false, false, false, false}},
		"put back before the log":   {"log 3 out told 6 in log 5 out log 6 in log 7 out", []bool{true, false, false, false, true}},
		"the log restored to it":    {"told 7 out log 9 in", []bool{true, false}},
		"the log restored before":   {"told 7 out log 4 in", []bool{true, true}},
		"told again, nothing since": {"told 7 out told 7 out", []bool{true, true}},
	} {
		to := &acting{out: map[string]bool{}}
		c := &Cluster{dispatcher: to, excluded: map[string]bool{}, appliedAhead: map[string]uint64{}, exclusionFiles: newExclusionWriter("", "", nil)}
		var from, verb string
		var index uint64
		rest := tc.updates
		for i, want := range tc.want {
			if _, err := fmt.Sscan(rest, &from, &index, &verb); err != nil {
				t.Fatal(err)
			}
			rest = rest[min(len(from)+len(verb)+len(fmt.Sprint(index))+3, len(rest)):]
			op := ledger.Include
			if verb == "out" {
				op = ledger.Exclude
			}
			d := ledger.Done{Entry: ledger.Entry{Op: op, UID: "s-1"}, Index: index, Changed: true}
			if from == "told" {
				c.applyAhead(d, 0)
			} else {
				c.applyExclusion(d)
			}
			if got := to.out["s-1"]; got != want {
				t.Errorf("%s: after word %d, %s %d %s, it is left out: %t", name, i+1, from, index, verb, got)
			}
		}
	}
}

// TestAheadIsBounded checks that entries applied ahead of the log are dropped once the log has
// passed them, even those without effect, which the log never reports.
func TestAheadIsBounded(t *testing.T) {
	c := &Cluster{dispatcher: &acting{out: map[string]bool{}}, excluded: map[string]bool{}, appliedAhead: map[string]uint64{}, exclusionFiles: newExclusionWriter("", "", nil)}
	for i := range uint64(100) {
		c.applyAhead(ledger.Done{Entry: ledger.Entry{Op: ledger.Exclude, UID: fmt.Sprint(i)}, Index: 10 + i}, 0)
	}
	c.applyExclusion(ledger.Done{Entry: ledger.Entry{Op: ledger.Exclude, UID: "x"}, Index: 200, Changed: true})
	if len(c.appliedAhead) > 0 {
		t.Errorf("%d are kept", len(c.appliedAhead))
	}
}

// TestCaughtUp checks when a restarted member knows all that was committed.
func TestCaughtUp(t *testing.T) {
	at := func(leader string, contact float64, last, applied uint64) quorum.Status {
		return quorum.Status{Leader: leader, Contact: contact, Last: last, Applied: applied}
	}
	for name, tc := range map[string]struct {
		s       quorum.Status
		log     string
		reaches uint64
		want    bool
	}{
		"all is here":                  {at("d1", 0.1, 9, 9), "log", 9, true},
		"more has come since":          {at("d1", 0.1, 12, 12), "log", 9, true},
		"behind the leader":            {at("d1", 0.1, 5, 5), "log", 9, false},
		"not applied yet":              {at("d1", 0.1, 9, 8), "log", 9, false},
		"the leader has not answered":  {at("d1", 0.1, 5, 5), "log", 0, false},
		"nobody leads":                 {at("", 0.1, 9, 9), "log", 9, false},
		"the leader was not heard yet": {at("d1", -1, 9, 9), "log", 9, false},
		"it has no name yet":           {at("d1", 0.1, 9, 9), "", 9, false},
	} {
		if got := caughtUp(&tc.s, tc.log, tc.reaches); got != tc.want {
			t.Errorf("%s: %t", name, got)
		}
	}
}
