package cluster

import (
	"encoding/json"
	"slices"

	"github.com/sirupsen/logrus"

	"frosttide/internal/dispatcher/fleet/members"
	"frosttide/internal/dispatcher/fleet/replica"
)

// receive merges a gossiped fact. Malformed facts, such as those of other builds, are counted and
// dropped.
func (c *Cluster) receive(text []byte) {
	c.counts.Received++
	var f replica.Fact
	if err := json.Unmarshal(text, &f); err != nil {
		c.countRejected(err)
		return
	}
	if c.merge(f) {
		c.broadcast(f) // forwarded once only, when it is new here
	}
}

// countRejected counts a rejected fact, and logs only the 1st, 2nd, 4th and so on to bound the
// volume of the log.
func (c *Cluster) countRejected(err error) {
	if c.counts.Rejected++; c.counts.Rejected&(c.counts.Rejected-1) == 0 {
		c.log.WithError(err).WithField("count", c.counts.Rejected).Warn("rejected an invalid fact")
	}
}

// merge merges another member's fact and reports whether it was new.
func (c *Cluster) merge(f replica.Fact) bool {
	previous, _ := c.store.Get(f.Key)
	result, conflict, err := c.store.Merge(f, c.now())
	if err != nil {
		c.countRejected(err)
		return false
	}
	if conflict {
		c.counts.Conflicts++
		c.log.WithFields(logrus.Fields{"fact": f.Name, "scope": f.Scope, "here": previous.By, "there": f.By, "took": result == replica.Accepted}).Warn("members have published contradicting facts")
	}
	if result != replica.Accepted {
		return false
	}
	c.counts.Accepted++
	switch f.Kind {
	case replica.Runner:
		if f.Scope == c.source {
			c.undelivered = append(c.undelivered, f)
		}
	case replica.Gang:
		if f.By != c.cfg.Name {
			c.dispatcher.ApplyGang(f.Entry)
		}
	case replica.Health:
		if f.By != c.cfg.Name && c.now()-f.At < maxHealthAge {
			c.dispatcher.ApplyHealth(f.Name, f.Entry)
		}
	}
	return true
}

// redeliver queues the serving runners that a member has reported for delivery again, once the
// member is known to be alive. deliver skips those that are merged before that.
func (c *Cluster) redeliver(member string) {
	for _, f := range c.store.All(replica.Runner) {
		if f.By == member && f.Scope == c.source && f.State == replica.Serving {
			c.undelivered = append(c.undelivered, f)
		}
	}
}

// deliver passes newly merged facts on runners to the dispatcher. Draining and removed runners are
// passed on at any age; a serving runner only if the member that reported it is alive, because the
// report may otherwise be obsolete. If that member becomes alive later, redeliver queues it again.
func (c *Cluster) deliver() {
	if len(c.undelivered) == 0 {
		return
	}
	var alive []members.Info
	byRev := map[uint64][][]byte{}
	for _, f := range c.undelivered {
		c.latestGeneration = max(c.latestGeneration, f.Gen)
		if len(c.ownRunners) == 0 {
			c.generation = c.latestGeneration
		}
		if f.Gen != c.generation { // versions are comparable only within a generation
			continue
		}
		entry := []byte(f.Entry)
		switch f.State {
		case replica.Deleted:
			entry, _ = json.Marshal(map[string]any{"uid": f.Name, "state": "DELETED", "boot_ms": f.Boot})
		case replica.Serving:
			if alive == nil {
				alive = c.members.Alive()
			}
			if !slices.ContainsFunc(alive, func(i members.Info) bool { return i.Name == f.By }) {
				continue
			}
		}
		if len(entry) > 0 {
			byRev[f.Rev] = append(byRev[f.Rev], entry)
		}
	}
	c.undelivered = c.undelivered[:0]
	for rev, entries := range byRev {
		c.dispatcher.ApplyRunners(c.source, rev, entries)
	}
}
