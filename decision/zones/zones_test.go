package zones

import (
	"testing"
	"time"
)

// TestLostZone checks after which failures and successes in a zone its workers are unavailable.
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
		startedAt   time.Duration // last listed start of the worker
		unavailable bool
	}{
		"no observations":                               {nil, 10 * s, 0, false},
		"one worker failed":                             {[]func(*Zones){fail(10 * s)}, 10 * s, 0, false},
		"two workers failed in a row":                   {[]func(*Zones){fail(9 * s), fail(10 * s)}, 11 * s, 0, true},
		"the same worker failed twice":                  {[]func(*Zones){fail(9 * s), failAgain(10 * s)}, 11 * s, 0, false},
		"two workers failed, one of them twice":         {[]func(*Zones){fail(s), fail(s), failAgain(10 * s)}, 11 * s, 0, true},
		"failures in other zones":                       {[]func(*Zones){failElsewhere(0, 9*s), failElsewhere(2, 10*s)}, 11 * s, 0, false},
		"a success between two failures":                {[]func(*Zones){fail(8 * s), serve(8*s, 9*s), fail(10 * s)}, 10 * s, 0, false},
		"success of a request sent before the loss":     {[]func(*Zones){fail(9 * s), fail(10 * s), serve(8*s, 11*s)}, 14 * s, 0, true},
		"start listed after the loss":                   {[]func(*Zones){fail(9 * s), fail(10 * s)}, 11 * s, 10500 * time.Millisecond, false},
		"just recovered":                                {[]func(*Zones){fail(9 * s), fail(10 * s), serve(11*s, 12*s)}, 14 * s, 0, true},
		"recovered for longer than the recovery period": {[]func(*Zones){fail(9 * s), fail(10 * s), serve(11*s, 12*s)}, 16 * s, 0, false},
		"longer than notifiedWithin after the loss":     {[]func(*Zones){fail(9 * s), fail(10 * s)}, 17 * s, 0, false},
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

// TestQuickestStart checks that the quickest start is the shortest recent one, and that zone numbers out of range are clamped.
func TestQuickestStart(t *testing.T) {
	var z Zones
	z.RecordStart(0, 5*time.Millisecond)
	z.RecordStart(0, time.Second)
	z.RecordStart(1<<40, time.Second)
	z.RecordStart(-1, 4*time.Millisecond)
	if got := z.QuickestStart(0); got != 4*time.Millisecond {
		t.Errorf("quickest start %v, want 4ms", got)
	}
	if len(z.all) > maxZones || z.QuickestStart(1) != 0 {
		t.Errorf("%d zones, want %d at most; quickest start %v in a zone without starts, want 0", len(z.all), maxZones, z.QuickestStart(1))
	}
}
