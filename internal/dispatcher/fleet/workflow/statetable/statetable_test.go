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

// undoOf returns a valid undo for step n that differs from those of other steps.
func undoOf(n int) *flow.Undo {
	return &flow.Undo{Class: "release", Path: fmt.Sprintf("/release/undo-%d", n), Key: fmt.Sprint("u", n)}
}

// TestCommands checks the phase and the states of the steps after sequences of commands, and the
// kind of refusal of each command.
func TestCommands(t *testing.T) {
	type timedCommand struct {
		at   int64
		c    Command
		want string // kind of the refusal, empty for none
	}
	begin := timedCommand{1000, Command{Kind: Begin, ID: "w", Deadline: 60_000, LeaseDuration: 10_000}, ""}
	step := func(n int) timedCommand {
		return timedCommand{1000, Command{Kind: Step, ID: "w", N: n, Undo: undoOf(n), Until: 5000}, ""}
	}
	endStep := func(n int, s flow.State, failed bool) timedCommand {
		return timedCommand{1100, Command{Kind: EndSteps, Updates: []Update{{ID: "w", Step: n, State: s, Failed: failed}}}, ""}
	}
	claim := func(at int64, by string) timedCommand {
		return timedCommand{at, Command{Kind: Claim, By: by, Until: at + 3000, Updates: []Update{{ID: "w"}}}, ""}
	}
	endUndo := func(at int64, n int, token uint64, o flow.Outcome) timedCommand {
		return timedCommand{at, Command{Kind: EndUndos, Updates: []Update{{ID: "w", Step: n, FencingToken: token, Outcome: o}}}, ""}
	}
	refused := func(command timedCommand, kind string) timedCommand { command.want = kind; return command }
	for _, tc := range []struct {
		name     string
		commands []timedCommand
		phase    flow.Phase
		steps    string // the states of the steps, separated by spaces
	}{
		{"committed", []timedCommand{begin, step(1), step(2), {1000, Command{Kind: Commit, ID: "w", N: 2}, ""}, refused(timedCommand{1000, Command{Kind: Undo, ID: "w"}, ""}, flow.OutOfOrder), {1000, Command{Kind: Commit, ID: "w", N: 2}, ""}}, flow.Committed, "done open"},
		{"unknown id and repeated begin", []timedCommand{refused(step(1), flow.NotFound), begin, refused(begin, flow.OutOfOrder)}, flow.Active, ""},
		{"step out of order", []timedCommand{begin, refused(step(2), flow.OutOfOrder), step(1), refused(step(3), flow.OutOfOrder)}, flow.Active, "open"},
		{"undo missing", []timedCommand{begin, refused(timedCommand{1000, Command{Kind: Step, ID: "w", N: 1}, ""}, flow.Invalid)}, flow.Active, ""},
		{"unsafe undo without a key", []timedCommand{begin, refused(timedCommand{1000, Command{Kind: Step, ID: "w", N: 1, Undo: &flow.Undo{Class: "once", Path: "/x", Unsafe: true}}, ""}, flow.Invalid)}, flow.Active, ""},
		{"undo body too large", []timedCommand{begin, refused(timedCommand{1000, Command{Kind: Step, ID: "w", N: 1, Undo: &flow.Undo{Class: "c", Path: "/x", Body: make([]byte, flow.MaxBodyBytes+1)}}, ""}, flow.TooLarge)}, flow.Active, ""},
		{"step registered again", []timedCommand{begin, step(1), step(1), refused(timedCommand{1000, Command{Kind: Step, ID: "w", N: 1, Undo: undoOf(7)}, ""}, flow.OutOfOrder), endStep(1, flow.NoEffect, false), step(1)}, flow.Active, "open"},
		{"commit with a step in doubt", []timedCommand{begin, step(1), endStep(1, flow.InDoubt, false), refused(timedCommand{1000, Command{Kind: Commit, ID: "w", N: 1}, ""}, flow.OutOfOrder)}, flow.Active, "doubt"},
		{"commit of fewer steps", []timedCommand{begin, step(1), step(2), refused(timedCommand{1000, Command{Kind: Commit, ID: "w", N: 1}, ""}, flow.OutOfOrder)}, flow.Active, "done open"},
		{"step failed permanently", []timedCommand{begin, step(1), step(2), endStep(2, flow.NoEffect, true)}, flow.Undoing, "done never"},
		{"only step failed without effect", []timedCommand{begin, step(1), endStep(1, flow.NoEffect, true)}, flow.Undone, "never"},
		{"no effect reported while undoing", []timedCommand{begin, step(1), {1050, Command{Kind: Undo, ID: "w"}, ""}, endStep(1, flow.NoEffect, true)}, flow.Undone, "never"},
		{"no effect reported for the stuck step", []timedCommand{begin, step(1), step(2), {2000, Command{Kind: Undo, ID: "w"}, ""}, claim(5000, "a"), endUndo(5000, 2, 5, flow.Unusable), endStep(2, flow.NoEffect, false)}, flow.Undoing, "done never"},
		{"undone in reverse", []timedCommand{begin, step(1), step(2), endStep(2, flow.Done, false), {2000, Command{Kind: Undo, ID: "w"}, ""}, claim(2000, "a"),
			endUndo(2100, 1, 6, flow.Succeeded), endUndo(2100, 2, 6, flow.Succeeded), endUndo(2100, 1, 6, flow.Succeeded)}, flow.Undone, "undone undone"},
		{"undo ended before EffectUntil", []timedCommand{begin, step(1), {2000, Command{Kind: Undo, ID: "w"}, ""}, claim(2000, "a"), endUndo(2100, 1, 4, flow.Succeeded)}, flow.Undoing, "open"},
		{"undo ended at EffectUntil", []timedCommand{begin, step(1), {2000, Command{Kind: Undo, ID: "w"}, ""}, claim(5000, "a"), endUndo(5000, 1, 4, flow.Succeeded)}, flow.Undone, "undone"},
		{"undo ended with an old fencing token", []timedCommand{begin, step(1), endStep(1, flow.Done, true), claim(2000, "a"), claim(5000, "b"), endUndo(5100, 1, 4, flow.Succeeded)}, flow.Undoing, "done"},
		{"renewed claim keeps the fencing token", []timedCommand{begin, step(1), endStep(1, flow.Done, true), claim(2000, "a"), claim(4000, "a"), endUndo(6000, 1, 4, flow.Succeeded)}, flow.Undone, "undone"},
		{"expired claim gets a new fencing token", []timedCommand{begin, step(1), endStep(1, flow.Done, true), claim(2000, "a"), claim(6000, "a"), endUndo(6100, 1, 4, flow.Succeeded)}, flow.Undoing, "done"},
		{"claim refused while another is in force", []timedCommand{begin, step(1), endStep(1, flow.Done, true), claim(2000, "a"), claim(4000, "b"), endUndo(4100, 1, 4, flow.Succeeded)}, flow.Undone, "undone"},
		{"stuck, then skipped", []timedCommand{begin, step(1), endStep(1, flow.Done, true), claim(2000, "a"), endUndo(2000, 1, 4, flow.Unusable),
			refused(timedCommand{2000, Command{Kind: Skip, ID: "w", N: 2}, ""}, flow.OutOfOrder), {2000, Command{Kind: Skip, ID: "w", N: 1}, ""}}, flow.Undone, "skipped"},
		{"stuck, then retried", []timedCommand{begin, step(1), endStep(1, flow.Done, true), claim(2000, "a"), endUndo(2000, 1, 4, flow.Unusable), {2000, Command{Kind: Retry, ID: "w"}, ""}}, flow.Undoing, "done"},
		{"stuck, then given up", []timedCommand{begin, step(1), endStep(1, flow.Done, true), claim(2000, "a"), endUndo(2000, 1, 4, flow.Unusable), {2000, Command{Kind: GiveUp, ID: "w"}, ""}}, flow.GivenUp, "done"},
		{"lease expires", []timedCommand{begin, step(1), {9000, Command{Kind: Expire, Updates: []Update{{ID: "w"}}}, ""}, {11_000, Command{Kind: Expire, Updates: []Update{{ID: "w"}}}, ""}}, flow.Undoing, "open"},
		{"lease renewed", []timedCommand{begin, step(1), {9000, Command{Kind: RenewLease, ID: "w"}, ""}, {11_000, Command{Kind: Expire, Updates: []Update{{ID: "w"}}}, ""}}, flow.Active, "open"},
		{"deadline passes in spite of a renewed lease", []timedCommand{begin, step(1), {59_000, Command{Kind: RenewLease, ID: "w"}, ""}, {60_000, Command{Kind: Expire, Updates: []Update{{ID: "w"}}}, ""}}, flow.Undoing, "open"},
		{"undo fails DefaultAttempts times", append([]timedCommand{begin, step(1), endStep(1, flow.Done, true), claim(2000, "a")}, slices.Collect(func(yield func(timedCommand) bool) {
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
				t.Errorf("got phase %s and step states %v, want %s and %q", f.Phase, states, tc.phase, tc.steps)
			}
		})
	}
}

// TestAnyOrder applies random commands in random order, also from members whose claim has expired,
// and checks these invariants: steps are undone from the last to the first, each once, only under
// the newest fencing token, and never while their jobs may still take effect; nothing of a
// committed workflow is undone; equal commands lead to equal tables, also across a snapshot; and
// Bytes is the sum over the live workflows.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, twin := &Table{}, &Table{}
		now := int64(1000)
		ids := []string{"w1", "w2"}
		id := rapid.SampledFrom(ids)
		small := rapid.IntRange(0, 4)
		undone := map[string][]int{}
		tokens := []uint64{0}
		for i := range rapid.IntRange(1, 120).Draw(t, "commands") {
			now += int64(rapid.IntRange(0, 1500).Draw(t, "ms"))
			c := Command{Kind: rapid.SampledFrom([]Kind{Begin, Step, Step, Step, EndSteps, Commit, Undo, Expire, RenewLease, Claim, Claim, SendUndo, SendUndo, WithdrawUndos, EndUndos, EndUndos, EndUndos, EndUndos, Skip, Retry, GiveUp}).Draw(t, "kind"),
				ID: id.Draw(t, "id"), N: small.Draw(t, "n"), Deadline: now + 20_000, LeaseDuration: 8000, Until: now + int64(rapid.IntRange(0, 3000).Draw(t, "until")), By: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "by")}
			c.FencingToken, c.Destination = rapid.SampledFrom(tokens).Draw(t, "command token"), flow.Destination{Zone: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"), Until: c.Until}
			if rapid.Bool().Draw(t, "undo") {
				c.Undo = undoOf(c.N)
			}
			update := Update{ID: c.ID, Step: c.N, State: rapid.SampledFrom([]flow.State{flow.Done, flow.NoEffect, flow.InDoubt}).Draw(t, "state"), Failed: rapid.Bool().Draw(t, "failed"),
				FencingToken: rapid.SampledFrom(tokens).Draw(t, "update token"), Outcome: rapid.SampledFrom([]flow.Outcome{flow.Succeeded, flow.Succeeded, flow.NotApplied, flow.Uncertain, flow.Unusable}).Draw(t, "outcome"), Entry: uint64(rapid.IntRange(0, i+1).Draw(t, "entry"))}
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
				t.Fatalf("final phase %s changed to %s", before.Phase, after.Phase)
			}
			if after != nil && (after.Phase == flow.Undoing || after.Phase == flow.Stuck) && after.NextUndo() == 0 {
				t.Fatalf("workflow has no next undo but has not ended: %+v", after)
			}
			if before != nil {
				for k := range before.Steps {
					if before.Steps[k].State != flow.Compensated && after.Steps[k].State == flow.Compensated {
						if before.Phase != flow.Undoing || update.FencingToken != before.FencingToken || now < before.UndoReadyAt() || k+1 != before.NextUndo() {
							t.Fatalf("step %d of %+v was wrongly undone by update %+v at %d ms", k+1, before, update, now)
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
				t.Fatalf("steps of %s were undone in the order %v, want descending without repeats", id, order)
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
			t.Fatalf("Table.Bytes is %d, want the sum %d over its live workflows", table.Bytes, sum)
		}
	})
}

// TestSendUndo checks the destinations of an undo: they stay after the claim of the member that
// recorded them has expired, and only the current holder of the claim adds or withdraws entries.
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
		for _, d := range table.Find("w").Steps[0].Destinations {
			out = append(out, fmt.Sprintf("%s %d-%d by %v", d.Zone, d.FirstSentAt, d.Until, d.Entries))
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
		{1900, send(0, "a", 9000), flow.OutOfOrder, nil}, // the workflow is still active
		{2000, Command{Kind: Undo, ID: "w"}, "", nil},
		{2000, claim("d1", 5000), "", nil}, // entry 5, the fencing token of d1
		{2100, send(5, "a", 9000), "", []string{"a 2100-9000 by [6]"}},
		{2200, send(5, "a", 9100), "", []string{"a 2100-9000 by [6 7]"}}, // the window begins with the first entry
		{2300, withdraw(5, 6), "", []string{"a 2100-9000 by [7]"}},       // the attempt of entry 7 may have run
		{5000, claim("d2", 8000), "", []string{"a 2100-9000 by [7]"}},    // entry 9, the token of d2
		{5100, withdraw(5, 7), "", []string{"a 2100-9000 by [7]"}},       // the claim of d1 has expired
		{5100, send(5, "b", 9000), flow.Fenced, []string{"a 2100-9000 by [7]"}},
		{5200, send(9, "b", 9200), "", []string{"a 2100-9000 by [7]", "b 5200-9200 by [12]"}},
		{5300, send(9, "b", 5300), "", []string{"a 2100-9000 by [7]", "b 5200-9200 by [12 13]"}},
		{5400, withdraw(9, 13), "", []string{"a 2100-9000 by [7]", "b 5200-9200 by [12]"}}, // the attempt of entry 12 may have run
		{5500, withdraw(9, 12), "", []string{"a 2100-9000 by [7]"}},
		{5600, withdraw(9, 0), "", []string{"a 2100-9000 by [7]"}},
		{9000, send(9, "c", 9000), flow.Invalid, nil}, // the windows have ended
		{9000, send(9, "c", 1<<60), "", []string{"c 9000-86409000 by [18]"}},
	} {
		if kind := apply(step.at, step.c); kind != step.kind {
			t.Errorf("command %d: got refusal kind %q, want %q", i, kind, step.kind)
		}
		if diff := cmp.Diff(step.want, destinations(), cmpopts.EquateEmpty()); diff != "" {
			t.Errorf("destinations after command %d differ (-want +got):\n%s", i, diff)
		}
	}
	for range 20 { // more entries than are listed: the destination stays until its window ends
		apply(9000, send(9, "c", 20_000))
	}
	for entry := range index {
		apply(9000, withdraw(9, entry+1))
	}
	if got := destinations(); len(got) != 1 {
		t.Errorf("got destinations %v after withdrawing more entries than are listed, want 1", got)
	}
	for i := range flow.MaxDestinations {
		kind := apply(9000, send(9, fmt.Sprint("z", i), 20_000))
		if (kind == flow.TooLarge) != (i+1 == flow.MaxDestinations) {
			t.Errorf("destination %d: got refusal kind %q, want large only beyond MaxDestinations", i+2, kind)
		}
	}
}

