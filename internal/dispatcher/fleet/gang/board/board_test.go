package board

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"frosttide/internal/dispatcher/fleet/gang/verdict"
	_ "frosttide/internal/testkit/standin/fixeddraws"
)

const s = time.Second

// simulateGang runs a gang whose parts have the given speeds and report every 2 s. The first
// ownParts of them are on one board and the others on a second board that publishes facts to it. It
// returns the first board and all of its actions.
func simulateGang(t *testing.T, cfg Config, speeds []float64, ownParts int, until, deadline time.Duration) (*Board, []Action) {
	t.Helper()
	b, other := New(cfg), New(cfg)
	var actions []Action
	boardOf := func(n int) *Board {
		if n <= ownParts {
			return b
		}
		return other
	}
	for n := range speeds {
		id := ID{"g", n + 1}
		boardOf(n+1).AddPart(id, len(speeds), 20, deadline)
		boardOf(n+1).PartSent(id, fmt.Sprint("s-", n+1), 0, s)
		boardOf(n+1).PartStarted(id, 0, s)
	}
	for now := s; now <= until; now += s {
		for n, v := range speeds {
			if fraction := v * (now - s).Seconds() / 20; now%(2*s) == s && v > 0 && fraction <= 1 {
				boardOf(n+1).PartProgressed(ID{"g", n + 1}, 0, fraction, now)
			}
		}
		_, facts := other.Check(now)
		for _, f := range facts {
			b.AddFact(f)
		}
		got, _ := b.Check(now)
		actions = append(actions, got...)
	}
	return b, actions
}

// TestCopies checks that a part is copied if a copy helps and is allowed, and only then.
func TestCopies(t *testing.T) {
	cfg := Config{ReportInterval: 2 * s, CheckInterval: s, CopiesAllowed: true}
	withoutCopies := cfg
	withoutCopies.CopiesAllowed = false
	for _, tc := range []struct {
		name     string
		cfg      Config
		speeds   []float64
		ownParts int
		until    time.Duration
		deadline time.Duration
		copies   int
		abandons int
		state    verdict.State // of part 1
	}{
		{"all parts are in step", cfg, []float64{1, 1, 0.9, 1.1, 1}, 5, 15 * s, 99 * s, 0, 0, verdict.InStep},
		{"one part is slow", cfg, []float64{0.25, 1, 0.9, 1.1, 1}, 5, 15 * s, 99 * s, 1, 0, verdict.Straggler},
		{"one part is slow, its peers belong to another dispatcher", cfg, []float64{0.25, 1, 0.9, 1.1, 1}, 1, 15 * s, 99 * s, 1, 0, verdict.Straggler},
		{"one part hangs", cfg, []float64{0, 1, 0.9, 1.1, 1}, 5, 15 * s, 99 * s, 1, 0, verdict.Silent},
		{"gang of two parts", cfg, []float64{0.25, 1}, 2, 15 * s, 99 * s, 0, 0, verdict.Unknown},
		{"copies are not allowed", withoutCopies, []float64{0.25, 1, 0.9, 1.1, 1}, 5, 15 * s, 99 * s, 0, 0, verdict.Straggler},
		{"both the part and a copy would miss the deadline", cfg, []float64{0.25, 1, 0.9, 1.1, 1}, 5, 15 * s, 22 * s, 0, 0, verdict.Straggler},
		{"most parts are slow", cfg, []float64{0.25, 0.25, 0.25, 0.25, 1}, 5, 15 * s, 200 * s, 0, 0, verdict.InStep},
		{"more stragglers than the gang may have copies", cfg, []float64{0.2, 0.2, 1, 1, 1, 1, 1}, 7, 9 * s, 200 * s, 1, 0, verdict.Straggler},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b, actions := simulateGang(t, tc.cfg, tc.speeds, tc.ownParts, tc.until, tc.deadline)
			copies := 0
			for _, a := range actions {
				if a.Kind == StartCopy {
					copies++
					if a.EndWithCopy >= a.EndWithoutCopy {
						t.Errorf("expected end with the copy is %s, want it before %s, the end without it", a.EndWithCopy, a.EndWithoutCopy)
					}
				}
			}
			if got := b.State(ID{"g", 1}).State; copies != tc.copies || got != tc.state {
				t.Errorf("got %d copies and state %s; want those of the test case", copies, got)
			}
		})
	}
}

