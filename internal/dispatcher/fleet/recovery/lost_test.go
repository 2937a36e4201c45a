package recovery

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	_ "frosttide/internal/testkit/standin/fixeddraws"
)

// TestJudge has each way in which a fleet may stand at its start judged.
func TestJudge(t *testing.T) {
	empty := func(name string, knew uint64) Member { return Member{Name: name, Disk: true, Knew: knew} }
	for _, tc := range []struct {
		name    string
		alive   []Member
		want    Standing
		upto    uint64
		holders []string
	}{
		{"the first start", []Member{empty("a", 0), empty("b", 0), empty("c", 0), {Name: "d"}}, Begins, 0, nil},
		{"one is not here yet", []Member{empty("a", 0), empty("b", 7)}, Stands, 0, nil},
		{"one has no folder yet", []Member{empty("a", 0), empty("b", 0), {Name: "c"}}, Stands, 0, nil},
		{"a minority is empty", []Member{empty("a", 7), empty("b", 0), {Name: "c", Disk: true, Log: true}}, Stands, 0, nil},
		{"all are empty, and know it", []Member{empty("a", 5), empty("b", 9), empty("c", 0)}, Lost, 9, []string{"b", "a"}},
		{"all are empty, a follower has it", []Member{empty("a", 0), empty("b", 0), empty("c", 0), {Name: "d", Log: true, Knew: 4}}, Lost, 4, []string{"d"}},
		{"all are empty, a follower knows of it", []Member{empty("a", 0), empty("b", 0), empty("c", 0), {Name: "d", Knew: 3}}, Lost, 3, []string{"d"}},
	} {
		got := Judge([]string{"a", "b", "c"}, tc.alive)
		if got.Standing != tc.want || got.Upto != tc.upto || !slices.Equal(got.Holders, tc.holders) || (got.Why != "") != (tc.want == Lost) {
			t.Errorf("%s: %+v", tc.name, got)
		}
	}
}

// TestNeverInItsPlace guards what was agreed, whoever is there and in whatever order they are
// told of: no log begins where anybody has one or knows of one.
func TestNeverInItsPlace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		alive := rapid.SliceOfNDistinct(rapid.Custom(func(t *rapid.T) Member {
			return Member{Name: rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "name"), Disk: rapid.Bool().Draw(t, "disk"),
				Log: rapid.Bool().Draw(t, "log"), Knew: rapid.SampledFrom([]uint64{0, 0, 1, 9}).Draw(t, "knew")}
		}), 0, 5, func(m Member) string { return m.Name }).Draw(t, "alive")
		got := Judge([]string{"a", "b", "c"}, alive)
		knows := slices.ContainsFunc(alive, func(m Member) bool { return m.Log || m.Knew > 0 })
		if got.Standing == Begins && knows || got.Standing == Lost && !knows {
			t.Fatalf("%+v of %+v", got, alive)
		}
		slices.Reverse(alive)
		if diff := cmp.Diff(got, Judge([]string{"a", "b", "c"}, alive)); diff != "" {
			t.Fatalf("another order, another verdict:\n%s", diff)
		}
	})
}

// TestOlder has a disk that was put back from before told from an empty one and from its own.
func TestOlder(t *testing.T) {
	for _, tc := range []struct {
		kept, last uint64
		want       bool
	}{{0, 0, false}, {0, 5, false}, {7, 0, false}, {7, 5, true}, {7, 7, false}, {7, 9, false}} {
		if got := Older(tc.kept, tc.last); got != tc.want {
			t.Errorf("kept %d, last %d: %v", tc.kept, tc.last, got)
		}
	}
}
