package cluster

import (
	"sync"
	"time"

	"frosttide/internal/dispatcher/fleet/recovery/fleetclock"
	"frosttide/internal/dispatcher/monotime"
)

// memberClock is the clock of the member's fleet time; see package fleetclock. It is safe for
// concurrent use.
type memberClock struct {
	mu        sync.Mutex
	startedAt time.Time
	fleet     *fleetclock.Clock
}

func newMemberClock() *memberClock {
	return &memberClock{startedAt: time.Now(), fleet: fleetclock.New(monotime.Wall(), 0)}
}

// monotonic returns the time since the start on the monotonic clock.
func (t *memberClock) monotonic() time.Duration { return time.Since(t.startedAt) }

// now returns the fleet time since 1970.
func (t *memberClock) now() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fleet.Now(t.monotonic())
}

// forget drops the reading of a departed member, so that it does not count for the majority.
func (t *memberClock) forget(member string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fleet.Forget(member)
}

// now returns the fleet time in ms since 1970, as facts use it.
func (c *Cluster) now() int64 { return c.clock.now().Milliseconds() }

// Now returns the fleet time since 1970.
func (c *Cluster) Now() time.Duration { return c.clock.now() }

// observeClock records another member's fleet time, in ms since 1970, that was read between two
// readings of this member's monotonic clock. It logs a correction of this member's fleet time.
func (c *Cluster) observeClock(member string, memberTime int64, sentAt, receivedAt time.Duration) {
	if memberTime <= 0 { // from a build that does not send its time
		return
	}
	c.clock.mu.Lock()
	correction := c.clock.fleet.Observe(member, time.Duration(memberTime)*time.Millisecond, sentAt, receivedAt)
	c.clock.mu.Unlock()
	if correction != 0 {
		c.log.WithField("by", correction.Round(time.Millisecond).String()).Warn("this machine's clock is wrong, by what most members agree on; using their time")
	}
}
