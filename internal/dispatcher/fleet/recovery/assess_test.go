package recovery

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	_ "frosttide/internal/testkit/standin/fixeddraws"
)

// TestAssessLog covers each combination of voters and logs that a starting fleet can present.
func TestAssessLog(t *testing.T) {
	empty := func(name string, knew uint64) Member { return Member{Name: name, Disk: true, KnownIndex: knew} }
	for _, tc := range []struct {
		name    string
		alive   []Member
		want    LogState
		upto    uint64
		holders []string
	}{
		{"the first start", []Member{empty("a", 0), empty("b", 0), empty("c", 0), {Name: "d"}}, MayBootstrap, 0, nil},
		{"one is not here yet", []Member{empty("a", 0), empty("b", 7)}, Undecided, 0, nil},
		{"one has no folder yet", []Member{empty("a", 0), empty("b", 0), {Name: "c"}}, Undecided, 0, nil},
		{"a minority is empty", []Member{empty("a", 7), empty("b", 0), {Name: "c", Disk: true, Log: true}}, Undecided, 0, nil},
		{"all are empty, and know it", []Member{empty("a", 5), empty("b", 9), empty("c", 0)}, Lost, 9, []string{"b", "a"}},
		{"all are empty, a follower has it", []Member{empty("a", 0), empty("b", 0), empty("c", 0), {Name: "d", Log: true, KnownIndex: 4}}, Lost, 4, []string{"d"}},
		{"all are empty, a follower knows of it", []Member{empty("a", 0), empty("b", 0), empty("c", 0), {Name: "d", KnownIndex: 3}}, Lost, 3, []string{"d"}},
	} {
		got := AssessLog([]string{"a", "b", "c"}, tc.alive)
		if got.State != tc.want || got.KnownIndex != tc.upto || !slices.Equal(got.Holders, tc.holders) || (got.Why != "") != (tc.want == Lost) {
			t.Errorf("%s: %+v", tc.name, got)
		}
	}
}

// TestNeverReplacesLog checks, for any set of live members in any order, that no log is started
// while some member has one or knows of one.
func TestNeverReplacesLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		alive := rapid.SliceOfNDistinct(rapid.Custom(func(t *rapid.T) Member {
			return Member{Name: rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "name"), Disk: rapid.Bool().Draw(t, "disk"),
				Log: rapid.Bool().Draw(t, "log"), KnownIndex: rapid.SampledFrom([]uint64{0, 0, 1, 9}).Draw(t, "knew")}
		}), 0, 5, func(m Member) string { return m.Name }).Draw(t, "alive")
		got := AssessLog([]string{"a", "b", "c"}, alive)
		knows := slices.ContainsFunc(alive, func(m Member) bool { return m.Log || m.KnownIndex > 0 })
		if got.State == MayBootstrap && knows || got.State == Lost && !knows {
			t.Fatalf("%+v of %+v", got, alive)
		}
		slices.Reverse(alive)
		if diff := cmp.Diff(got, AssessLog([]string{"a", "b", "c"}, alive)); diff != "" {
			t.Fatalf("another order, another verdict:\n%s", diff)
		}
	})
}

// TestDiskOutdated distinguishes a restored older disk from an empty one and from the current one.
func TestDiskOutdated(t *testing.T) {
	for _, tc := range []struct {
		name       string
		kept, last uint64
		want       bool
	}{
		{"new member", 0, 0, false},
		{"no watermark", 0, 5, false},
		{"empty disk", 7, 0, false},
		{"older disk", 7, 5, true},
		{"current disk", 7, 7, false},
		{"watermark is behind", 7, 9, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := DiskOutdated(tc.kept, tc.last); got != tc.want {
				t.Errorf("DiskOutdated(%d, %d) = %t, want %t", tc.kept, tc.last, got, tc.want)
			}
		})
	}
}
