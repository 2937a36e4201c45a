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

// TestCommands checks the phases and step states that sequences of commands lead to, and the kind
// of refusal of each command that has no effect.
func TestCommands(t *testing.T) {
	type apply struct {
		at   int64
		c    Command
		want string // kind of the refusal, empty for none
	}
	begin := apply{1000, Command{Kind: Begin, ID: "w", Deadline: 60_000, LeaseDuration: 10_000}, ""}
	step := func(n int) apply {
		return apply{1000, Command{Kind: Step, ID: "w", N: n, Undo: undoOf(n), Until: 5000}, ""}
	}
	endStep := func(n int, s flow.State, failed bool) apply {
		return apply{1100, Command{Kind: EndSteps, Updates: []Update{{ID: "w", Step: n, State: s, Failed: failed}}}, ""}
	}
	claim := func(at int64, by string) apply {
		return apply{at, Command{Kind: Claim, By: by, Until: at + 3000, Updates: []Update{{ID: "w"}}}, ""}
	}
	endUndo := func(at int64, n int, token uint64, o flow.Outcome) apply {
		return apply{at, Command{Kind: EndUndos, Updates: []Update{{ID: "w", Step: n, FencingToken: token, Outcome: o}}}, ""}
	}
	refused := func(s apply, kind string) apply { s.want = kind; return s }
	for _, tc := range []struct {
		name     string
		commands []apply
		phase    flow.Phase
		steps    string // their states
	}{
		{"committed", []apply{begin, step(1), step(2), {1000, Command{Kind: Commit, ID: "w", N: 2}, ""}, refused(apply{1000, Command{Kind: Undo, ID: "w"}, ""}, flow.OutOfOrder), {1000, Command{Kind: Commit, ID: "w", N: 2}, ""}}, flow.Committed, "done open"},
		{"unknown", []apply{refused(step(1), flow.NotFound), begin, refused(begin, flow.OutOfOrder)}, flow.Active, ""},
		{"out of order", []apply{begin, refused(step(2), flow.OutOfOrder), step(1), refused(step(3), flow.OutOfOrder)}, flow.Active, "open"},
		{"undo missing", []apply{begin, refused(apply{1000, Command{Kind: Step, ID: "w", N: 1}, ""}, flow.Invalid)}, flow.Active, ""},
		{"unsafe without a key", []apply{begin, refused(apply{1000, Command{Kind: Step, ID: "w", N: 1, Undo: &flow.Undo{Class: "once", Path: "/x", Unsafe: true}}, ""}, flow.Invalid)}, flow.Active, ""},
		{"too large", []apply{begin, refused(apply{1000, Command{Kind: Step, ID: "w", N: 1, Undo: &flow.Undo{Class: "c", Path: "/x", Body: make([]byte, flow.MaxBodyBytes+1)}}, ""}, flow.TooLarge)}, flow.Active, ""},
		{"the same step again", []apply{begin, step(1), step(1), refused(apply{1000, Command{Kind: Step, ID: "w", N: 1, Undo: undoOf(7)}, ""}, flow.OutOfOrder), endStep(1, flow.NoEffect, false), step(1)}, flow.Active, "open"},
		{"commit with a step in doubt", []apply{begin, step(1), endStep(1, flow.InDoubt, false), refused(apply{1000, Command{Kind: Commit, ID: "w", N: 1}, ""}, flow.OutOfOrder)}, flow.Active, "doubt"},
		{"commit of fewer steps", []apply{begin, step(1), step(2), refused(apply{1000, Command{Kind: Commit, ID: "w", N: 1}, ""}, flow.OutOfOrder)}, flow.Active, "done open"},
		{"a step failed for good", []apply{begin, step(1), step(2), endStep(2, flow.NoEffect, true)}, flow.Undoing, "done never"},
		{"nothing to undo", []apply{begin, step(1), endStep(1, flow.NoEffect, true)}, flow.Undone, "never"},
		{"settled once it is undone", []apply{begin, step(1), {1050, Command{Kind: Undo, ID: "w"}, ""}, endStep(1, flow.NoEffect, true)}, flow.Undone, "never"},
		{"stuck, and settled", []apply{begin, step(1), step(2), {2000, Command{Kind: Undo, ID: "w"}, ""}, claim(5000, "a"), endUndo(5000, 2, 5, flow.Unusable), endStep(2, flow.NoEffect, false)}, flow.Undoing, "done never"},
		{"undone in reverse", []apply{begin, step(1), step(2), endStep(2, flow.Done, false), {2000, Command{Kind: Undo, ID: "w"}, ""}, claim(2000, "a"),
			endUndo(2100, 1, 6, flow.Succeeded), endUndo(2100, 2, 6, flow.Succeeded), endUndo(2100, 1, 6, flow.Succeeded)}, flow.Undone, "undone undone"},
		{"not before its step has settled", []apply{begin, step(1), {2000, Command{Kind: Undo, ID: "w"}, ""}, claim(2000, "a"), endUndo(2100, 1, 4, flow.Succeeded)}, flow.Undoing, "open"},
		{"after its time", []apply{begin, step(1), {2000, Command{Kind: Undo, ID: "w"}, ""}, claim(5000, "a"), endUndo(5000, 1, 4, flow.Succeeded)}, flow.Undone, "undone"},
		{"with an old fence", []apply{begin, step(1), endStep(1, flow.Done, true), claim(2000, "a"), claim(5000, "b"), endUndo(5100, 1, 4, flow.Succeeded)}, flow.Undoing, "done"},
		{"taken on under the same fence", []apply{begin, step(1), endStep(1, flow.Done, true), claim(2000, "a"), claim(4000, "a"), endUndo(6000, 1, 4, flow.Succeeded)}, flow.Undone, "undone"},
		{"taken again after it was lost", []apply{begin, step(1), endStep(1, flow.Done, true), claim(2000, "a"), claim(6000, "a"), endUndo(6100, 1, 4, flow.Succeeded)}, flow.Undoing, "done"},
		{"held by another", []apply{begin, step(1), endStep(1, flow.Done, true), claim(2000, "a"), claim(4000, "b"), endUndo(4100, 1, 4, flow.Succeeded)}, flow.Undone, "undone"},
		{"stuck, and skipped", []apply{begin, step(1), endStep(1, flow.Done, true), claim(2000, "a"), endUndo(2000, 1, 4, flow.Unusable),
			refused(apply{2000, Command{Kind: Skip, ID: "w", N: 2}, ""}, flow.OutOfOrder), {2000, Command{Kind: Skip, ID: "w", N: 1}, ""}}, flow.Undone, "skipped"},
		{"stuck, and again", []apply{begin, step(1), endStep(1, flow.Done, true), claim(2000, "a"), endUndo(2000, 1, 4, flow.Unusable), {2000, Command{Kind: Retry, ID: "w"}, ""}}, flow.Undoing, "done"},
		{"stuck, and given up", []apply{begin, step(1), endStep(1, flow.Done, true), claim(2000, "a"), endUndo(2000, 1, 4, flow.Unusable), {2000, Command{Kind: GiveUp, ID: "w"}, ""}}, flow.GivenUp, "done"},
		{"its lease", []apply{begin, step(1), {9000, Command{Kind: Expire, Updates: []Update{{ID: "w"}}}, ""}, {11_000, Command{Kind: Expire, Updates: []Update{{ID: "w"}}}, ""}}, flow.Undoing, "open"},
		{"held on", []apply{begin, step(1), {9000, Command{Kind: RenewLease, ID: "w"}, ""}, {11_000, Command{Kind: Expire, Updates: []Update{{ID: "w"}}}, ""}}, flow.Active, "open"},
		{"its deadline", []apply{begin, step(1), {59_000, Command{Kind: RenewLease, ID: "w"}, ""}, {60_000, Command{Kind: Expire, Updates: []Update{{ID: "w"}}}, ""}}, flow.Undoing, "open"},
		{"an undo that keeps failing", append([]apply{begin, step(1), endStep(1, flow.Done, true), claim(2000, "a")}, slices.Collect(func(yield func(apply) bool) {
			for i := range flow.DefaultAttempts {
				yield(endUndo(int64(1+i)*200_000, 1, 4, flow.NotApplied))
			}
		})...), flow.Stuck, "done"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var table Table
			for i, s := range tc.commands {
				_, refusal := table.Apply(uint64(i+1), s.at, &s.c)
				kind := ""
				if refusal != nil {
					kind = refusal.Kind
				}
				if kind != s.want || refusal != nil && refusal.Text == "" {
					t.Errorf("command %d, %s: refused as %q, want %q", i+1, s.c.Kind, kind, s.want)
				}
			}
			f := table.Find("w")
			var states []string
			for _, s := range f.Steps {
				states = append(states, string(s.State))
			}
			if f.Phase != tc.phase || strings.Join(states, " ") != tc.steps {
				t.Errorf("it is %s with %v, want %s with %q", f.Phase, states, tc.phase, tc.steps)
			}
		})
	}
}

