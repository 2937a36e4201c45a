package core

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestReportResult guards against treating reports on jobs that are being transferred to another
// process as reports on unknown jobs.
func TestReportResult(t *testing.T) {
	c := newTestCore(t)
	c.requestsByJobID["open"] = &request{}
	c.requestsByJobID["back"] = &request{}
	c.releasedIDs["gone"], c.releasedIDs["back"] = true, true // the transfer of "back" failed
	got := map[string]ReportResult{}
	for _, id := range []string{"open", "gone", "back", "unknown"} {
		c.Report(JobEvent{ID: id, From: "s-1"}, func(r ReportResult) { got[id] = r })
	}
	deliverMail(c)
	want := map[string]ReportResult{"open": Held, "gone": Moving, "back": Held, "unknown": NotHeld}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("report results (-want +got):\n%s", diff)
	}
}
