package monotime

import (
	"testing"
	"time"
)

// TestThere has a time converted and converted back be the same, and conversions keep the order of times.
func TestThere(t *testing.T) {
	at := time.Now().Add(3 * time.Second)
	if off := Time(Of(at)).Sub(at).Abs(); off > time.Second {
		t.Errorf("a time is %v off when converted back", off)
	}
	if Of(at.Add(time.Minute))-Of(at) < 59*time.Second {
		t.Error("conversions do not keep the distance of times")
	}
	if previous := Now(); Now() < previous || previous <= 0 {
		t.Error("the time since the machine's start goes back")
	}
}
