package stage

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	_ "frosttide/internal/testkit/standin/fixeddraws"
)

// TestStep checks that each stage is left when its evidence is there or when its timeout has
// passed, and that the member never advances without a list of runners.
func TestStep(t *testing.T) {
	all := Evidence{AddressesOpen: true, PeerAlive: true, Log: LogApplied, RunnersKnown: true, ReplicasCompared: true, Unrestricted: true}
	for _, tc := range []struct {
		name         string
		after        time.Duration // since the start
		edit         func(*Evidence)
		want         Stage
		wantTimedOut bool // of the last transition
	}{
		{"all evidence at once", 0, func(*Evidence) {}, Full, false},
		{"listeners are not open", time.Hour, func(e *Evidence) { e.AddressesOpen = false }, Starting, false},
		{"no member has answered yet", time.Second, func(e *Evidence) { e.PeerAlive = false }, Listening, false},
		{"no member answers until the timeout", 3 * time.Second, func(e *Evidence) { e.PeerAlive, e.Unrestricted = false, false }, Probation, false},
		{"no other member exists", 0, func(e *Evidence) { e.PeerAlive, e.NoPeers = false, true }, Full, false},
		{"state of the log is not known yet", time.Second, func(e *Evidence) { e.Log = LogUnknown }, Joining, false},
		{"log has no leader until the timeout", 3 * time.Second, func(e *Evidence) { e.Log, e.Unrestricted = LogUnknown, false }, Probation, false},
		{"log is behind", 4 * time.Second, func(e *Evidence) { e.Log = LogBehind }, CatchingUp, false},
		{"log is behind until the timeout", 6 * time.Second, func(e *Evidence) { e.Log, e.Unrestricted = LogBehind, false }, Probation, true},
		{"log is lost", 0, func(e *Evidence) { e.Log = LogLost }, Full, false},
		{"no list of runners", time.Hour, func(e *Evidence) { e.RunnersKnown = false }, CatchingUp, false},
		{"replicas are not compared", 4 * time.Second, func(e *Evidence) { e.ReplicasCompared = false }, CatchingUp, false},
		{"admission window is too narrow", 9 * time.Second, func(e *Evidence) { e.Unrestricted = false }, Probation, false},
		{"admission window is too narrow until the timeout", 11 * time.Second, func(e *Evidence) { e.Unrestricted = false }, Full, true},
	} {
		m, e := Machine{Bounds: Defaults()}, all
		tc.edit(&e)
		transitions := append(m.Step(0, e), m.Step(tc.after, e)...)
		if m.Stage() != tc.want {
			t.Errorf("%s: got stage %s, want %s", tc.name, m.Stage(), tc.want)
		}
		if n := len(transitions); n > 0 && transitions[n-1].TimedOut != tc.wantTimedOut {
			t.Errorf("%s: got last transition %+v with an unexpected TimedOut", tc.name, transitions[n-1])
		}
		if (m.WaitsFor(e) == "") != (tc.want == Full) {
			t.Errorf("%s: got WaitsFor %q, want it empty only at the stage Full", tc.name, m.WaitsFor(e))
		}
	}
}

// TestOrder checks, for any sequence of evidence and stalls, that the machine advances one stage at
// a time and only with the necessary evidence, and that a stalled process returns to CatchingUp.
func TestOrder(t *testing.T) {
	flag := rapid.Bool()
	rapid.Check(t, func(t *rapid.T) {
		m, now := Machine{Bounds: Defaults()}, time.Duration(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond
			previous := m.Stage()
			if rapid.IntRange(0, 9).Draw(t, "stall") == 0 {
				if m.ProcessStalled(now); m.Stage() != min(previous, CatchingUp) {
					t.Fatalf("stage after a stall at %s is %s, want the earlier of that and CatchingUp", previous, m.Stage())
				}
				continue
			}
			e := Evidence{AddressesOpen: flag.Draw(t, "open"), PeerAlive: flag.Draw(t, "met"), NoPeers: flag.Draw(t, "nobody"), RunnersKnown: flag.Draw(t, "list"),
				ReplicasCompared: flag.Draw(t, "copies"), Unrestricted: flag.Draw(t, "bears"), Log: Log(rapid.IntRange(0, int(LogLost)).Draw(t, "log"))}
			for i, transition := range m.Step(now, e) {
				if transition.From != previous+Stage(i) || transition.To != transition.From+1 || transition.Why == "" {
					t.Fatalf("got transition %+v from %s, want a reason and one stage at a time", transition, previous)
				}
				if rights := m.Rights(e); !e.RunnersKnown && m.Stage() <= CatchingUp && rights.Admission != AdmitNone {
					t.Fatalf("got rights %+v without a list of runners, want no admission", rights)
				}
				if transition.From == Starting && !e.AddressesOpen || transition.From == CatchingUp && !e.RunnersKnown {
					t.Fatalf("got transition %+v without its evidence: %+v", transition, e)
				}
			}
			if m.Stage() < previous {
				t.Fatalf("stage went back from %s to %s", previous, m.Stage())
			}
		}
	})
}

// TestRights checks that no right is lost from one stage to the next, and that Full has all of
// them.
func TestRights(t *testing.T) {
	for s := Starting; s < Full; s++ {
		a, b := s.Rights(), (s + 1).Rights()
		if a.Admission > b.Admission || a.KeyedJobs && !b.KeyedJobs || a.OutcomesComplete && !b.OutcomesComplete || a.CountsPeers && !b.CountsPeers || a.RunsWorkflows && !b.RunsWorkflows {
			t.Errorf("stage %s has rights %+v, %s only %+v", s, a, s+1, b)
		}
	}
	if diff := cmp.Diff(Rights{Admission: AdmitAll, KeyedJobs: true, OutcomesComplete: true, CountsPeers: true, RunsWorkflows: true}, Full.Rights()); diff != "" {
		t.Error(diff)
	}
}
