package monotime

import (
	"testing"
	"time"
)

// TestThere checks that a time survives the conversion in both directions within a second, that
// conversions preserve intervals, and that Now never goes back.
func TestThere(t *testing.T) {
	at := time.Now().Add(3 * time.Second)
	if off := Time(Of(at)).Sub(at).Abs(); off > time.Second {
		t.Errorf("Time(Of(t)) differs from t by %v", off)
	}
	if Of(at.Add(time.Minute))-Of(at) < 59*time.Second {
		t.Error("Of does not preserve an interval of a minute")
	}
	if previous := Now(); Now() < previous || previous <= 0 {
		t.Error("Now went back, or is not positive")
	}
}
