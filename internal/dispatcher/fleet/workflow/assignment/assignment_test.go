package assignment

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"frosttide/internal/dispatcher/fleet/workflow/flow"
)

// TestChoose checks which workflows a member expires, claims and runs: it claims those without a
// valid claim, the earliest deadline first and the later the higher its rank, starts no more than
// its free slots allow, and leaves out workflows whose next undo is not ready.
func TestChoose(t *testing.T) {
	undoing := func(id string, deadline int64, holder string, heldUntil int64, state flow.State, until int64) *flow.Flow {
		return &flow.Flow{ID: id, Phase: flow.Undoing, Deadline: deadline, Since: 1000, Holder: holder, HeldUntil: heldUntil, FencingToken: 7, Steps: []flow.Step{{State: state, EffectUntil: until}}}
	}
	for _, tc := range []struct {
		name      string
		live      []*flow.Flow
		rank      int
		busy      string
		freeSlots int
		now       int64
		want      Plan
	}{
		{"claims the earliest deadline first", []*flow.Flow{undoing("b", 9, "", 0, flow.Done, 0), undoing("a", 8, "", 0, flow.Done, 0)}, 0, "", 1, 2000, Plan{Claim: []string{"a"}}},
		{"waits for members ahead in rank", []*flow.Flow{undoing("a", 9, "", 0, flow.Done, 0)}, 2, "", 4, 1100, Plan{}},
		{"takes over after its rank's delay", []*flow.Flow{undoing("a", 9, "", 0, flow.Done, 0)}, 2, "", 4, 1800, Plan{Claim: []string{"a"}}},
		{"claimed by another member", []*flow.Flow{undoing("a", 9, "other", 5000, flow.Done, 0)}, 0, "", 4, 4999, Plan{}},
		{"claim of another member has expired", []*flow.Flow{undoing("a", 9, "other", 5000, flow.Done, 0)}, 0, "", 4, 5000, Plan{Claim: []string{"a"}}},
		{"runs an undo under its own claim", []*flow.Flow{undoing("a", 9, "me", 5000, flow.Done, 0)}, 0, "", 4, 2000, Plan{Run: []Run{{ID: "a", Step: 1, FencingToken: 7}}}},
		{"runs an undo and renews its claim", []*flow.Flow{undoing("a", 9, "me", 5000, flow.Done, 0)}, 0, "", 4, 4000, Plan{Claim: []string{"a"}, Run: []Run{{ID: "a", Step: 1, FencingToken: 7}}}},
		{"undo is already running", []*flow.Flow{undoing("a", 9, "me", 5000, flow.Done, 0)}, 0, "a", 4, 2000, Plan{}},
		{"no free slots", []*flow.Flow{undoing("a", 9, "me", 5000, flow.Done, 0), undoing("b", 9, "", 0, flow.Done, 0)}, 0, "", 0, 2000, Plan{}},
		{"step in doubt before EffectUntil", []*flow.Flow{undoing("a", 9, "me", 5000, flow.InDoubt, 3000)}, 0, "", 4, 2999, Plan{}},
		{"step in doubt at EffectUntil", []*flow.Flow{undoing("a", 9, "me", 5000, flow.InDoubt, 3000)}, 0, "", 4, 3000, Plan{Run: []Run{{ID: "a", Step: 1, FencingToken: 7}}}},
		{"expires a workflow after its lease", []*flow.Flow{{ID: "a", Phase: flow.Active, Deadline: 9000, LeaseUntil: 2000}}, 1, "", 4, 2400, Plan{Expire: []string{"a"}}},
		{"lease has not expired", []*flow.Flow{{ID: "a", Phase: flow.Active, Deadline: 9000, LeaseUntil: 2500}}, 0, "", 4, 2400, Plan{}},
		{"stuck", []*flow.Flow{{ID: "a", Phase: flow.Stuck, Deadline: 9000, Steps: []flow.Step{{State: flow.Done}}}}, 0, "", 4, 9999, Plan{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := Choose(tc.live, "me", func(string) int { return tc.rank }, func(id string) bool { return id == tc.busy }, tc.freeSlots, 64, tc.now)
			if diff := cmp.Diff(tc.want, got, cmpopts.EquateEmpty()); diff != "" {
				t.Errorf("plan differs (-want +got):\n%s", diff)
			}
		})
	}
}
