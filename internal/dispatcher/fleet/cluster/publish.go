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

// PublishRunners publishes an update from the dispatcher's own discovery: the changed entries or,
// if full is set, the full list. rev is the update's version, and restarted is set if the discovery
// has restarted its versions. source names the discovery; another name starts a new list. It does
// not block.
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

// updateRunners merges an update from the own discovery and publishes the changes.
func (c *Cluster) updateRunners(rev uint64, full, restarted bool, entries []Entry) {
	if restarted {
		// Members that have seen the restart already have the new generation: it is adopted.
		c.generation = max(c.generation+1, c.latestGeneration)
		c.log.WithFields(logrus.Fields{"rev": rev, "count": c.generation}).Warn("discovery has restarted its versions")
		for uid, e := range c.ownRunners { // entries of earlier versions are obsolete
			e.rev = rev
			c.ownRunners[uid] = e
			c.publish(c.runnerFact(e))
		}
	}
	listed := map[string]bool{}
	for _, e := range entries {
		listed[e.UID] = true
		previous, known := c.ownRunners[e.UID]
		if known && previous.State == e.State && previous.Boot == e.Boot && slices.Equal(previous.Text, e.Text) && !restarted {
			continue // unchanged: the fact published first stays in force
		}
		updated := ownRunner{e, rev}
		if e.State == replica.Deleted {
			delete(c.ownRunners, e.UID)
		} else {
			c.ownRunners[e.UID] = updated
		}
		c.publish(c.runnerFact(updated))
	}
	if !full {
		return
	}
	for uid, e := range c.ownRunners {
		if !listed[uid] {
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
	result, _, err := c.store.Merge(f, c.now())
	if err != nil {
		c.counts.Rejected++
		c.log.WithError(err).WithField("fact", f.Name).Debug("own fact is invalid and not published")
		return
	}
	if result == replica.Accepted {
		c.broadcast(f)
	}
}

// broadcast gossips a fact. A later fact with the same key replaces one that is still queued. A
// fact too large for a packet is exchanged when replicas are compared.
func (c *Cluster) broadcast(f replica.Fact) {
	text, err := json.Marshal(f)
	if err != nil {
		return // unreachable: a merged fact can be encoded
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
	// healthInterval is the minimum interval between publications of a runner's changed health, in
	// ms; a change between failed and working is published at once.
	healthInterval = 30_000
	// maxHealthAge is the age beyond which other members' health reports are ignored, in ms.
	maxHealthAge = 10 * 60_000
	// maxHealthUpdates is the maximum number of runners whose health is published at a time; the
	// others follow with the next call.
	maxHealthUpdates = 256
)

// healthReport is the health of a runner as published last, with its fleet time in ms since 1970.
type healthReport struct {
	entry  string
	failed bool
	now    int64
}

// RunnerHealth is a dispatcher's measurement of a runner's health.
type RunnerHealth struct {
	UID    string
	Failed bool
	Text   []byte // in the dispatcher's format
}

// PublishHealth publishes the health of runners as measured by the dispatcher's own jobs. It does
// not block.
func (c *Cluster) PublishHealth(list []RunnerHealth) {
	c.mailbox.Put(func(c *Cluster) {
		now, sent := c.now(), 0
		for _, f := range list {
			previous, ok := c.publishedHealth[f.UID]
			if ok && previous.failed == f.Failed && (previous.entry == string(f.Text) || now-previous.now < healthInterval) {
				continue
			}
			if sent++; sent > maxHealthUpdates {
				return
			}
			if !ok && len(c.publishedHealth) >= replica.DefaultBounds()[replica.Health] {
				clear(c.publishedHealth) // most are of removed runners; the others are published again
			}
			c.publishedHealth[f.UID] = healthReport{string(f.Text), f.Failed, now}
			c.publish(replica.Fact{Key: replica.Key{Kind: replica.Health, Name: f.UID}, Entry: f.Text, At: now, By: c.cfg.Name})
		}
	})
}