// TestAnyOrder checks invariants under random commands in random order, also from members whose
// claim has expired: undos count strictly from the last step to the first, each once, only with the
// newest fencing token and never before the step's outcome is final; nothing of a committed
// workflow is undone; equal commands lead to equal tables, also across a snapshot; and Bytes is the
// sum over the live workflows.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, twin := &Table{}, &Table{}
		now := int64(1000)
		ids := []string{"w1", "w2"}
		id := rapid.SampledFrom(ids)
		small := rapid.IntRange(0, 4)
		undone := map[string][]int{}
		tokens := []uint64{0}
		for i := range rapid.IntRange(1, 120).Draw(t, "words") {
			now += int64(rapid.IntRange(0, 1500).Draw(t, "ms"))
			c := Command{Kind: rapid.SampledFrom([]Kind{Begin, Step, Step, Step, EndSteps, Commit, Undo, Expire, RenewLease, Claim, Claim, SendUndo, SendUndo, WithdrawUndos, EndUndos, EndUndos, EndUndos, EndUndos, Skip, Retry, GiveUp}).Draw(t, "kind"),
				ID: id.Draw(t, "id"), N: small.Draw(t, "n"), Deadline: now + 20_000, LeaseDuration: 8000, Until: now + int64(rapid.IntRange(0, 3000).Draw(t, "until")), By: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "by")}
			c.FencingToken, c.Destination = rapid.SampledFrom(tokens).Draw(t, "by fence"), flow.Destination{Zone: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"), Until: c.Until}
			if rapid.Bool().Draw(t, "undo") {
				c.Undo = undoOf(c.N)
			}
			update := Update{ID: c.ID, Step: c.N, State: rapid.SampledFrom([]flow.State{flow.Done, flow.NoEffect, flow.InDoubt}).Draw(t, "state"), Failed: rapid.Bool().Draw(t, "failed"),
				FencingToken: rapid.SampledFrom(tokens).Draw(t, "fence"), Outcome: rapid.SampledFrom([]flow.Outcome{flow.Succeeded, flow.Succeeded, flow.NotApplied, flow.Uncertain, flow.Unusable}).Draw(t, "outcome"), Entry: uint64(rapid.IntRange(0, i+1).Draw(t, "entry"))}
			c.Updates = []Update{update}
			before := table.Find(c.ID)
			if before != nil {
				before = before.Clone()
			}
			table.Apply(uint64(i+1), now, &c)
			twin.Apply(uint64(i+1), now, &c)
			if c.Kind == Claim {
				tokens = append(tokens, uint64(i+1))
			}
			after := table.Find(c.ID)
			if before != nil && before.Phase.Ended() && before.Phase != after.Phase {
				t.Fatalf("%s became %s", before.Phase, after.Phase)
			}
			if after != nil && (after.Phase == flow.Undoing || after.Phase == flow.Stuck) && after.NextUndo() == 0 {
				t.Fatalf("nothing is next, and it has not ended: %+v", after)
			}
			if before != nil {
				for k := range before.Steps {
					if before.Steps[k].State != flow.Compensated && after.Steps[k].State == flow.Compensated {
						if before.Phase != flow.Undoing || update.FencingToken != before.FencingToken || now < before.UndoReadyAt() || k+1 != before.NextUndo() {
							t.Fatalf("step %d of %+v was undone by %+v at %d", k+1, before, update, now)
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
			if !slices.IsSortedFunc(order, func(a, table int) int { return table - a }) || len(slices.Compact(slices.Clone(order))) != len(order) {
				t.Fatalf("%s was undone in the order %v", id, order)
			}
		}
		if diff := cmp.Diff(table, twin, cmpopts.IgnoreUnexported(Table{}), cmpopts.EquateEmpty()); diff != "" {
			t.Fatal(diff)
		}
		sum := 0
		for _, f := range table.Live {
			sum += f.Bytes()
		}
		if sum != table.Bytes {
			t.Fatalf("the table counts %d bytes, its workflows take %d", table.Bytes, sum)
		}
	})
}

// TestSendUndo checks the destinations of an undo: they outlive the member that recorded them, and
// only the holder of the claim adds a destination or withdraws its own entries.
func TestSendUndo(t *testing.T) {
	var table Table
	index := uint64(0)
	apply := func(at int64, c Command) string {
		index++
		if _, refusal := table.Apply(index, at, &c); refusal != nil {
			return refusal.Kind
		}
		return ""
	}
	destinations := func() (out []string) {
		for _, p := range table.Find("w").Steps[0].Destinations {
			out = append(out, fmt.Sprintf("%s %d-%d by %v", p.Zone, p.FirstSentAt, p.Until, p.Entries))
		}
		return out
	}
	send := func(token uint64, zone string, until int64) Command {
		return Command{Kind: SendUndo, ID: "w", N: 1, FencingToken: token, Destination: flow.Destination{Zone: zone, Until: until}}
	}
	withdraw := func(token, entry uint64) Command {
		return Command{Kind: WithdrawUndos, Updates: []Update{{ID: "w", Step: 1, FencingToken: token, Entry: entry}}}
	}
	claim := func(by string, until int64) Command {
		return Command{Kind: Claim, By: by, Until: until, Updates: []Update{{ID: "w"}}}
	}
	apply(1000, Command{Kind: Begin, ID: "w", Deadline: 60_000, LeaseDuration: 10_000})
	apply(1000, Command{Kind: Step, ID: "w", N: 1, Undo: undoOf(1), Until: 1500})
	for i, step := range []struct {
		at   int64
		c    Command
		kind string
		want []string
	}{
		{1900, send(0, "a", 9000), flow.OutOfOrder, nil}, // nothing is undone yet
		{2000, Command{Kind: Undo, ID: "w"}, "", nil},
		{2000, claim("d1", 5000), "", nil}, // entry 5
		{2100, send(5, "a", 9000), "", []string{"a 2100-9000 by [6]"}},
		{2200, send(5, "a", 9100), "", []string{"a 2100-9000 by [6 7]"}}, // the window begins with the first entry
		{2300, withdraw(5, 6), "", []string{"a 2100-9000 by [7]"}},       // the other attempt may have run
		{5000, claim("d2", 8000), "", []string{"a 2100-9000 by [7]"}},    // entry 9
		{5100, withdraw(5, 7), "", []string{"a 2100-9000 by [7]"}},       // the claim of d1 has expired
		{5100, send(5, "b", 9000), flow.Fenced, []string{"a 2100-9000 by [7]"}},
		{5200, send(9, "b", 9200), "", []string{"a 2100-9000 by [7]", "b 5200-9200 by [12]"}},
		{5300, send(9, "b", 5300), "", []string{"a 2100-9000 by [7]", "b 5200-9200 by [12 13]"}},
		{5400, withdraw(9, 13), "", []string{"a 2100-9000 by [7]", "b 5200-9200 by [12]"}}, // an earlier attempt may have run
		{5500, withdraw(9, 12), "", []string{"a 2100-9000 by [7]"}},
		{5600, withdraw(9, 0), "", []string{"a 2100-9000 by [7]"}},
		{9000, send(9, "c", 9000), flow.Invalid, nil}, // the windows are over
		{9000, send(9, "c", 1<<60), "", []string{"c 9000-86409000 by [18]"}},
	} {
		if kind := apply(step.at, step.c); kind != step.kind {
			t.Errorf("command %d: refused as %q, want %q", i, kind, step.kind)
		}
		if diff := cmp.Diff(step.want, destinations(), cmpopts.EquateEmpty()); diff != "" {
			t.Errorf("command %d:\n%s", i, diff)
		}
	}
	for range 20 { // more entries than are kept: the destination stays for its window
		apply(9000, send(9, "c", 20_000))
	}
	for entry := range index {
		apply(9000, withdraw(9, entry+1))
	}
	if got := destinations(); len(got) != 1 {
		t.Errorf("after more entries than are kept, all of them withdrawn, the destinations are %v", got)
	}
	for i := range flow.MaxDestinations {
		kind := apply(9000, send(9, fmt.Sprint("z", i), 20_000))
		if (kind == flow.TooLarge) != (i+1 == flow.MaxDestinations) {
			t.Errorf("destination %d: %q", i+2, kind)
		}
	}
}

// TestBounds checks that what exceeds a limit is refused and changes nothing.
func TestBounds(t *testing.T) {
	var table Table
	for i := range MaxFlows + 1 {
		changed, refusal := table.Apply(1, 1000, &Command{Kind: Begin, ID: fmt.Sprint(i), Deadline: 60_000, LeaseDuration: 1000})
		if changed != (i < MaxFlows) || (refusal != nil) != (i == MaxFlows) {
			t.Fatalf("workflow %d: %t, %v", i, changed, refusal)
		}
	}
	body := make([]byte, flow.MaxBodyBytes)
	for i := 0; ; i++ {
		_, refusal := table.Apply(1, 1000, &Command{Kind: Step, ID: fmt.Sprint(i), N: 1, Undo: &flow.Undo{Class: "c", Path: "/x", Body: body}})
		if refusal != nil {
			if refusal.Kind != flow.TooMany || table.Bytes > MaxBytes || len(table.Live[fmt.Sprint(i)].Steps) != 0 {
				t.Errorf("%v at %d bytes", refusal, table.Bytes)
			}
			break
		}
	}
	for i := range MaxFlows {
		table.Apply(1, 1000, &Command{Kind: Undo, ID: fmt.Sprint(i)})
	}
	if len(table.Ended) > MaxEnded || len(table.endedByID) > MaxEnded {
		t.Errorf("%d ended workflows are remembered, %d by id", len(table.Ended), len(table.endedByID))
	}
}
