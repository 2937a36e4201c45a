package scale

import (
	"strings"
	"testing"

	"frosttide/internal/testkit/lab/size"
)

// TestPutUrgent guards against results that are not written into the page's section, or that change
// the rest of the page.
func TestPutUrgent(t *testing.T) {
	found := []size.Urgent{{Load: 0.9, Hang: true, Asked: 4, Started: 3, P50: 0.01, P99: 8.8, Most: 8.8}}
	if _, err := PutUrgent("a page", found, Where{}); err == nil {
		t.Error("PutUrgent on a page without a section for urgent jobs: got no error")
	}
	page, err := PutUrgent("before "+urgentStart+" old "+pageEnd+" after", found, Where{Commit: "x", Seconds: 12})
	if err != nil || !strings.HasPrefix(page, "before ") || !strings.HasSuffix(page, " after") || !strings.Contains(page, "| 4 | 0.750 | 0.01 | 8.8 | 8.8 |") {
		t.Errorf("PutUrgent: got page %q, error %v; want the section replaced and the rest kept", page, err)
	}
}
