package scale

import "testing"

// TestForce guards against orders that don't reach all members of a small fleet in time, without
// and under each fault, and checks the page's section.
//
// On a busy machine an order was sometimes not in effect in time after the loss of the leader
// ("Missed:1"): other members learned of a restarted voter before it had opened its disk, so the
// leader removed its vote ("a member came back without its log; it joins as a new one"), and the
// loss left no majority. See docs/incidents/voter-heard-of-without-its-disk.md.
func TestForce(t *testing.T) {
	found, err := RunForce(t.Context(), ForcePlan{Members: 8, Words: 3, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	if len(found) != len(Faults) {
		t.Fatalf("got results for %d faults, want %d", len(found), len(Faults))
	}
	for _, f := range found {
		if f.Words != 3 || f.Missed != 0 || f.P50 <= 0 || f.Most < f.P50 {
			t.Errorf("got %+v, want 3 orders, none missed, and 0 < p50 <= longest", f)
		}
	}
	if _, err := PutForce("a page", found, Where{}); err == nil {
		t.Error("PutForce on a page without a section for orders: got no error")
	}
	page, err := PutForce("before "+forceStart+" old "+pageEnd+" after", found, Where{Commit: "x"})
	if err != nil || page[:7] != "before " || page[len(page)-6:] != " after" || len(page) < 200 {
		t.Errorf("PutForce: got page %q, error %v; want the section replaced and the rest kept", page, err)
	}
}

// TestForcePlans guards against plans with parameters out of range that are accepted.
func TestForcePlans(t *testing.T) {
	for _, p := range []ForcePlan{{Members: 3, Words: 1}, {Members: maxMembers + 1, Words: 1}, {Members: 10}} {
		if p.Check() == nil {
			t.Errorf("Check of %+v: got no error", p)
		}
	}
}
