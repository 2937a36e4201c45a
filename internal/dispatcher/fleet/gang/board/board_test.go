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

// play has a gang of parts run at speeds, one report every 2 s, on one board or told by another,
// and returns the board and all acts.
func play(t *testing.T, cfg Config, speeds []float64, own int, until, deadline time.Duration) (*Board, []Act) {
	t.Helper()
	b, other := New(cfg), New(cfg)
	var acts []Act
	of := func(n int) *Board {
		if n <= own {
			return b
		}
		return other
	}
	for n := range speeds {
		id := ID{"g", n + 1}
		of(n+1).Join(id, len(speeds), 20, deadline)
		of(n+1).Sent(id, fmt.Sprint("s-", n+1), 0, s)
		of(n+1).Started(id, 0, s)
	}
	for now := s; now <= until; now += s {
		for n, v := range speeds {
			if share := v * (now - s).Seconds() / 20; now%(2*s) == s && v > 0 && share <= 1 {
				of(n+1).Reported(ID{"g", n + 1}, 0, share, now)
			}
		}
		_, facts := other.Look(now)
		for _, f := range facts {
			b.Hear(f)
		}
		got, _ := b.Look(now)
		acts = append(acts, got...)
	}
	return b, acts
}

// TestCopies has a part copied where a copy is of use and allowed, and no other.
func TestCopies(t *testing.T) {
	cfg := Config{Every: 2 * s, Look: s, Copies: true}
	off := cfg
	off.Copies = false
	for _, tc := range []struct {
		name     string
		cfg      Config
		speeds   []float64
		own      int
		until    time.Duration
		deadline time.Duration
		copies   int
		giveUps  int
		state    verdict.State // of part 1
	}{
		{"all keep step", cfg, []float64{1, 1, 0.9, 1.1, 1}, 5, 15 * s, 99 * s, 0, 0, verdict.InStep},
		{"one is slow", cfg, []float64{0.25, 1, 0.9, 1.1, 1}, 5, 15 * s, 99 * s, 1, 0, verdict.Straggler},
		{"one is slow, its peers are others'", cfg, []float64{0.25, 1, 0.9, 1.1, 1}, 1, 15 * s, 99 * s, 1, 0, verdict.Straggler},
		{"one has hung", cfg, []float64{0, 1, 0.9, 1.1, 1}, 5, 15 * s, 99 * s, 1, 0, verdict.Silent},
		{"a gang of two", cfg, []float64{0.25, 1}, 2, 15 * s, 99 * s, 0, 0, verdict.Unknown},
		{"copies are not allowed", off, []float64{0.25, 1, 0.9, 1.1, 1}, 5, 15 * s, 99 * s, 0, 0, verdict.Straggler},
		{"a copy would be late, and so is the part", cfg, []float64{0.25, 1, 0.9, 1.1, 1}, 5, 15 * s, 22 * s, 0, 0, verdict.Straggler},
		{"most are slow", cfg, []float64{0.25, 0.25, 0.25, 0.25, 1}, 5, 15 * s, 200 * s, 0, 0, verdict.InStep},
		{"more stragglers than may be copied", cfg, []float64{0.2, 0.2, 1, 1, 1, 1, 1}, 7, 9 * s, 200 * s, 1, 0, verdict.Straggler},
	} {
		b, acts := play(t, tc.cfg, tc.speeds, tc.own, tc.until, tc.deadline)
		copies := 0
		for _, a := range acts {
			if a.Kind == Copy {
				copies++
				if a.With >= a.End {
					t.Errorf("%s: the copy ends at %s, the part at %s", tc.name, a.With, a.End)
				}
			}
		}
		if got := b.State(ID{"g", 1}).State; copies != tc.copies || got != tc.state {
			t.Errorf("%s: %d copies, %s", tc.name, copies, got)
		}
	}
}

// TestSlowWorker has a worker count as slow once it straggles in two gangs, here or at another
// dispatcher, and for a while only.
func TestSlowWorker(t *testing.T) {
	b := New(Config{Every: 2 * s, Look: s})
	slow := func() (n int) {
		acts, _ := b.Look(b.looked + s)
		for _, a := range acts {
			if a.Kind == Slow {
				n++
			}
		}
		return n
	}
	b.looked = s
	b.Hear(Fact{Gang: "a", N: 1, Of: 4, Deadline: 99 * s, Worker: "w", Speed: 1, Work: 1, Slow: 3, At: s})
	if slow() != 0 {
		t.Error("one gang is enough")
	}
	b.Hear(Fact{Gang: "b", N: 1, Of: 4, Deadline: 99 * s, Worker: "w", Speed: 1, Work: 1, Slow: 5, At: 2 * s})
	if slow() != 1 || slow() != 0 {
		t.Error("it is not said, or said at each look")
	}
	if b.looked = 2 * slowFor; slow() != 0 || len(b.slow) != 0 {
		t.Error("it is remembered for too long")
	}
}

// TestCutOff has the parts of a dispatcher that tells nothing count as unknown.
func TestCutOff(t *testing.T) {
	b := New(Config{Every: 2 * s, Look: s, Copies: true})
	for n := 2; n <= 6; n++ {
		b.Hear(Fact{Gang: "g", N: n, Of: 6, Deadline: 99 * s, Worker: fmt.Sprint("s-", n), Speed: 1, Work: 1, At: s})
	}
	b.Join(ID{"g", 1}, 6, 20, 99*s)
	b.Sent(ID{"g", 1}, "s-1", 0, 20*s)
	b.Started(ID{"g", 1}, 0, 20*s)
	for now := 22 * s; now < 40*s; now += s {
		b.Reported(ID{"g", 1}, 0, 0.1*(now-20*s).Seconds()/20, now)
		if acts, _ := b.Look(now); len(acts) > 0 {
			t.Fatalf("it is compared with what was told %s ago: %+v", now-s, acts)
		}
	}
}

