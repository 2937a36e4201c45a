package stage

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	_ "frosttide/internal/testkit/standin/fixeddraws"
)

// TestStep checks that each stage is left on its evidence, or without it at its bound, and that
// the list of runners is never skipped.
func TestStep(t *testing.T) {
	all := Evidence{AddressesOpen: true, PeerAlive: true, Log: LogApplied, RunnersKnown: true, ReplicasCompared: true, Unrestricted: true}
	for _, tc := range []struct {
		name  string
		after time.Duration
		edit  func(*Evidence)
		want  Stage
		lacks bool // the last move was without evidence
	}{
		{"all at once", 0, func(*Evidence) {}, Full, false},
		{"nothing is open", time.Hour, func(e *Evidence) { e.AddressesOpen = false }, Empty, false},
		{"nobody has answered yet", time.Second, func(e *Evidence) { e.PeerAlive = false }, Listening, false},
		{"nobody answers", 3 * time.Second, func(e *Evidence) { e.PeerAlive, e.Unrestricted = false, false }, Probation, false},
		{"nobody is there", 0, func(e *Evidence) { e.PeerAlive, e.NoPeers = false, true }, Full, false},
		{"the log's leader is not known yet", time.Second, func(e *Evidence) { e.Log = LogUnknown }, Joining, false},
		{"the log has none", 3 * time.Second, func(e *Evidence) { e.Log, e.Unrestricted = LogUnknown, false }, Probation, false},
		{"the log is behind", 4 * time.Second, func(e *Evidence) { e.Log = LogBehind }, CatchingUp, false},
		{"the log stays behind", 6 * time.Second, func(e *Evidence) { e.Log, e.Unrestricted = LogBehind, false }, Probation, true},
		{"the log is lost", 0, func(e *Evidence) { e.Log = LogLost }, Full, false},
		{"nobody tells of runners", time.Hour, func(e *Evidence) { e.RunnersKnown = false }, CatchingUp, false},
		{"copies are not compared", 4 * time.Second, func(e *Evidence) { e.ReplicasCompared = false }, CatchingUp, false},
		{"the door is narrow", 9 * time.Second, func(e *Evidence) { e.Unrestricted = false }, Probation, false},
		{"the door stays narrow", 11 * time.Second, func(e *Evidence) { e.Unrestricted = false }, Full, true},
	} {
		m, e := Machine{Bounds: Defaults()}, all
		tc.edit(&e)
		moves := append(m.Step(0, e), m.Step(tc.after, e)...)
		if m.Stage() != tc.want {
			t.Errorf("%s: %s, want %s", tc.name, m.Stage(), tc.want)
		}
		if n := len(moves); n > 0 && moves[n-1].TimedOut != tc.lacks {
			t.Errorf("%s: the last move was %+v", tc.name, moves[n-1])
		}
		if (m.WaitsFor(e) == "") != (tc.want == Full) {
			t.Errorf("%s: it waits for %q", tc.name, m.WaitsFor(e))
		}
	}
}

// TestOrder checks, for any sequence of evidence and stalls, that stages follow one by one and
// that a stalled process returns to CatchingUp.
func TestOrder(t *testing.T) {
	flag := rapid.Bool()
	rapid.Check(t, func(t *rapid.T) {
		m, now := Machine{Bounds: Defaults()}, time.Duration(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond
			was := m.Stage()
			if rapid.IntRange(0, 9).Draw(t, "stall") == 0 {
				if m.ProcessStalled(now); m.Stage() != min(was, CatchingUp) {
					t.Fatalf("it woke %s as %s", was, m.Stage())
				}
				continue
			}
			e := Evidence{AddressesOpen: flag.Draw(t, "open"), PeerAlive: flag.Draw(t, "met"), NoPeers: flag.Draw(t, "nobody"), RunnersKnown: flag.Draw(t, "list"),
				ReplicasCompared: flag.Draw(t, "copies"), Unrestricted: flag.Draw(t, "bears"), Log: Log(rapid.IntRange(0, int(LogLost)).Draw(t, "log"))}
			for i, v := range m.Step(now, e) {
				if v.From != was+Stage(i) || v.To != v.From+1 || v.Why == "" {
					t.Fatalf("a move %+v from %s", v, was)
				}
				if r := m.Rights(e); !e.RunnersKnown && m.Stage() <= CatchingUp && r.Admission != AdmitNone {
					t.Fatalf("without a list it may %+v", r)
				}
				if v.From == Empty && !e.AddressesOpen || v.From == CatchingUp && !e.RunnersKnown {
					t.Fatalf("%+v on %+v", v, e)
				}
			}
			if m.Stage() < was {
				t.Fatalf("from %s back to %s", was, m.Stage())
			}
		}
	})
}

// TestRights checks that rights only grow from stage to stage.
func TestRights(t *testing.T) {
	for s := Empty; s < Full; s++ {
		a, b := s.Rights(), (s + 1).Rights()
		if a.Admission > b.Admission || a.KeyedJobs && !b.KeyedJobs || a.OutcomesComplete && !b.OutcomesComplete || a.CountsPeers && !b.CountsPeers || a.RunsWorkflows && !b.RunsWorkflows {
			t.Errorf("%s may %+v, %s %+v", s, a, s+1, b)
		}
	}
	if diff := cmp.Diff(Rights{Admission: AdmitAll, KeyedJobs: true, OutcomesComplete: true, CountsPeers: true, RunsWorkflows: true}, Full.Rights()); diff != "" {
		t.Error(diff)
	}
}
