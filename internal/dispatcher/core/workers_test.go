package core

import (
	"testing"
	"time"

	"frosttide/decision"
)

// TestWorkerAgeAcrossClockSteps checks that a worker's age is the lower one by the two clocks if
// the wall clock was set: a worker that has just started must not be taken to be warm, nor one that
// started long ago to be warming up.
func TestWorkerAgeAcrossClockSteps(t *testing.T) {
	const hour = time.Hour
	start := 1000 * hour // start of the process by the wall clock
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
				t.Errorf("age = %v, want %v to %v", age, tc.youngest, tc.oldest)
			}
		})
	}
	if at := (&Core{}).startedAt("s-1", 0); at != 0 {
		t.Errorf("startedAt = %v for an unknown start, want 0", at)
	}
}

// TestWorkerStartsAreHandedOver checks that a newer process takes over the workers' ages even if
// the wall clock was set between the starts of the two processes, and that it still computes the
// age of a worker that the older process did not list.
func TestWorkerStartsAreHandedOver(t *testing.T) {
	const age, step = 5 * time.Second, time.Hour
	for name, clockStep := range map[string]time.Duration{"set back": -step, "not set": 0, "set forward": step} {
		t.Run(name, func(t *testing.T) {
			older, newer := newTestCore(t), newTestCore(t)
			boot := older.now - age
			older.updateMembers(decision.MembersReplaced, []Route{{UID: "s-1", Addr: "x", Member: decision.Member{StartedAt: boot}}})
			older.step()
			newer.startWall += clockStep
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
					t.Errorf("age of %s = %v, want about %v", uid, got, age)
				}
			}
			if len(newer.restoredStarts) > 0 {
				t.Errorf("restoredStarts = %v after all workers were listed, want none", newer.restoredStarts)
			}
		})
	}
}

// TestWholeListKeepsOtherSources guards workers that discovery does not list: its complete lists
// must not remove them from the core or from the decision module.
func TestWholeListKeepsOtherSources(t *testing.T) {
	open := openBackends{}
	c := newTestCoreWithClass(t, decision.Class{Objective: time.Second, ClientTimeout: time.Hour, WorkerKind: -1}, open)
	c.updateMembers(decision.MembersChanged, []Route{{UID: "own", Addr: "x", Source: 1}})
	c.updateMembers(decision.MembersReplaced, []Route{{UID: "a", Addr: "y"}, {UID: "b", Addr: "z"}})
	c.updateMembers(decision.MembersReplaced, []Route{{UID: "b", Addr: "z"}})
	c.step()
	if !open["own"] || !open["b"] || open["a"] {
		t.Errorf("open backends = %v, want own and b", open)
	}
	if held, limit := c.module.TokensInUse(c.workers["own"].number); held != 0 || limit == 0 {
		t.Errorf("the module has %d of %d tokens of the worker in use, want 0 of more than 0", held, limit)
	}
}
