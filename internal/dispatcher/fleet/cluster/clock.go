package cluster

import (
	"sync"
	"time"

	"frosttide/internal/dispatcher/fleet/recovery/fleetclock"
	"frosttide/internal/dispatcher/monotime"
)

// times is the member's clock: it runs on steadily whatever the machine's is set to, and is put
// right by what most members agree on.
type memberClock struct {
	mu        sync.Mutex
	startedAt time.Time
	fleet     *fleetclock.Clock
}

func newMemberClock() *memberClock {
	return &memberClock{startedAt: time.Now(), fleet: fleetclock.New(monotime.Wall(), 0)}
}

func (t *memberClock) steady() time.Duration { return time.Since(t.startedAt) }

// now is the time since 1970.
func (t *memberClock) now() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fleet.Now(t.steady())
}

// gone forgets a member's time. Guards the majority from members that are away.
func (t *memberClock) forget(member string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fleet.Forget(member)
}

// now is the time as facts have it, in ms since 1970.
func (c *Cluster) now() int64 { return c.clock.now().Milliseconds() }

// Now is the time since 1970 as the members have it.
func (c *Cluster) Now() time.Duration { return c.clock.now() }

// heardClock takes in another's time, which it told between two of this member's steady ones.
func (c *Cluster) observeClock(member string, theirs int64, sentAt, receivedAt time.Duration) {
	if theirs <= 0 { // of a build that does not tell
		return
	}
	c.clock.mu.Lock()
	by := c.clock.fleet.Observe(member, time.Duration(theirs)*time.Millisecond, sentAt, receivedAt)
	c.clock.mu.Unlock()
	if by != 0 {
		c.log.WithField("by", by.Round(time.Millisecond).String()).Warn("this machine's clock is wrong, by what most members agree on; the member goes by theirs")
	}
}
