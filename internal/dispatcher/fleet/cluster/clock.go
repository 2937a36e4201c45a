package cluster

import (
	"sync"
	"time"

	"frosttide/internal/dispatcher/fleet/recovery/fleetclock"
	"frosttide/internal/dispatcher/monotime"
)

// times is the member's clock: it runs on steadily whatever the machine's is set to, and is put
// right by what most members agree on.
type times struct {
	mu    sync.Mutex
	begun time.Time
	clock *fleetclock.Clock
}

func newTimes() *times {
	return &times{begun: time.Now(), clock: fleetclock.Begin(monotime.Wall(), 0)}
}

func (t *times) steady() time.Duration { return time.Since(t.begun) }

// now is the time since 1970.
func (t *times) now() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.clock.Now(t.steady())
}

// gone forgets a member's time. Guards the majority from members that are away.
func (t *times) gone(member string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clock.Gone(member)
}

// now is the time as facts have it, in ms since 1970.
func (c *Cluster) now() int64 { return c.times.now().Milliseconds() }

// Now is the time since 1970 as the members have it.
func (c *Cluster) Now() time.Duration { return c.times.now() }

// heardClock takes in another's time, which it told between two of this member's steady ones.
func (c *Cluster) heardClock(member string, theirs int64, asked, answered time.Duration) {
	if theirs <= 0 { // of a build that does not tell
		return
	}
	c.times.mu.Lock()
	by := c.times.clock.Heard(member, time.Duration(theirs)*time.Millisecond, asked, answered)
	c.times.mu.Unlock()
	if by != 0 {
		c.log.WithField("by", by.Round(time.Millisecond).String()).Warn("this machine's clock is wrong, by what most members agree on; the member goes by theirs")
	}
}
