package zones

import (
	"testing"
	"time"
)

// TestLostZone checks which histories of a zone protect a worker that the dispatcher has not used.
func TestLostZone(t *testing.T) {
	const s = time.Second
	fail := func(at time.Duration) func(*Zones) {
		return func(z *Zones) { z.RecordConnectFailure(1, 0, at) }
	}
	failAgain := func(at time.Duration) func(*Zones) {
		return func(z *Zones) { z.RecordConnectFailure(1, 1, at) }
	}
	failElsewhere := func(zone int, at time.Duration) func(*Zones) {
		return func(z *Zones) { z.RecordConnectFailure(zone, 0, at) }
	}
	serve := func(sentAt, at time.Duration) func(*Zones) {
		return func(z *Zones) { z.RecordSuccess(1, sentAt, at) }
	}
	for name, c := range map[string]struct {
		history     []func(*Zones)
		at          time.Duration
		startedAt   time.Duration // of the worker that is asked about
		unavailable bool
	}{
		"nothing known":         {nil, 10 * s, 0, false},
		"one alone":             {[]func(*Zones){fail(10 * s)}, 10 * s, 0, false},
		"two in a row":          {[]func(*Zones){fail(9 * s), fail(10 * s)}, 11 * s, 0, true},
		"the same one twice":    {[]func(*Zones){fail(9 * s), failAgain(10 * s)}, 11 * s, 0, false},
		"the others once more":  {[]func(*Zones){fail(s), fail(s), failAgain(10 * s)}, 11 * s, 0, true},
		"another zone's":        {[]func(*Zones){failElsewhere(0, 9*s), failElsewhere(2, 10*s)}, 11 * s, 0, false},
		"one served between":    {[]func(*Zones){fail(8 * s), serve(8*s, 9*s), fail(10 * s)}, 10 * s, 0, false},
		"sent before the loss":  {[]func(*Zones){fail(9 * s), fail(10 * s), serve(8*s, 11*s)}, 14 * s, 0, true},
		"told of a new start":   {[]func(*Zones){fail(9 * s), fail(10 * s)}, 11 * s, 10500 * time.Millisecond, false},
		"back just now":         {[]func(*Zones){fail(9 * s), fail(10 * s), serve(11*s, 12*s)}, 14 * s, 0, true},
		"back for a while":      {[]func(*Zones){fail(9 * s), fail(10 * s), serve(11*s, 12*s)}, 16 * s, 0, false},
		"told by now, or never": {[]func(*Zones){fail(9 * s), fail(10 * s)}, 17 * s, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			var z Zones
			for _, event := range c.history {
				event(&z)
			}
			if got := z.Unavailable(1, c.startedAt, c.at); got != c.unavailable {
				t.Errorf("unavailable is %v, want %v", got, c.unavailable)
			}
		})
	}
}

// TestUsualStart checks that late starts do not count as usual, and that zone numbers out of range are
// harmless.
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
