package zones

import (
	"testing"
	"time"
)

// TestLostZone guards a zone's workers after they come back cold: a dispatcher that has
// not met them goes by what it has met of their zone.
func TestLostZone(t *testing.T) {
	const s = time.Second
	for name, c := range map[string]struct {
		history     func(*Zones)
		at          time.Duration
		startedAt   time.Duration // start of the worker that is asked for
		unavailable bool
	}{
		"nothing known":      {func(*Zones) {}, 10 * s, 0, false},
		"one alone":          {func(z *Zones) { z.RecordConnectFailure(1, false, 10*s) }, 10 * s, 0, false},
		"two in a row":       {func(z *Zones) { z.RecordConnectFailure(1, false, 9*s); z.RecordConnectFailure(1, false, 10*s) }, 11 * s, 0, true},
		"the same one twice": {func(z *Zones) { z.RecordConnectFailure(1, false, 9*s); z.RecordConnectFailure(1, true, 10*s) }, 11 * s, 0, false},
		"the others once more": {func(z *Zones) {
			z.RecordConnectFailure(1, false, s)
			z.RecordConnectFailure(1, false, s)
			z.RecordConnectFailure(1, true, 10*s)
		}, 11 * s, 0, true},
		"another zone's": {func(z *Zones) { z.RecordConnectFailure(0, false, 9*s); z.RecordConnectFailure(2, false, 10*s) }, 11 * s, 0, false},
		"one served between": {func(z *Zones) {
			z.RecordConnectFailure(1, false, 8*s)
			z.RecordSuccess(1, 8*s, 9*s)
			z.RecordConnectFailure(1, false, 10*s)
		}, 10 * s, 0, false},
		"sent before the loss": {func(z *Zones) {
			z.RecordConnectFailure(1, false, 9*s)
			z.RecordConnectFailure(1, false, 10*s)
			z.RecordSuccess(1, 8*s, 11*s)
		}, 14 * s, 0, true},
		"told of a new start": {func(z *Zones) { z.RecordConnectFailure(1, false, 9*s); z.RecordConnectFailure(1, false, 10*s) }, 11 * s, 10500 * time.Millisecond, false},
		"back just now": {func(z *Zones) {
			z.RecordConnectFailure(1, false, 9*s)
			z.RecordConnectFailure(1, false, 10*s)
			z.RecordSuccess(1, 11*s, 12*s)
		}, 14 * s, 0, true},
		"back for a while": {func(z *Zones) {
			z.RecordConnectFailure(1, false, 9*s)
			z.RecordConnectFailure(1, false, 10*s)
			z.RecordSuccess(1, 11*s, 12*s)
		}, 16 * s, 0, false},
		"told by now, or never": {func(z *Zones) { z.RecordConnectFailure(1, false, 9*s); z.RecordConnectFailure(1, false, 10*s) }, 17 * s, 0, false},
	} {
		var z Zones
		c.history(&z)
		if got := z.Unavailable(1, c.startedAt, c.at); got != c.unavailable {
			t.Errorf("%s: away is %v, want %v", name, got, c.unavailable)
		}
	}
}

// TestUsualStart guards late starts from being the usual ones, and odd zones.
func TestUsualStart(t *testing.T) {
	var z Zones
	z.RecordStart(0, 5*time.Millisecond)
	z.RecordStart(0, time.Second)
	z.RecordStart(1<<40, time.Second)
	z.RecordStart(-1, 4*time.Millisecond)
	if got := z.UsualStart(0); got != 4*time.Millisecond {
		t.Errorf("usual start %v, want the quickest, 4ms", got)
	}
	if len(z.all) > maxZones || z.UsualStart(1) != 0 {
		t.Errorf("%d zones, usual start in one without any %v", len(z.all), z.UsualStart(1))
	}
}
