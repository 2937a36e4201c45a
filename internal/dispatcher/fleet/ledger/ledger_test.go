package ledger

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	_ "frosttide/internal/testkit/standin/fixeddraws"
)

func entries() *rapid.Generator[Entry] {
	return rapid.Custom(func(t *rapid.T) Entry {
		return Entry{ID: fmt.Sprint(rapid.IntRange(0, 600).Draw(t, "id")), Op: rapid.SampledFrom([]Op{Exclude, Include, "of tomorrow"}).Draw(t, "op"),
			UID: rapid.SampledFrom([]string{"s-1", "s-2", "s-3"}).Draw(t, "uid"), At: 7}
	})
}

// TestReplay checks, for any log, that a state restored from a snapshot at any point goes on
// exactly like one that was not, and that Differences describes each change.
func TestReplay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := rapid.SliceOfN(entries(), 0, 400).Draw(t, "log")
		cut := rapid.IntRange(0, len(log)).Draw(t, "cut")
		var plain, stored State
		for i, e := range log {
			if i == cut {
				text, err := stored.Bytes()
				if err != nil {
					t.Fatal(err)
				}
				was := stored.Clone()
				if stored, err = Parse(text); err != nil {
					t.Fatal(err)
				}
				if d := Differences(&was, &stored); len(d) > 0 {
					t.Fatalf("a snapshot changes %v", d)
				}
			}
			before := plain.Clone()
			a, b := plain.Apply(uint64(i+1), e), stored.Apply(uint64(i+1), e)
			if diff := cmp.Diff(a, b); diff != "" {
				t.Fatalf("entry %d comes to something else after a snapshot:\n%s", i, diff)
			}
			if got := Differences(&before, &plain); (len(got) == 1) != a.Changed || len(got) == 1 && (got[0].UID != e.UID || got[0].Op != e.Op) {
				t.Fatalf("entry %+v is told as %v", a, got)
			}
		}
		if diff := cmp.Diff(plain, stored, cmpopts.IgnoreUnexported(State{}), cmpopts.EquateEmpty()); diff != "" {
			t.Fatalf("the states differ:\n%s", diff)
		}
		if len(plain.Recent) > History {
			t.Fatalf("%d entries are kept", len(plain.Recent))
		}
	})
}

// TestApply checks that each operation has its effect once.
func TestApply(t *testing.T) {
	var s State
	for i, tc := range []struct {
		name    string
		entry   Entry
		changed bool
		refused bool
		out     []string
	}{
		{"exclude", Entry{ID: "1", Op: Exclude, UID: "s-1"}, true, false, []string{"s-1"}},
		{"exclude again", Entry{ID: "2", Op: Exclude, UID: "s-1"}, false, false, []string{"s-1"}},
		{"include", Entry{ID: "3", Op: Include, UID: "s-1"}, true, false, nil},
		{"repeated proposal", Entry{ID: "1", Op: Exclude, UID: "s-1"}, false, false, nil}, // its response was lost
		{"include an included one", Entry{ID: "4", Op: Include, UID: "s-2"}, false, false, nil},
		{"unknown operation", Entry{ID: "5", Op: "of tomorrow", UID: "s-1"}, false, true, nil},
		{"no runner", Entry{ID: "6", Op: Exclude}, false, true, nil},
		{"no ID", Entry{Op: Exclude, UID: "s-1"}, false, true, nil},
	} {
		d := s.Apply(uint64(i+1), tc.entry)
		if d.Changed != tc.changed || (d.Refused != "") != tc.refused || len(s.Excluded) != len(tc.out) {
			t.Errorf("%s: %+v came to %+v, excluded %v", tc.name, tc.entry, d, slices.Collect(maps.Keys(s.Excluded)))
		}
	}
	if s.UnknownOps != 1 || s.Index != 8 {
		t.Errorf("unknown operations %d, index %d", s.UnknownOps, s.Index)
	}
}
