package waittime

import (
	"testing"
	"time"
)

// TestFactor checks that waits at warm workers do not count for warming ones, and are forgotten.
func TestFactor(t *testing.T) {
	var w Waits
	for range 20 {
		w.RecordWait(false, 2, 1, time.Hour)
		w.RecordWait(true, 0, 1, time.Hour)
	}
	if warm, cold := w.Factor(false, time.Hour), w.Factor(true, time.Hour); warm < 2.9 || warm > 3.01 || cold != 1 {
		t.Errorf("factors %.2f and %.2f, want 3 and 1", warm, cold)
	}
	if f := w.Factor(false, time.Hour+time.Minute); f > 1.01 {
		t.Errorf("a minute later the factor is %.2f", f)
	}
	w.RecordWait(false, 1e9, 0.001, time.Hour+time.Minute)
	if f := w.Factor(false, time.Hour+time.Minute); f > 1+maxWait*gain+0.01 {
		t.Errorf("one job makes it %.2f", f)
	}
}