// TestSlowWorker checks that a worker is marked slow once it straggles in two gangs, by the facts
// of another dispatcher, that it is not marked at each check, and that the reports expire.
func TestSlowWorker(t *testing.T) {
	b := New(Config{ReportInterval: 2 * s, CheckInterval: s})
	checkForMarks := func() (n int) {
		actions, _ := b.Check(b.lastCheck + s)
		for _, a := range actions {
			if a.Kind == MarkSlow {
				n++
			}
		}
		return n
	}
	b.lastCheck = s
	b.AddFact(Fact{Gang: "a", N: 1, Of: 4, Deadline: 99 * s, Worker: "w", Speed: 1, Work: 1, SlowFactor: 3, At: s})
	if checkForMarks() != 0 {
		t.Error("worker is marked slow after one gang, want two gangs")
	}
	b.AddFact(Fact{Gang: "b", N: 1, Of: 4, Deadline: 99 * s, Worker: "w", Speed: 1, Work: 1, SlowFactor: 5, At: 2 * s})
	if checkForMarks() != 1 || checkForMarks() != 0 {
		t.Error("worker is not marked slow, or is marked again at the next check; want it marked once")
	}
	if b.lastCheck = 2 * slowDuration; checkForMarks() != 0 || len(b.slowReports) != 0 {
		t.Error("reports on the worker have not expired after twice slowDuration")
	}
}

// TestPartitionedDispatcher checks that outdated facts are not used: the parts of a dispatcher that
// no longer publishes count as unknown.
func TestPartitionedDispatcher(t *testing.T) {
	b := New(Config{ReportInterval: 2 * s, CheckInterval: s, CopiesAllowed: true})
	for n := 2; n <= 6; n++ {
		b.AddFact(Fact{Gang: "g", N: n, Of: 6, Deadline: 99 * s, Worker: fmt.Sprint("s-", n), Speed: 1, Work: 1, At: s})
	}
	b.AddPart(ID{"g", 1}, 6, 20, 99*s)
	b.PartSent(ID{"g", 1}, "s-1", 0, 20*s)
	b.PartStarted(ID{"g", 1}, 0, 20*s)
	for now := 22 * s; now < 40*s; now += s {
		b.PartProgressed(ID{"g", 1}, 0, 0.1*(now-20*s).Seconds()/20, now)
		if actions, _ := b.Check(now); len(actions) > 0 {
			t.Fatalf("got actions from a comparison with facts that are %s old: %+v, want none", now-s, actions)
		}
	}
}

// TestBounds checks that a board never tracks more than MaxGangs gangs, whatever facts arrive.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(Config{ReportInterval: 2 * s, CheckInterval: s, CopiesAllowed: true})
		for i := range rapid.IntRange(0, 3*MaxGangs).Draw(t, "gangs") {
			b.AddFact(Fact{Gang: fmt.Sprint(i), N: rapid.IntRange(-1, 3).Draw(t, "n"), Of: 2, Worker: "w", Speed: rapid.Float64().Draw(t, "speed"), Work: rapid.Float64().Draw(t, "work"), Deadline: time.Duration(i) * s})
		}
		if b.Len() > MaxGangs {
			t.Fatalf("got %d gangs, want at most MaxGangs", b.Len())
		}
		b.Check(s)
	})
}

