package core

import (
	"testing"
	"time"

	"frosttide/decision"
)

// TestWorkerAgeAcrossClockSteps has a worker's age be the younger by two clocks where
// the wall clock was set, so that none is taken for warm that is not, and none that
// started long ago for warming.
func TestWorkerAgeAcrossClockSteps(t *testing.T) {
	const hour = time.Hour
	start := 1000 * hour // of the process, by the wall clock
	now := start + 10*time.Second
	for _, tc := range []struct {
		name             string
		now              time.Duration // by the core's clock
		wall             time.Duration // by the wall clock
		boot             time.Duration
		oldest, youngest time.Duration // the bounds of the age
	}{
		{"no step", now, now, start + 8*time.Second, 2 * time.Second, 2 * time.Second},
		{"long ago", start, start, start - 5*hour, 5 * hour, 5 * hour},
		{"an hour forward before its start", now, now + hour, start + hour + 8*time.Second, 2 * time.Second, 0},
		{"an hour back before its start", now, now - hour, start - hour + 8*time.Second, 2 * time.Second, 2 * time.Second},
		{"an hour forward since its start", now, now + hour, start + 8*time.Second, 2 * time.Second, 2 * time.Second},
		{"an hour back since its start", now, now - hour, start + 8*time.Second, 2 * time.Second, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := &Core{now: tc.now, wall: func() time.Duration { return tc.wall }}
			if age := tc.now - c.startedAt("s-1", tc.boot); age > tc.oldest || age < tc.youngest {
				t.Errorf("taken for %v old, want %v to %v", age, tc.youngest, tc.oldest)
			}
		})
	}
	if at := (&Core{}).startedAt("s-1", 0); at != 0 {
		t.Errorf("a worker whose start is not known started at %v", at)
	}
}

// TestWorkerStartsAreHandedOver has a newer process know how old workers are, whatever
// the wall clock was set to between the starts of the two processes, and count a start
// that it learns of itself as ever.
func TestWorkerStartsAreHandedOver(t *testing.T) {
	const age, step = 5 * time.Second, time.Hour
	for name, by := range map[string]time.Duration{"set back": -step, "not set": 0, "set forward": step} {
		t.Run(name, func(t *testing.T) {
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
			newer.updateMembers(decision.MembersReplaced, []Route{
				{UID: "s-1", Addr: "x", Member: decision.Member{StartedAt: boot}},
				{UID: "s-2", Addr: "y", Member: decision.Member{StartedAt: newer.now - age}},
			})
			for uid, w := range newer.workers {
				if got := newer.now - w.member.StartedAt; got < age-time.Second || got > age+time.Second {
					t.Errorf("%s is taken for %v old, want %v", uid, got, age)
				}
			}
			if len(newer.restoredStarts) > 0 {
				t.Errorf("still held: %v", newer.restoredStarts)
			}
		})
	}
}

// TestWholeListKeepsOtherSources guards workers that discovery does not list against its
// whole lists, for the core and for the decision module.
func TestWholeListKeepsOtherSources(t *testing.T) {
	open := openBackends{}
	c := newTestCoreWith(t, decision.Class{Objective: time.Second, ClientTimeout: time.Hour, WorkerKind: -1}, open)
	c.updateMembers(decision.MembersChanged, []Route{{UID: "own", Addr: "x", Source: 1}})
	c.updateMembers(decision.MembersReplaced, []Route{{UID: "a", Addr: "y"}, {UID: "b", Addr: "z"}})
	c.updateMembers(decision.MembersReplaced, []Route{{UID: "b", Addr: "z"}})
	c.step()
	if !open["own"] || !open["b"] || open["a"] {
		t.Errorf("open are %v", open)
	}
	if held, limit := c.module.TokensInUse(c.workers["own"].number); held != 0 || limit == 0 {
		t.Errorf("to the module the worker has %d tokens in use, of %d", held, limit)
	}
}
