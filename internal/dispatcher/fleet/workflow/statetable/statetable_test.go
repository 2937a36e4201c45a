package statetable

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"frosttide/internal/dispatcher/fleet/workflow/flow"
	_ "frosttide/internal/testkit/standin/fixeddraws"
)

func undoOf(n int) *flow.Undo {
	return &flow.Undo{Class: "release", Path: fmt.Sprintf("/release/undo-%d", n), Key: fmt.Sprint("u", n)}
}

// TestCommands walks a workflow's ways, and each word that has no effect says why.
func TestCommands(t *testing.T) {
	type say struct {
		at   int64
		c    Command
		want string // kind of the refusal, empty for none
	}
	begin := say{1000, Command{Kind: Begin, ID: "w", Deadline: 60_000, LeaseFor: 10_000}, ""}
	step := func(n int) say {
		return say{1000, Command{Kind: Step, ID: "w", N: n, Undo: undoOf(n), Until: 5000}, ""}
	}
	settle := func(n int, s flow.State, failed bool) say {
		return say{1100, Command{Kind: Settle, Words: []Word{{ID: "w", N: n, State: s, Failed: failed}}}, ""}
	}
	take := func(at int64, by string) say {
		return say{at, Command{Kind: Take, By: by, Until: at + 3000, Words: []Word{{ID: "w"}}}, ""}
	}
	took := func(at int64, n int, fence uint64, o flow.Outcome) say {
		return say{at, Command{Kind: Took, Words: []Word{{ID: "w", N: n, Fence: fence, Outcome: o}}}, ""}
	}
	refused := func(s say, kind string) say { s.want = kind; return s }
	for _, tc := range []struct {
		name  string
		said  []say
		phase flow.Phase
		steps string // their states
	}{
		{"committed", []say{begin, step(1), step(2), {1000, Command{Kind: Commit, ID: "w", N: 2}, ""}, refused(say{1000, Command{Kind: Undo, ID: "w"}, ""}, flow.Order), {1000, Command{Kind: Commit, ID: "w", N: 2}, ""}}, flow.Committed, "done open"},
		{"unknown", []say{refused(step(1), flow.Unknown), begin, refused(begin, flow.Order)}, flow.Active, ""},
		{"out of order", []say{begin, refused(step(2), flow.Order), step(1), refused(step(3), flow.Order)}, flow.Active, "open"},
		{"undo missing", []say{begin, refused(say{1000, Command{Kind: Step, ID: "w", N: 1}, ""}, flow.Bad)}, flow.Active, ""},
		{"unsafe without a key", []say{begin, refused(say{1000, Command{Kind: Step, ID: "w", N: 1, Undo: &flow.Undo{Class: "once", Path: "/x", Unsafe: true}}, ""}, flow.Bad)}, flow.Active, ""},
		{"too large", []say{begin, refused(say{1000, Command{Kind: Step, ID: "w", N: 1, Undo: &flow.Undo{Class: "c", Path: "/x", Body: make([]byte, flow.MostBody+1)}}, ""}, flow.Large)}, flow.Active, ""},
		{"the same step again", []say{begin, step(1), step(1), refused(say{1000, Command{Kind: Step, ID: "w", N: 1, Undo: undoOf(7)}, ""}, flow.Order), settle(1, flow.Never, false), step(1)}, flow.Active, "open"},
		{"commit with a step in doubt", []say{begin, step(1), settle(1, flow.Doubt, false), refused(say{1000, Command{Kind: Commit, ID: "w", N: 1}, ""}, flow.Order)}, flow.Active, "doubt"},
		{"commit of fewer steps", []say{begin, step(1), step(2), refused(say{1000, Command{Kind: Commit, ID: "w", N: 1}, ""}, flow.Order)}, flow.Active, "done open"},
		{"a step failed for good", []say{begin, step(1), step(2), settle(2, flow.Never, true)}, flow.Undoing, "done never"},
		{"nothing to undo", []say{begin, step(1), settle(1, flow.Never, true)}, flow.Undone, "never"},
		{"settled once it is undone", []say{begin, step(1), {1050, Command{Kind: Undo, ID: "w"}, ""}, settle(1, flow.Never, true)}, flow.Undone, "never"},
		{"stuck, and settled", []say{begin, step(1), step(2), {2000, Command{Kind: Undo, ID: "w"}, ""}, take(5000, "a"), took(5000, 2, 5, flow.Useless), settle(2, flow.Never, false)}, flow.Undoing, "done never"},
		{"undone in reverse", []say{begin, step(1), step(2), settle(2, flow.Done, false), {2000, Command{Kind: Undo, ID: "w"}, ""}, take(2000, "a"),
			took(2100, 1, 6, flow.OK), took(2100, 2, 6, flow.OK), took(2100, 1, 6, flow.OK)}, flow.Undone, "undone undone"},
		{"not before its step has settled", []say{begin, step(1), {2000, Command{Kind: Undo, ID: "w"}, ""}, take(2000, "a"), took(2100, 1, 4, flow.OK)}, flow.Undoing, "open"},
		{"after its time", []say{begin, step(1), {2000, Command{Kind: Undo, ID: "w"}, ""}, take(5000, "a"), took(5000, 1, 4, flow.OK)}, flow.Undone, "undone"},
		{"with an old fence", []say{begin, step(1), settle(1, flow.Done, true), take(2000, "a"), take(5000, "b"), took(5100, 1, 4, flow.OK)}, flow.Undoing, "done"},
		{"taken on under the same fence", []say{begin, step(1), settle(1, flow.Done, true), take(2000, "a"), take(4000, "a"), took(6000, 1, 4, flow.OK)}, flow.Undone, "undone"},
		{"taken again after it was lost", []say{begin, step(1), settle(1, flow.Done, true), take(2000, "a"), take(6000, "a"), took(6100, 1, 4, flow.OK)}, flow.Undoing, "done"},
		{"held by another", []say{begin, step(1), settle(1, flow.Done, true), take(2000, "a"), take(4000, "b"), took(4100, 1, 4, flow.OK)}, flow.Undone, "undone"},
		{"stuck, and skipped", []say{begin, step(1), settle(1, flow.Done, true), take(2000, "a"), took(2000, 1, 4, flow.Useless),
			refused(say{2000, Command{Kind: Skip, ID: "w", N: 2}, ""}, flow.Order), {2000, Command{Kind: Skip, ID: "w", N: 1}, ""}}, flow.Undone, "skipped"},
		{"stuck, and again", []say{begin, step(1), settle(1, flow.Done, true), take(2000, "a"), took(2000, 1, 4, flow.Useless), {2000, Command{Kind: Again, ID: "w"}, ""}}, flow.Undoing, "done"},
		{"stuck, and given up", []say{begin, step(1), settle(1, flow.Done, true), take(2000, "a"), took(2000, 1, 4, flow.Useless), {2000, Command{Kind: GiveUp, ID: "w"}, ""}}, flow.GivenUp, "done"},
		{"its lease", []say{begin, step(1), {9000, Command{Kind: Expire, Words: []Word{{ID: "w"}}}, ""}, {11_000, Command{Kind: Expire, Words: []Word{{ID: "w"}}}, ""}}, flow.Undoing, "open"},
		{"held on", []say{begin, step(1), {9000, Command{Kind: Touch, ID: "w"}, ""}, {11_000, Command{Kind: Expire, Words: []Word{{ID: "w"}}}, ""}}, flow.Active, "open"},
		{"its deadline", []say{begin, step(1), {59_000, Command{Kind: Touch, ID: "w"}, ""}, {60_000, Command{Kind: Expire, Words: []Word{{ID: "w"}}}, ""}}, flow.Undoing, "open"},
		{"an undo that keeps failing", append([]say{begin, step(1), settle(1, flow.Done, true), take(2000, "a")}, slices.Collect(func(yield func(say) bool) {
			for i := range flow.Tries {
				yield(took(int64(1+i)*200_000, 1, 4, flow.NotDone))
			}
		})...), flow.Stuck, "done"},
	} {
		var b Book
		for i, s := range tc.said {
			_, no := b.Apply(uint64(i+1), s.at, &s.c)
			kind := ""
			if no != nil {
				kind = no.Kind
			}
			if kind != s.want || no != nil && no.Text == "" {
				t.Errorf("%s: word %d, %s: refused as %q, want %q", tc.name, i+1, s.c.Kind, kind, s.want)
			}
		}
		f := b.Find("w")
		var states []string
		for _, s := range f.Steps {
			states = append(states, string(s.State))
		}
		if f.Phase != tc.phase || strings.Join(states, " ") != tc.steps {
			t.Errorf("%s: it is %s with %v, want %s with %q", tc.name, f.Phase, states, tc.phase, tc.steps)
		}
	}
}