// TestBounds checks that commands beyond the limits of a table are refused without effect, and that
// no more than MaxEnded ended workflows are retained.
func TestBounds(t *testing.T) {
	var table Table
	for i := range MaxFlows + 1 {
		changed, refusal := table.Apply(1, 1000, &Command{Kind: Begin, ID: fmt.Sprint(i), Deadline: 60_000, LeaseDuration: 1000})
		if changed != (i < MaxFlows) || (refusal != nil) != (i == MaxFlows) {
			t.Fatalf("begin of workflow %d: got changed %t and refusal %v", i, changed, refusal)
		}
	}
	body := make([]byte, flow.MaxBodyBytes)
	for i := 0; ; i++ {
		_, refusal := table.Apply(1, 1000, &Command{Kind: Step, ID: fmt.Sprint(i), N: 1, Undo: &flow.Undo{Class: "c", Path: "/x", Body: body}})
		if refusal != nil {
			if refusal.Kind != flow.TooMany || table.Bytes > MaxBytes || len(table.Live[fmt.Sprint(i)].Steps) != 0 {
				t.Errorf("got refusal %v at %d bytes, want kind many within MaxBytes and no step", refusal, table.Bytes)
			}
			break
		}
	}
	for i := range MaxFlows {
		table.Apply(1, 1000, &Command{Kind: Undo, ID: fmt.Sprint(i)})
	}
	if len(table.Ended) > MaxEnded || len(table.endedByID) > MaxEnded {
		t.Errorf("%d ended workflows are retained and %d indexed, want at most MaxEnded", len(table.Ended), len(table.endedByID))
	}
}
