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

// entries draws entries with a few runners and with IDs that repeat, also beyond History entries.
func entries() *rapid.Generator[Entry] {
	return rapid.Custom(func(t *rapid.T) Entry {
		return Entry{ID: fmt.Sprint(rapid.IntRange(0, 600).Draw(t, "id")), Op: rapid.SampledFrom([]Op{Exclude, Include, "of a newer build"}).Draw(t, "op"),
			UID: rapid.SampledFrom([]string{"s-1", "s-2", "s-3"}).Draw(t, "uid"), At: 7}
	})
}

// TestReplay checks, for any log, that a state restored from a snapshot at any point applies the
// later entries like one that was not, and that Differences describes each change.
func TestReplay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := rapid.SliceOfN(entries(), 0, 400).Draw(t, "log")
		snapshotAt := rapid.IntRange(0, len(log)).Draw(t, "snapshot position")
		var unbroken, restored State
		for i, e := range log {
			if i == snapshotAt {
				text, err := restored.Bytes()
				if err != nil {
					t.Fatal(err)
				}
				previous := restored.Clone()
				if restored, err = Parse(text); err != nil {
					t.Fatal(err)
				}
				if d := Differences(&previous, &restored); len(d) > 0 {
					t.Fatalf("got differences %v after restoring a snapshot, want none", d)
				}
			}
			before := unbroken.Clone()
			want, got := unbroken.Apply(uint64(i+1), e), restored.Apply(uint64(i+1), e)
			if diff := cmp.Diff(want, got); diff != "" {
				t.Fatalf("entry %d has another result after a snapshot (-want +got):\n%s", i, diff)
			}
			if got := Differences(&before, &unbroken); (len(got) == 1) != want.Changed || len(got) == 1 && (got[0].UID != e.UID || got[0].Op != e.Op) {
				t.Fatalf("after entry %+v: got differences %v, want that entry if it changed the state", want, got)
			}
		}
		if diff := cmp.Diff(unbroken, restored, cmpopts.IgnoreUnexported(State{}), cmpopts.EquateEmpty()); diff != "" {
			t.Fatalf("a restored snapshot leads to another state (-want +got):\n%s", diff)
		}
		if len(unbroken.Recent) > History {
			t.Fatalf("got %d recent entries, want at most History", len(unbroken.Recent))
		}
	})
}

// TestApply checks each operation's effect on the state, and that a repeated entry has none.
func TestApply(t *testing.T) {
	var s State
	for i, tc := range []struct {
		name     string
		entry    Entry
		changed  bool
		refused  bool
		excluded []string
	}{
		{"exclude", Entry{ID: "1", Op: Exclude, UID: "s-1"}, true, false, []string{"s-1"}},
		{"exclude again", Entry{ID: "2", Op: Exclude, UID: "s-1"}, false, false, []string{"s-1"}},
		{"include", Entry{ID: "3", Op: Include, UID: "s-1"}, true, false, nil},
		{"repeated proposal", Entry{ID: "1", Op: Exclude, UID: "s-1"}, false, false, nil}, // as if its response was lost
		{"include an included one", Entry{ID: "4", Op: Include, UID: "s-2"}, false, false, nil},
		{"unknown operation", Entry{ID: "5", Op: "of a newer build", UID: "s-1"}, false, true, nil},
		{"no runner", Entry{ID: "6", Op: Exclude}, false, true, nil},
		{"no ID", Entry{Op: Exclude, UID: "s-1"}, false, true, nil},
	} {
		d := s.Apply(uint64(i+1), tc.entry)
		if d.Changed != tc.changed || (d.Refused != "") != tc.refused || len(s.Excluded) != len(tc.excluded) {
			t.Errorf("%s: entry %+v has result %+v and leaves excluded %v", tc.name, tc.entry, d, slices.Collect(maps.Keys(s.Excluded)))
		}
	}
	if s.UnknownOps != 1 || s.Index != 8 {
		t.Errorf("got %d unknown operations and index %d, want 1 and 8", s.UnknownOps, s.Index)
	}
}
