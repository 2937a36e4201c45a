package monotime

import (
	"testing"
	"time"
)

// TestThere has a time come back as it went, and moments follow it.
func TestThere(t *testing.T) {
	at := time.Now().Add(3 * time.Second)
	if off := Time(Of(at)).Sub(at).Abs(); off > time.Second {
		t.Errorf("a time came back %v off", off)
	}
	if Of(at.Add(time.Minute))-Of(at) < 59*time.Second {
		t.Error("moments do not follow their times")
	}
	if previous := Now(); Now() < previous || previous <= 0 {
		t.Error("moments go back")
	}
}
