package cluster

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/sirupsen/logrus"

	"frosttide/internal/dispatcher/fleet/replica"
)

// Entry is an entry of the list of runners, as a dispatcher's discovery sent it.
type Entry struct {
	UID   string
	State replica.State
	Boot  int64 // ms since 1970; 0 if unknown
	Text  []byte
}

// PublishRunners publishes an update from the dispatcher's own discovery: the changed entries, or
// the full list. restarted is set if the discovery has restarted its versions; source names the
// discovery, whose change starts a new list. It does not block.
func (c *Cluster) PublishRunners(source string, rev uint64, full, restarted bool, entries []Entry) {
	c.mailbox.Put(func(c *Cluster) {
		if source != c.source {
			c.source, c.generation, c.latestGeneration, restarted = source, 0, 0, false
			clear(c.ownRunners)
			for _, f := range c.store.All(replica.Runner) {
				if f.Scope == source {
					c.undelivered = append(c.undelivered, f)
				}
			}
		}
		c.updateRunners(rev, full, restarted, entries)
	})
}

// updateRunners merges an update from the own discovery and publishes what changed.
func (c *Cluster) updateRunners(rev uint64, full, restarted bool, entries []Entry) {
	if restarted {
		c.generation = max(c.generation+1, c.latestGeneration) // the generation of the members that have seen the restart already
		c.log.WithFields(logrus.Fields{"rev": rev, "count": c.generation}).Warn("discovery counts its versions anew")
		for uid, e := range c.ownRunners { // entries of earlier versions are obsolete
			e.rev = rev
			c.ownRunners[uid] = e
			c.publish(c.runnerFact(e))
		}
	}
	named := map[string]bool{}
	for _, e := range entries {
		named[e.UID] = true
		previous, known := c.ownRunners[e.UID]
		if known && previous.State == e.State && previous.Boot == e.Boot && slices.Equal(previous.Text, e.Text) && !restarted {
			continue // unchanged: the first report stays in force
		}
		x := ownRunner{e, rev}
		if e.State == replica.Deleted {
			delete(c.ownRunners, e.UID)
		} else {
			c.ownRunners[e.UID] = x
		}
		c.publish(c.runnerFact(x))
	}
	if !full {
		return
	}
	for uid, e := range c.ownRunners {
		if !named[uid] {
			delete(c.ownRunners, uid)
			e.State, e.rev, e.Text = replica.Deleted, rev, nil
			c.publish(c.runnerFact(e))
		}
	}
}

// runnerFact returns the fact for an entry of the own list.
func (c *Cluster) runnerFact(e ownRunner) replica.Fact {
	return replica.Fact{Key: replica.Key{Kind: replica.Runner, Name: e.UID, Scope: c.source}, State: e.State, Gen: c.generation,
		Rev: e.rev, Boot: e.Boot, Entry: e.Text, At: c.now(), By: c.cfg.Name}
}

// publish merges a fact of this member's own and gossips it.
func (c *Cluster) publish(f replica.Fact) {
	out, _, err := c.store.Merge(f, c.now())
	if err != nil {
		c.counts.Rejected++
		c.log.WithError(err).WithField("fact", f.Name).Debug("a fact can't be shared")
		return
	}
	if out == replica.Accepted {
		c.broadcast(f)
	}
}

// broadcast gossips a fact. A later fact under the same key replaces one that is still queued. One
// too large for a packet is exchanged when replicas are compared.
func (c *Cluster) broadcast(f replica.Fact) {
	text, err := json.Marshal(f)
	if err != nil {
		return // impossible: it was merged
	}
	c.members.Broadcast(fmt.Sprintf("%d/%s/%s", f.Kind, f.Name, f.Scope), text)
}

// PublishGang publishes a report on a part of a gang, in the dispatcher's format. It does not
// block.
func (c *Cluster) PublishGang(name string, text []byte) {
	c.mailbox.Put(func(c *Cluster) {
		c.publish(replica.Fact{Key: replica.Key{Kind: replica.Gang, Name: name}, Entry: text, At: c.now(), By: c.cfg.Name})
	})
}

const (
	// healthInterval is the interval after which a changed health of a runner is published again,
	// in ms; a change between failed and working is published at once.
	healthInterval = 30_000
	// maxHealthAge is the age beyond which other members' health reports are ignored, in ms.
	maxHealthAge = 10 * 60_000
	// maxHealthUpdates is how many runners' health is published at a time; the rest follows.
	maxHealthUpdates = 256
)

// healthReport is the health of a runner that was published last, and its time in ms since 1970.
type healthReport struct {
	text   string
	failed bool
	now    int64
}

// RunnerHealth is a dispatcher's measurement of a runner's health, in its own format.
type RunnerHealth struct {
	UID    string
	Failed bool
	Text   []byte
}

// PublishHealth publishes what the dispatcher's own jobs have measured. It does not block.
func (c *Cluster) PublishHealth(list []RunnerHealth) {
	c.mailbox.Put(func(c *Cluster) {
		now, sent := c.now(), 0
		for _, f := range list {
			previous, ok := c.publishedHealth[f.UID]
			if ok && previous.failed == f.Failed && (previous.text == string(f.Text) || now-previous.now < healthInterval) {
				continue
			}
			if sent++; sent > maxHealthUpdates {
				return
			}
			if !ok && len(c.publishedHealth) >= replica.DefaultBounds()[replica.Health] {
				clear(c.publishedHealth) // mostly of removed runners; the others are published once more
			}
			c.publishedHealth[f.UID] = healthReport{string(f.Text), f.Failed, now}
			c.publish(replica.Fact{Key: replica.Key{Kind: replica.Health, Name: f.UID}, Entry: f.Text, At: now, By: c.cfg.Name})
		}
	})
}
