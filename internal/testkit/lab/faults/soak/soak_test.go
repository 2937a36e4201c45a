package soak_test

import (
	"strings"
	"testing"

	"pgregory.net/rapid"

	"frosttide/internal/testkit/lab/faults"
	"frosttide/internal/testkit/lab/faults/soak"
	_ "frosttide/internal/testkit/standin/fixeddraws"
)

// TestDraw checks for random seeds that the script parses, is the same when generated again, and
// leaves nothing broken at its end: each member that is stopped starts again, and each fault is
// undone.
func TestDraw(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed, rounds := rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 8).Draw(t, "rounds")
		text := soak.Draw(seed, rounds)
		if text != soak.Draw(seed, rounds) {
			t.Fatal("two calls of Draw with the same seed return different scripts")
		}
		s, err := faults.Parse("drawn", text)
		if err != nil {
			t.Fatalf("%v\n%s", err, text)
		}
		open := map[string]bool{}
		away := map[string]bool{}
		for _, step := range s.Steps {
			w := step.Words
			if back, ok := map[string]string{"wake": "stall", "speak": "mute", "release": "hold", "unspoil": "spoil", "unhang": "hang",
				"accept": "refuse", "room": "full", "serve": "drain", "mend": "break", "include": "exclude"}[w[0]]; ok {
				delete(open, back+" "+w[1])
				continue
			}
			switch w[0] {
			case "kill", "term", "start":
				for _, m := range strings.Split(w[1], ",") {
					if away[m] == (w[0] != "start") {
						t.Fatalf("%s: the member is already in that state\n%s", step, text)
					}
					away[m] = w[0] != "start"
				}
			case "stall", "mute", "hold", "spoil", "hang", "drain", "break", "refuse", "full", "exclude":
				open[w[0]+" "+w[1]] = true
			case "cut", "lossy", "slow", "heal":
				open["links"] = w[0] != "heal"
			case "lag":
				open["lag "+w[1]] = w[2] != "1"
			case "clock":
				open["clock "+w[1]] = w[2] != "0"
			}
		}
		for what, still := range open {
			if still {
				t.Fatalf("the fault %q is not undone at the end\n%s", what, text)
			}
		}
		for m, still := range away {
			if still {
				t.Fatalf("member %s is not started again at the end\n%s", m, text)
			}
		}
	})
}
