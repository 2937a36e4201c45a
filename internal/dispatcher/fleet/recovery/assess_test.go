package recovery

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	_ "frosttide/internal/testkit/standin/fixeddraws"
)

// TestAssessLog checks the state, the known index and the holders for each kind of fleet that
// starts: with and without all voters, their logs, and other members that know of a log.
func TestAssessLog(t *testing.T) {
	withoutLog := func(name string, knownIndex uint64) Member {
		return Member{Name: name, Disk: true, KnownIndex: knownIndex}
	}
	for _, tc := range []struct {
		name      string
		alive     []Member
		want      LogState
		wantIndex uint64
		holders   []string
	}{
		{"first start of a fleet", []Member{withoutLog("a", 0), withoutLog("b", 0), withoutLog("c", 0), {Name: "d"}}, MayBootstrap, 0, nil},
		{"a voter is absent", []Member{withoutLog("a", 0), withoutLog("b", 7)}, Undecided, 0, nil},
		{"a voter has no disk", []Member{withoutLog("a", 0), withoutLog("b", 0), {Name: "c"}}, Undecided, 0, nil},
		{"a minority has lost its log", []Member{withoutLog("a", 7), withoutLog("b", 0), {Name: "c", Disk: true, Log: true}}, Undecided, 0, nil},
		{"all voters are empty, their watermarks remain", []Member{withoutLog("a", 5), withoutLog("b", 9), withoutLog("c", 0)}, Lost, 9, []string{"b", "a"}},
		{"all voters are empty, a follower has the log", []Member{withoutLog("a", 0), withoutLog("b", 0), withoutLog("c", 0), {Name: "d", Log: true, KnownIndex: 4}}, Lost, 4, []string{"d"}},
		{"all voters are empty, a follower knows of the log", []Member{withoutLog("a", 0), withoutLog("b", 0), withoutLog("c", 0), {Name: "d", KnownIndex: 3}}, Lost, 3, []string{"d"}},
	} {
		got := AssessLog([]string{"a", "b", "c"}, tc.alive)
		if got.State != tc.want || got.KnownIndex != tc.wantIndex || !slices.Equal(got.Holders, tc.holders) || (got.Why != "") != (tc.want == Lost) {
			t.Errorf("%s: got unexpected verdict %+v", tc.name, got)
		}
	}
}

// TestNeverReplacesLog checks, for any set of live members, that no log is started while a member
// has one or knows of one, and that the verdict does not depend on the members' order.
func TestNeverReplacesLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		alive := rapid.SliceOfNDistinct(rapid.Custom(func(t *rapid.T) Member {
			return Member{Name: rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "name"), Disk: rapid.Bool().Draw(t, "disk"),
				Log: rapid.Bool().Draw(t, "log"), KnownIndex: rapid.SampledFrom([]uint64{0, 0, 1, 9}).Draw(t, "knew")}
		}), 0, 5, func(m Member) string { return m.Name }).Draw(t, "alive")
		got := AssessLog([]string{"a", "b", "c"}, alive)
		logKnown := slices.ContainsFunc(alive, func(m Member) bool { return m.Log || m.KnownIndex > 0 })
		if got.State == MayBootstrap && logKnown || got.State == Lost && !logKnown {
			t.Fatalf("got verdict %+v for members %+v", got, alive)
		}
		slices.Reverse(alive)
		if diff := cmp.Diff(got, AssessLog([]string{"a", "b", "c"}, alive)); diff != "" {
			t.Fatalf("verdict differs for the reverse order (-original +reverse):\n%s", diff)
		}
	})
}

// TestDiskOutdated checks that a restored older disk is told apart from an empty and a current one.
func TestDiskOutdated(t *testing.T) {
	for _, tc := range []struct {
		name            string
		watermark, last uint64
		want            bool
	}{
		{"new member", 0, 0, false},
		{"no watermark", 0, 5, false},
		{"empty disk", 7, 0, false},
		{"older disk", 7, 5, true},
		{"current disk", 7, 7, false},
		{"watermark is behind", 7, 9, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := DiskOutdated(tc.watermark, tc.last); got != tc.want {
				t.Errorf("DiskOutdated(%d, %d) = %t, want %t", tc.watermark, tc.last, got, tc.want)
			}
		})
	}
}