// TestBounds guards the board's size, whatever is told.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(Config{Every: 2 * s, Look: s, Copies: true})
		for i := range rapid.IntRange(0, 3*MostGangs).Draw(t, "gangs") {
			b.Hear(Fact{Gang: fmt.Sprint(i), N: rapid.IntRange(-1, 3).Draw(t, "n"), Of: 2, Worker: "w", Speed: rapid.Float64().Draw(t, "speed"), Work: rapid.Float64().Draw(t, "work"), Deadline: time.Duration(i) * s})
		}
		if b.Len() > MostGangs {
			t.Fatalf("%d gangs", b.Len())
		}
		b.Look(s)
	})
}

// TestWaitingParts has a part that waits unbegun at a worker that straggles copied once it has
// waited far longer than its peers did, and one that waits at any other worker left alone.
func TestWaitingParts(t *testing.T) {
	for _, tc := range []struct {
		name   string
		worker string // of the part that waits
		waits  time.Duration
		copies int
	}{
		{"at one that hangs", "s-1", 90 * s, 1},
		{"at one that keeps step", "s-2", 90 * s, 0},
		{"not for long", "s-1", 7 * s, 0},
	} {
		b := New(Config{Every: 2 * s, Look: s, Copies: true})
		const parts, waiting = 10, 10
		for n := 1; n <= parts; n++ {
			worker := fmt.Sprint("s-", n)
			if n == waiting {
				worker = tc.worker
			}
			b.Join(ID{"g", n}, parts, 20, 999*s)
			b.Sent(ID{"g", n}, worker, 0, s)
			if n != waiting {
				b.Started(ID{"g", n}, 0, s)
			}
		}
		copies := map[int]int{}
		for now := 2 * s; now <= 40*s; now += s {
			if now == s+tc.waits {
				b.Started(ID{"g", waiting}, 0, now)
			}
			for n := 2; n <= waiting; n++ { // the first hangs
				begun := s
				if n == waiting {
					begun += tc.waits
				}
				if share := (now - begun).Seconds() / 20; share > 0 && share < 1 {
					b.Reported(ID{"g", n}, 0, share, now)
				} else if share >= 1 {
					b.Ended(ID{"g", n}, 0, true, now)
				}
			}
			acts, _ := b.Look(now)
			for _, a := range acts {
				if a.Kind == Copy {
					copies[a.Part.N]++
				}
			}
		}
		if copies[1] != 1 || copies[waiting] != tc.copies {
			t.Errorf("%s: copies %v, want one of the part that hangs and %d of the one that waits", tc.name, copies, tc.copies)
		}
	}
}

// TestPoorHints has a part that hangs copied where hints are no good and parts are counted by
// themselves: its copy is reckoned in the same measure.
func TestPoorHints(t *testing.T) {
	b := New(Config{Every: 2 * s, Look: s, Copies: true})
	for n := 1; n <= goodHints; n++ { // as long each, whatever their hints say
		b.Join(ID{"before", n}, goodHints, float64(n*n), 99*s)
		b.Sent(ID{"before", n}, "s-0", 0, s)
		b.Started(ID{"before", n}, 0, s)
		b.Ended(ID{"before", n}, 0, true, 21*s)
	}
	if b.trusted() {
		t.Fatal("hints that say nothing are trusted")
	}
	for n := 1; n <= 6; n++ {
		b.Join(ID{"g", n}, 6, 20, 99*s)
		b.Sent(ID{"g", n}, fmt.Sprint("s-", n), 0, 21*s)
		b.Started(ID{"g", n}, 0, 21*s)
	}
	for now := 22 * s; now < 35*s; now += s {
		for n := 2; n <= 6; n++ { // the first hangs
			b.Reported(ID{"g", n}, 0, (now-21*s).Seconds()/20, now)
		}
		acts, _ := b.Look(now)
		for _, a := range acts {
			if a.Kind == Copy && a.Part.N == 1 && a.With < now+25*s {
				return
			}
		}
	}
	t.Error("the part that hangs was not copied")
}

// TestCopyOfACopy has a copy that hangs too make room for another, once, and one that keeps step
// be left alone.
func TestCopyOfACopy(t *testing.T) {
	for name, tc := range map[string]struct {
		speed float64 // of the first copy
		want  int
	}{"the copy hangs too": {0, 2}, "the copy keeps step": {1, 1}} {
		b := New(Config{Every: 2 * s, Look: s, Copies: true})
		const of = 12
		id := func(n int) ID { return ID{"g", n} }
		for n := 1; n <= of; n++ {
			b.Join(id(n), of, 60, 999*s)
			b.Sent(id(n), fmt.Sprint("s-", n), 0, s)
			b.Started(id(n), 0, s)
		}
		copies, began := 0, s
		for now := s; now <= 60*s; now += s {
			for n := 2; n <= of && now%(2*s) == s; n++ {
				b.Reported(id(n), 0, (now-s).Seconds()/60, now)
			}
			if copies == 1 && tc.speed > 0 && now%(2*s) == s {
				b.Reported(id(1), 1, tc.speed*(now-began).Seconds()/60, now)
			}
			acts, _ := b.Look(now)
			for _, a := range acts {
				if a.Kind == Copy && a.Part == id(1) {
					copies, began = copies+1, now
					b.Sent(id(1), fmt.Sprint("t-", copies), copies, now)
					b.Started(id(1), copies, now)
				}
			}
		}
		if copies != tc.want {
			t.Errorf("%s: %d copies, want %d", name, copies, tc.want)
		}
	}
}