// TestAnyOrder guards workflows against any words in any order, by holders that have lost
// them too: undos count strictly from the last step to the first, each once, by the newest
// fence alone and never before its step has settled; nothing is undone of what is committed;
// equal words lead to equal books, by way of a snapshot too; and the book's sum is right.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, twin := &Book{}, &Book{}
		now := int64(1000)
		ids := []string{"w1", "w2"}
		id := rapid.SampledFrom(ids)
		small := rapid.IntRange(0, 4)
		undone := map[string][]int{}
		fences := []uint64{0}
		for i := range rapid.IntRange(1, 120).Draw(t, "words") {
			now += int64(rapid.IntRange(0, 1500).Draw(t, "ms"))
			c := Command{Kind: rapid.SampledFrom([]Kind{Begin, Step, Step, Step, Settle, Commit, Undo, Expire, Touch, Take, Take, Goes, Goes, Stays, Took, Took, Took, Took, Skip, Again, GiveUp}).Draw(t, "kind"),
				ID: id.Draw(t, "id"), N: small.Draw(t, "n"), Deadline: now + 20_000, LeaseFor: 8000, Until: now + int64(rapid.IntRange(0, 3000).Draw(t, "until")), By: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "by")}
			c.Fence, c.Place = rapid.SampledFrom(fences).Draw(t, "by fence"), flow.Place{Zone: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"), Until: c.Until}
			if rapid.Bool().Draw(t, "undo") {
				c.Undo = undoOf(c.N)
			}
			w := Word{ID: c.ID, N: c.N, State: rapid.SampledFrom([]flow.State{flow.Done, flow.Never, flow.Doubt}).Draw(t, "state"), Failed: rapid.Bool().Draw(t, "failed"),
				Fence: rapid.SampledFrom(fences).Draw(t, "fence"), Outcome: rapid.SampledFrom([]flow.Outcome{flow.OK, flow.OK, flow.NotDone, flow.Maybe, flow.Useless}).Draw(t, "outcome"), Entry: uint64(rapid.IntRange(0, i+1).Draw(t, "entry"))}
			c.Words = []Word{w}
			before := b.Find(c.ID)
			if before != nil {
				before = before.Clone()
			}
			b.Apply(uint64(i+1), now, &c)
			twin.Apply(uint64(i+1), now, &c)
			if c.Kind == Take {
				fences = append(fences, uint64(i+1))
			}
			after := b.Find(c.ID)
			if before != nil && before.Phase.Ended() && before.Phase != after.Phase {
				t.Fatalf("%s became %s", before.Phase, after.Phase)
			}
			if after != nil && (after.Phase == flow.Undoing || after.Phase == flow.Stuck) && after.Next() == 0 {
				t.Fatalf("nothing is next, and it has not ended: %+v", after)
			}
			if before != nil {
				for k := range before.Steps {
					if before.Steps[k].State != flow.Taken && after.Steps[k].State == flow.Taken {
						if before.Phase != flow.Undoing || w.Fence != before.Fence || now < before.Ready() || k+1 != before.Next() {
							t.Fatalf("step %d of %+v was undone by %+v at %d", k+1, before, w, now)
						}
						undone[c.ID] = append(undone[c.ID], k+1)
					}
				}
			}
			if rapid.IntRange(0, 9).Draw(t, "snapshot") == 0 {
				text, err := json.Marshal(twin)
				if err != nil {
					t.Fatal(err)
				}
				if twin, err = Parse(text); err != nil {
					t.Fatal(err)
				}
			}
		}
		for id, order := range undone {
			if !slices.IsSortedFunc(order, func(a, b int) int { return b - a }) || len(slices.Compact(slices.Clone(order))) != len(order) {
				t.Fatalf("%s was undone in the order %v", id, order)
			}
		}
		if diff := cmp.Diff(b, twin, cmpopts.IgnoreUnexported(Book{}), cmpopts.EquateEmpty()); diff != "" {
			t.Fatal(diff)
		}
		sum := 0
		for _, f := range b.Live {
			sum += f.Bytes()
		}
		if sum != b.Bytes {
			t.Fatalf("the book says %d bytes, its workflows take %d", b.Bytes, sum)
		}
	})
}

