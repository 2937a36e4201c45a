package waittime

import (
	"testing"
	"time"
)

// TestFactor checks that waits at warm workers do not raise the factor of warming ones, that the factor decays, and that
// a single wait has a bounded effect.
func TestFactor(t *testing.T) {
	var w Waits
	for range 20 {
		w.RecordWait(false, 2, 1, time.Hour)
		w.RecordWait(true, 0, 1, time.Hour)
	}
	if warm, warming := w.Factor(false, time.Hour), w.Factor(true, time.Hour); warm < 2.9 || warm > 3.01 || warming != 1 {
		t.Errorf("factors %.2f of warm and %.2f of warming workers, want 3 and 1", warm, warming)
	}
	if f := w.Factor(false, time.Hour+time.Minute); f > 1.01 {
		t.Errorf("a minute later the factor is %.2f, want 1.01 at most", f)
	}
	w.RecordWait(false, 1e9, 0.001, time.Hour+time.Minute)
	if f := w.Factor(false, time.Hour+time.Minute); f > 1+maxWait*gain+0.01 {
		t.Errorf("the factor is %.2f after one very long wait, want %.2f at most", f, 1+maxWait*gain+0.01)
	}
}
