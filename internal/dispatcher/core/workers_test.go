package core

import (
	"testing"
	"time"

	"frosttide/decision"
)

// TestWorkerAgeAcrossClockSteps has a worker's age told by the younger of two clocks where the wall clock was set, so
// that none is taken for warm that is not, and none that started long ago for cold.
func TestWorkerAgeAcrossClockSteps(t *testing.T) {
	const hour = time.Hour
	started := 1000 * hour // the process's start, and the wall clock's time then
	for _, tc := range []struct {
		name     string
		now      time.Duration // the core's clock
		wall     time.Duration
		boot     time.Duration
		oldest   time.Duration // the age that it may be taken for at most
		youngest time.Duration
	}{
		{"no step", started + 10*time.Second, started + 10*time.Second, started + 8*time.Second, 2 * time.Second, 2 * time.Second},
		{"long ago", started, started, started - 5*hour, 5 * hour, 5 * hour},
		{"an hour forth before its start", started + 10*time.Second, started + hour + 10*time.Second, started + hour + 8*time.Second, 2 * time.Second, 0},
		{"an hour back before its start", started + 10*time.Second, started - hour + 10*time.Second, started - hour + 8*time.Second, 2 * time.Second, 2 * time.Second},
		{"an hour forth since its start", started + 10*time.Second, started + hour + 10*time.Second, started + 8*time.Second, 2 * time.Second, 2 * time.Second},
		{"an hour back since its start", started + 10*time.Second, started - hour + 10*time.Second, started + 8*time.Second, 2 * time.Second, 0},
	} {
		c := &Core{now: tc.now, wall: func() time.Duration { return tc.wall }}
		if age := tc.now - c.startedAt("s-1", tc.boot); age > tc.oldest || age < tc.youngest {
			t.Errorf("%s: taken for %v old, want %v to %v", tc.name, age, tc.youngest, tc.oldest)
		}
	}
	if at := (&Core{}).startedAt("s-1", 0); at != 0 {
		t.Errorf("no start told is %v", at)
	}
}

// TestWorkerStartsAreHandedOver has a newer process know how old workers are, whatever the wall clock was set to
// between the starts of the two, and a start that it is told itself count as ever.
func TestWorkerStartsAreHandedOver(t *testing.T) {
	const age, step = 5 * time.Second, time.Hour
	for _, by := range []time.Duration{-step, 0, step} {
		older, newer := newTestCore(t), newTestCore(t)
		boot := older.now - age
		older.updateMembers(decision.MembersReplaced, []Route{{UID: "s-1", Addr: "x", Member: decision.Member{StartedAt: boot}}})
		older.step()
		newer.startWall += by
		newer.wall = func() time.Duration { return newer.startWall + time.Since(newer.start) }
		newer.now = newer.moduleTime(time.Now())
		older.Snapshot(newer.Restore)
		deliverMail(older)
		deliverMail(newer)
		list := []Route{{UID: "s-1", Addr: "x", Member: decision.Member{StartedAt: boot}},
			{UID: "s-2", Addr: "y", Member: decision.Member{StartedAt: newer.now - age}}}
		newer.updateMembers(decision.MembersReplaced, list)
		for uid, w := range newer.workers {
			if got := newer.now - w.member.StartedAt; got < age-time.Second || got > age+time.Second {
				t.Errorf("set by %v: %s is taken for %v old, want %v", by, uid, got, age)
			}
		}
		if len(newer.restoredStarts) > 0 {
			t.Errorf("still held: %v", newer.restoredStarts)
		}
	}
}

// deliverMail works off a core's mail.
func deliverMail(c *Core) {
	for _, message := range c.mailbox.Drain(nil) {
		message(c)
	}
}