// TestGoes guards where an undo went: the word outlives who said it, and only who has the workflow
// says it or takes back its own.
func TestGoes(t *testing.T) {
	var b Book
	index := uint64(0)
	say := func(at int64, c Command) string {
		index++
		if _, no := b.Apply(index, at, &c); no != nil {
			return no.Kind
		}
		return ""
	}
	went := func() (out []string) {
		for _, p := range b.Find("w").Steps[0].Went {
			out = append(out, fmt.Sprintf("%s %d-%d by %v", p.Zone, p.At, p.Until, p.Entries))
		}
		return out
	}
	goes := func(fence uint64, zone string, until int64) Command {
		return Command{Kind: Goes, ID: "w", N: 1, Fence: fence, Place: flow.Place{Zone: zone, Until: until}}
	}
	stays := func(fence, entry uint64) Command {
		return Command{Kind: Stays, Words: []Word{{ID: "w", N: 1, Fence: fence, Entry: entry}}}
	}
	take := func(by string, until int64) Command {
		return Command{Kind: Take, By: by, Until: until, Words: []Word{{ID: "w"}}}
	}
	say(1000, Command{Kind: Begin, ID: "w", Deadline: 60_000, LeaseFor: 10_000})
	say(1000, Command{Kind: Step, ID: "w", N: 1, Undo: undoOf(1), Until: 1500})
	for i, step := range []struct {
		at   int64
		c    Command
		kind string
		want []string
	}{
		{1900, goes(0, "a", 9000), flow.Order, nil}, // nothing is undone yet
		{2000, Command{Kind: Undo, ID: "w"}, "", nil},
		{2000, take("d1", 5000), "", nil}, // entry 5
		{2100, goes(5, "a", 9000), "", []string{"a 2100-9000 by [6]"}},
		{2200, goes(5, "a", 9100), "", []string{"a 2100-9000 by [6 7]"}}, // its window begins with the first
		{2300, stays(5, 6), "", []string{"a 2100-9000 by [7]"}},          // the other may have run
		{5000, take("d2", 8000), "", []string{"a 2100-9000 by [7]"}},     // entry 9
		{5100, stays(5, 7), "", []string{"a 2100-9000 by [7]"}},          // d1 has lost it
		{5100, goes(5, "b", 9000), flow.Fenced, []string{"a 2100-9000 by [7]"}},
		{5200, goes(9, "b", 9200), "", []string{"a 2100-9000 by [7]", "b 5200-9200 by [12]"}},
		{5300, goes(9, "b", 5300), "", []string{"a 2100-9000 by [7]", "b 5200-9200 by [12 13]"}},
		{5400, stays(9, 13), "", []string{"a 2100-9000 by [7]", "b 5200-9200 by [12]"}}, // an earlier try may have run
		{5500, stays(9, 12), "", []string{"a 2100-9000 by [7]"}},
		{5600, stays(9, 0), "", []string{"a 2100-9000 by [7]"}},
		{9000, goes(9, "c", 9000), flow.Bad, nil}, // the windows are over
		{9000, goes(9, "c", 1<<60), "", []string{"c 9000-86409000 by [18]"}},
	} {
		if kind := say(step.at, step.c); kind != step.kind {
			t.Errorf("word %d: refused as %q, want %q", i, kind, step.kind)
		}
		if diff := cmp.Diff(step.want, went(), cmpopts.EquateEmpty()); diff != "" {
			t.Errorf("word %d:\n%s", i, diff)
		}
	}
	for range 20 { // more than are told apart: the place stays for its window
		say(9000, goes(9, "c", 20_000))
	}
	for entry := range index {
		say(9000, stays(9, entry+1))
	}
	if got := went(); len(got) != 1 {
		t.Errorf("after more words than are told apart, all taken back, it is at %v", got)
	}
	for i := range flow.MostPlaces {
		kind := say(9000, goes(9, fmt.Sprint("z", i), 20_000))
		if (kind == flow.Large) != (i+1 == flow.MostPlaces) {
			t.Errorf("place %d: %q", i+2, kind)
		}
	}
}

