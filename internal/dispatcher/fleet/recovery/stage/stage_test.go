package stage

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	_ "frosttide/internal/testkit/standin/fixeddraws"
)

// TestStep has each stage left by its evidence, or at its bound without, and the list never
// gone without.
func TestStep(t *testing.T) {
	all := Evidence{Open: true, Met: true, Log: LogApplied, List: true, Copies: true, Bears: true}
	for _, tc := range []struct {
		name  string
		after time.Duration
		edit  func(*Evidence)
		want  Stage
		lacks bool // the last move was without evidence
	}{
		{"all at once", 0, func(*Evidence) {}, Full, false},
		{"nothing is open", time.Hour, func(e *Evidence) { e.Open = false }, Empty, false},
		{"nobody has answered yet", time.Second, func(e *Evidence) { e.Met = false }, Listening, false},
		{"nobody answers", 3 * time.Second, func(e *Evidence) { e.Met, e.Bears = false, false }, Probation, false},
		{"nobody is there", 0, func(e *Evidence) { e.Met, e.Nobody = false, true }, Full, false},
		{"the log's leader is not known yet", time.Second, func(e *Evidence) { e.Log = LogUnknown }, Joining, false},
		{"the log has none", 3 * time.Second, func(e *Evidence) { e.Log, e.Bears = LogUnknown, false }, Probation, false},
		{"the log is behind", 4 * time.Second, func(e *Evidence) { e.Log = LogBehind }, CatchingUp, false},
		{"the log stays behind", 6 * time.Second, func(e *Evidence) { e.Log, e.Bears = LogBehind, false }, Probation, true},
		{"the log is lost", 0, func(e *Evidence) { e.Log = LogLost }, Full, false},
		{"nobody tells of runners", time.Hour, func(e *Evidence) { e.List = false }, CatchingUp, false},
		{"copies are not compared", 4 * time.Second, func(e *Evidence) { e.Copies = false }, CatchingUp, false},
		{"the door is narrow", 9 * time.Second, func(e *Evidence) { e.Bears = false }, Probation, false},
		{"the door stays narrow", 11 * time.Second, func(e *Evidence) { e.Bears = false }, Full, true},
	} {
		m, e := Machine{Bounds: Defaults()}, all
		tc.edit(&e)
		moves := append(m.Step(0, e), m.Step(tc.after, e)...)
		if m.Stage() != tc.want {
			t.Errorf("%s: %s, want %s", tc.name, m.Stage(), tc.want)
		}
		if n := len(moves); n > 0 && moves[n-1].Without != tc.lacks {
			t.Errorf("%s: the last move was %+v", tc.name, moves[n-1])
		}
		if (m.Waits(e) == "") != (tc.want == Full) {
			t.Errorf("%s: it waits for %q", tc.name, m.Waits(e))
		}
	}
}

// TestOrder guards every way back: one stage after the other, never past what was not open or
// without a list of runners, and a process that stood still serves as a newcomer again.
func TestOrder(t *testing.T) {
	flag := rapid.Bool()
	rapid.Check(t, func(t *rapid.T) {
		m, now := Machine{Bounds: Defaults()}, time.Duration(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond
			was := m.Stage()
			if rapid.IntRange(0, 9).Draw(t, "stall") == 0 {
				if m.Woke(now); m.Stage() != min(was, CatchingUp) {
					t.Fatalf("it woke %s as %s", was, m.Stage())
				}
				continue
			}
			e := Evidence{Open: flag.Draw(t, "open"), Met: flag.Draw(t, "met"), Nobody: flag.Draw(t, "nobody"), List: flag.Draw(t, "list"),
				Copies: flag.Draw(t, "copies"), Bears: flag.Draw(t, "bears"), Log: Log(rapid.IntRange(0, int(LogLost)).Draw(t, "log"))}
			for i, v := range m.Step(now, e) {
				if v.From != was+Stage(i) || v.To != v.From+1 || v.Why == "" {
					t.Fatalf("a move %+v from %s", v, was)
				}
				if r := m.May(e); !e.List && m.Stage() <= CatchingUp && r.Admits != None {
					t.Fatalf("without a list it may %+v", r)
				}
				if v.From == Empty && !e.Open || v.From == CatchingUp && !e.List {
					t.Fatalf("%+v on %+v", v, e)
				}
			}
			if m.Stage() < was {
				t.Fatalf("from %s back to %s", was, m.Stage())
			}
		}
	})
}

// TestRights has rights only grow with the stages.
func TestRights(t *testing.T) {
	for s := Empty; s < Full; s++ {
		a, b := s.Rights(), (s + 1).Rights()
		if a.Admits > b.Admits || a.Keyed && !b.Keyed || a.Recalls && !b.Recalls || a.Counts && !b.Counts || a.Runs && !b.Runs {
			t.Errorf("%s may %+v, %s %+v", s, a, s+1, b)
		}
	}
	if diff := cmp.Diff(Rights{Admits: All, Keyed: true, Recalls: true, Counts: true, Runs: true}, Full.Rights()); diff != "" {
		t.Error(diff)
	}
}
