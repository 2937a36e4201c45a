package scale

import (
	"strings"
	"testing"

	"frosttide/internal/testkit/lab/size"
)

// TestPutUrgent has what was found written into the page's part, and nowhere else.
func TestPutUrgent(t *testing.T) {
	found := []size.Urgent{{Load: 0.9, Hang: true, Asked: 4, Started: 3, P50: 0.01, P99: 8.8, Most: 8.8}}
	if _, err := PutUrgent("a page", found, Where{}); err == nil {
		t.Error("a page with no part for urgent work is written")
	}
	page, err := PutUrgent("before "+urgentFrom+" old "+pageTo+" after", found, Where{Commit: "x", Seconds: 12})
	if err != nil || !strings.HasPrefix(page, "before ") || !strings.HasSuffix(page, " after") || !strings.Contains(page, "| 4 | 0.750 | 0.01 | 8.8 | 8.8 |") {
		t.Errorf("%q, %v", page, err)
	}
}
