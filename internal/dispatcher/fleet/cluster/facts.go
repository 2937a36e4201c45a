package cluster

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/sirupsen/logrus"

	"frosttide/internal/dispatcher/fleet/members"
	"frosttide/internal/dispatcher/fleet/replica"
)

// Entry is one of the list, as a dispatcher's discovery told it.
type Entry struct {
	UID   string
	State replica.State
	Boot  int64 // ms since 1970; 0 for unknown
	Text  []byte
}

// Told takes in what the dispatcher's own discovery said: entries that changed, or the whole
// list; back is set where its versions have begun anew. It does not block.
// Source names whose versions they are; where that changes, what the one before told is its own.
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

func (c *Cluster) updateRunners(rev uint64, full, restarted bool, entries []Entry) {
	if restarted {
		c.generation = max(c.generation+1, c.latestGeneration) // as others count it who have seen it begin anew
		c.log.WithFields(logrus.Fields{"rev": rev, "count": c.generation}).Warn("discovery counts its versions anew")
		for uid, e := range c.ownRunners { // what it said before counts no more
			e.rev = rev
			c.ownRunners[uid] = e
			c.publish(c.runnerFact(e))
		}
	}
	named := map[string]bool{}
	for _, e := range entries {
		named[e.UID] = true
		was, known := c.ownRunners[e.UID]
		if known && was.State == e.State && was.Boot == e.Boot && slices.Equal(was.Text, e.Text) && !restarted {
			continue // told again: the first telling counts
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

func (c *Cluster) runnerFact(e ownRunner) replica.Fact {
	return replica.Fact{Key: replica.Key{Kind: replica.Runner, Name: e.UID, Scope: c.source}, State: e.State, Gen: c.generation,
		Rev: e.rev, Boot: e.Boot, Entry: e.Text, At: c.now(), By: c.cfg.Name}
}

// say takes in a fact of this member's own and tells it to the others.
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

// spread gossips a fact. Guards its order: of two under one key the later takes the place of
// the earlier in the queue. One too long for a packet goes when copies are compared.
func (c *Cluster) broadcast(f replica.Fact) {
	text, err := json.Marshal(f)
	if err != nil {
		return // can't be: it was merged
	}
	c.members.Broadcast(fmt.Sprintf("%d/%s/%s", f.Kind, f.Name, f.Scope), text)
}

// word takes in a gossiped word. Guards against members of another build and garbled packets:
// what can't be read is counted and dropped.
func (c *Cluster) receive(text []byte) {
	c.counts.Received++
	var f replica.Fact
	if err := json.Unmarshal(text, &f); err != nil {
		c.countRejected(err)
		return
	}
	if c.merge(f) {
		c.broadcast(f) // once, as it is new here
	}
}

func (c *Cluster) countRejected(err error) {
	if c.counts.Rejected++; c.counts.Rejected&(c.counts.Rejected-1) == 0 { // the 1st, 2nd, 4th, ...: guards the log
		c.log.WithError(err).WithField("count", c.counts.Rejected).Warn("a member's word was not taken")
	}
}

// take merges another member's fact and tells whether it was new.
func (c *Cluster) merge(f replica.Fact) bool {
	was, _ := c.store.Get(f.Key)
	out, conflict, err := c.store.Merge(f, c.now())
	if err != nil {
		c.countRejected(err)
		return false
	}
	if conflict {
		c.counts.Conflicts++
		c.log.WithFields(logrus.Fields{"fact": f.Name, "scope": f.Scope, "here": was.By, "there": f.By, "took": out == replica.Accepted}).Warn("members contradict each other")
	}
	if out != replica.Accepted {
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

// TellGang makes known how a part of a gang does, in the dispatcher's own form. It does not
// block.
func (c *Cluster) PublishGang(name string, text []byte) {
	c.mailbox.Put(func(c *Cluster) {
		c.publish(replica.Fact{Key: replica.Key{Kind: replica.Gang, Name: name}, Entry: text, At: c.now(), By: c.cfg.Name})
	})
}

const (
	// healthEvery is how long after it was told a runner's health is told again, if it has
	// changed; that it fails, or does so no more, is told at once.
	healthInterval = 30_000
	// healthOld is the age past which what others found says nothing, in ms.
	maxHealthAge = 10 * 60_000
	// mostFound is how many runners' health is told at a time; the rest comes next time.
	maxHealthUpdates = 256
)

// told is what was said of a runner's health, and when.
type healthReport struct {
	text   string
	failed bool
	at     int64
}

// Found is what a dispatcher has found of a runner, in its own form.
type RunnerHealth struct {
	UID    string
	Failed bool
	Text   []byte
}

// Found takes in what the dispatcher's own jobs have found. It does not block.
func (c *Cluster) PublishHealth(list []RunnerHealth) {
	c.mailbox.Put(func(c *Cluster) {
		at, sent := c.now(), 0
		for _, f := range list {
			was, ok := c.publishedHealth[f.UID]
			if ok && was.failed == f.Failed && (was.text == string(f.Text) || at-was.at < healthInterval) {
				continue
			}
			if sent++; sent > maxHealthUpdates {
				return
			}
			if !ok && len(c.publishedHealth) >= replica.DefaultBounds()[replica.Health] {
				clear(c.publishedHealth) // runners that are gone; the others are told once more
			}
			c.publishedHealth[f.UID] = healthReport{string(f.Text), f.Failed, at}
			c.publish(replica.Fact{Key: replica.Key{Kind: replica.Health, Name: f.UID}, Entry: f.Text, At: at, By: c.cfg.Name})
		}
	})
}

// tell brings what was taken in to the dispatcher. A runner that drains or is gone is told at
// any age; one that serves only by a member who is alive, as there its discovery can still
// change its mind.
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
		if f.Gen != c.generation { // versions of another count say nothing of those here
			continue
		}
		text := []byte(f.Entry)
		switch f.State {
		case replica.Deleted:
			text, _ = json.Marshal(map[string]any{"uid": f.Name, "state": "DELETED", "boot_ms": f.Boot})
		case replica.Serving:
			if alive == nil {
				alive = c.members.Alive()
			}
			if !slices.ContainsFunc(alive, func(i members.Info) bool { return i.Name == f.By }) {
				continue
			}
		}
		if len(text) > 0 {
			byRev[f.Rev] = append(byRev[f.Rev], text)
		}
	}
	c.undelivered = c.undelivered[:0]
	for rev, entries := range byRev {
		c.dispatcher.ApplyRunners(c.source, rev, entries)
	}
}