// TestBounds has what is past a bound refused, and nothing half taken in.
func TestBounds(t *testing.T) {
	var b Book
	for i := range MostFlows + 1 {
		changed, no := b.Apply(1, 1000, &Command{Kind: Begin, ID: fmt.Sprint(i), Deadline: 60_000, LeaseFor: 1000})
		if changed != (i < MostFlows) || (no != nil) != (i == MostFlows) {
			t.Fatalf("workflow %d: %t, %v", i, changed, no)
		}
	}
	body := make([]byte, flow.MostBody)
	for i := 0; ; i++ {
		_, no := b.Apply(1, 1000, &Command{Kind: Step, ID: fmt.Sprint(i), N: 1, Undo: &flow.Undo{Class: "c", Path: "/x", Body: body}})
		if no != nil {
			if no.Kind != flow.Many || b.Bytes > MostBytes || len(b.Live[fmt.Sprint(i)].Steps) != 0 {
				t.Errorf("%v at %d bytes", no, b.Bytes)
			}
			break
		}
	}
	for i := range MostFlows {
		b.Apply(1, 1000, &Command{Kind: Undo, ID: fmt.Sprint(i)})
	}
	if len(b.Ended) > MostEnded || len(b.past) > MostEnded {
		t.Errorf("%d that have ended are remembered, %d by name", len(b.Ended), len(b.past))
	}
}