// TestWaitingParts checks that a part which waits at a straggling worker is copied once it has
// waited far longer than its peers did, and that one which waits at any other worker is not.
func TestWaitingParts(t *testing.T) {
	for _, tc := range []struct {
		name   string
		worker string // of the part that waits
		wait   time.Duration
		copies int
	}{
		{"long, at a worker that hangs", "s-1", 90 * s, 1},
		{"long, at a worker in step", "s-2", 90 * s, 0},
		{"briefly, at a worker that hangs", "s-1", 7 * s, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := New(Config{ReportInterval: 2 * s, CheckInterval: s, CopiesAllowed: true})
			const parts, waiting = 10, 10
			for n := 1; n <= parts; n++ {
				worker := fmt.Sprint("s-", n)
				if n == waiting {
					worker = tc.worker
				}
				b.AddPart(ID{"g", n}, parts, 20, 999*s)
				b.PartSent(ID{"g", n}, worker, 0, s)
				if n != waiting {
					b.PartStarted(ID{"g", n}, 0, s)
				}
			}
			copies := map[int]int{}
			for now := 2 * s; now <= 40*s; now += s {
				if now == s+tc.wait {
					b.PartStarted(ID{"g", waiting}, 0, now)
				}
				for n := 2; n <= waiting; n++ { // part 1 hangs
					startedAt := s
					if n == waiting {
						startedAt += tc.wait
					}
					if fraction := (now - startedAt).Seconds() / 20; fraction > 0 && fraction < 1 {
						b.PartProgressed(ID{"g", n}, 0, fraction, now)
					} else if fraction >= 1 {
						b.PartEnded(ID{"g", n}, 0, true, now)
					}
				}
				actions, _ := b.Check(now)
				for _, a := range actions {
					if a.Kind == StartCopy {
						copies[a.Part.N]++
					}
				}
			}
			if copies[1] != 1 || copies[waiting] != tc.copies {
				t.Errorf("got copies by part %v, want 1 of part 1, which hangs, and %d of the waiting part", copies, tc.copies)
			}
		})
	}
}

// TestPoorHints checks that a part that hangs is copied even if hints are not trusted, and that the
// expected end of its copy is then computed from speeds in parts per second.
func TestPoorHints(t *testing.T) {
	b := New(Config{ReportInterval: 2 * s, CheckInterval: s, CopiesAllowed: true})
	for n := 1; n <= minHintSamples; n++ { // equal run times with different hints
		b.AddPart(ID{"before", n}, minHintSamples, float64(n*n), 99*s)
		b.PartSent(ID{"before", n}, "s-0", 0, s)
		b.PartStarted(ID{"before", n}, 0, s)
		b.PartEnded(ID{"before", n}, 0, true, 21*s)
	}
	if b.hintsTrusted() {
		t.Fatal("hints are trusted although they do not predict the run times")
	}
	for n := 1; n <= 6; n++ {
		b.AddPart(ID{"g", n}, 6, 20, 99*s)
		b.PartSent(ID{"g", n}, fmt.Sprint("s-", n), 0, 21*s)
		b.PartStarted(ID{"g", n}, 0, 21*s)
	}
	for now := 22 * s; now < 35*s; now += s {
		for n := 2; n <= 6; n++ { // part 1 hangs
			b.PartProgressed(ID{"g", n}, 0, (now-21*s).Seconds()/20, now)
		}
		actions, _ := b.Check(now)
		for _, a := range actions {
			if a.Kind == StartCopy && a.Part.N == 1 && a.EndWithCopy < now+25*s {
				return
			}
		}
	}
	t.Error("part 1, which hangs, was not copied, or the copy's expected end is too late")
}

// TestSecondCopy checks that if the first copy hangs as well, one more copy is started, and none if
// the first copy keeps up with its peers.
func TestSecondCopy(t *testing.T) {
	for name, tc := range map[string]struct {
		speed float64 // of the first copy
		want  int
	}{"first copy hangs": {0, 2}, "first copy is in step": {1, 1}} {
		t.Run(name, func(t *testing.T) {
			b := New(Config{ReportInterval: 2 * s, CheckInterval: s, CopiesAllowed: true})
			const parts = 12
			id := func(n int) ID { return ID{"g", n} }
			for n := 1; n <= parts; n++ {
				b.AddPart(id(n), parts, 60, 999*s)
				b.PartSent(id(n), fmt.Sprint("s-", n), 0, s)
				b.PartStarted(id(n), 0, s)
			}
			copies, startedAt := 0, s
			for now := s; now <= 60*s; now += s {
				for n := 2; n <= parts && now%(2*s) == s; n++ {
					b.PartProgressed(id(n), 0, (now-s).Seconds()/60, now)
				}
				if copies == 1 && tc.speed > 0 && now%(2*s) == s {
					b.PartProgressed(id(1), 1, tc.speed*(now-startedAt).Seconds()/60, now)
				}
				actions, _ := b.Check(now)
				for _, a := range actions {
					if a.Kind == StartCopy && a.Part == id(1) {
						copies, startedAt = copies+1, now
						b.PartSent(id(1), fmt.Sprint("t-", copies), copies, now)
						b.PartStarted(id(1), copies, now)
					}
				}
			}
			if copies != tc.want {
				t.Errorf("got %d copies, want %d", copies, tc.want)
			}
		})
	}
}
