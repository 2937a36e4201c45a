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
func (c *Cluster) Told(source string, rev uint64, whole, back bool, entries []Entry) {
	c.box.Put(func(c *Cluster) {
		if source != c.source {
			c.source, c.gen, c.latest, back = source, 0, 0, false
			clear(c.mine)
			for _, f := range c.store.All(replica.Runner) {
				if f.Scope == source {
					c.fresh = append(c.fresh, f)
				}
			}
		}
		c.listed(rev, whole, back, entries)
	})
}

func (c *Cluster) listed(rev uint64, whole, back bool, entries []Entry) {
	if back {
		c.gen = max(c.gen+1, c.latest) // as others count it who have seen it begin anew
		c.log.WithFields(logrus.Fields{"rev": rev, "count": c.gen}).Warn("discovery counts its versions anew")
		for uid, e := range c.mine { // what it said before counts no more
			e.rev = rev
			c.mine[uid] = e
			c.say(c.fact(e))
		}
	}
	named := map[string]bool{}
	for _, e := range entries {
		named[e.UID] = true
		was, known := c.mine[e.UID]
		if known && was.State == e.State && was.Boot == e.Boot && slices.Equal(was.Text, e.Text) && !back {
			continue // told again: the first telling counts
		}
		x := own{e, rev}
		if e.State == replica.Deleted {
			delete(c.mine, e.UID)
		} else {
			c.mine[e.UID] = x
		}
		c.say(c.fact(x))
	}
	if !whole {
		return
	}
	for uid, e := range c.mine {
		if !named[uid] {
			delete(c.mine, uid)
			e.State, e.rev, e.Text = replica.Deleted, rev, nil
			c.say(c.fact(e))
		}
	}
}

func (c *Cluster) fact(e own) replica.Fact {
	return replica.Fact{Key: replica.Key{Kind: replica.Runner, Name: e.UID, Scope: c.source}, State: e.State, Gen: c.gen,
		Rev: e.rev, Boot: e.Boot, Entry: e.Text, At: c.now(), By: c.cfg.Name}
}

// say takes in a fact of this member's own and tells it to the others.
func (c *Cluster) say(f replica.Fact) {
	out, _, err := c.store.Merge(f, c.now())
	if err != nil {
		c.told.Refused++
		c.log.WithError(err).WithField("fact", f.Name).Debug("a fact can't be shared")
		return
	}
	if out == replica.Took {
		c.spread(f)
	}
}

// spread gossips a fact. Guards its order: of two under one key the later takes the place of
// the earlier in the queue. One too long for a packet goes when copies are compared.
func (c *Cluster) spread(f replica.Fact) {
	text, err := json.Marshal(f)
	if err != nil {
		return // can't be: it was merged
	}
	c.list.Say(fmt.Sprintf("%d/%s/%s", f.Kind, f.Name, f.Scope), text)
}

// word takes in a gossiped word. Guards against members of another build and garbled packets:
// what can't be read is counted and dropped.
func (c *Cluster) word(text []byte) {
	c.told.Heard++
	var f replica.Fact
	if err := json.Unmarshal(text, &f); err != nil {
		c.refused(err)
		return
	}
	if c.take(f) {
		c.spread(f) // once, as it is new here
	}
}

func (c *Cluster) refused(err error) {
	if c.told.Refused++; c.told.Refused&(c.told.Refused-1) == 0 { // the 1st, 2nd, 4th, ...: guards the log
		c.log.WithError(err).WithField("count", c.told.Refused).Warn("a member's word was not taken")
	}
}

// take merges another member's fact and tells whether it was new.
func (c *Cluster) take(f replica.Fact) bool {
	was, _ := c.store.Get(f.Key)
	out, conflict, err := c.store.Merge(f, c.now())
	if err != nil {
		c.refused(err)
		return false
	}
	if conflict {
		c.told.Conflicts++
		c.log.WithFields(logrus.Fields{"fact": f.Name, "scope": f.Scope, "here": was.By, "there": f.By, "took": out == replica.Took}).Warn("members contradict each other")
	}
	if out != replica.Took {
		return false
	}
	c.told.Took++
	switch f.Kind {
	case replica.Runner:
		if f.Scope == c.source {
			c.fresh = append(c.fresh, f)
		}
	case replica.Gang:
		if f.By != c.cfg.Name {
			c.to.HearGang(f.Entry)
		}
	case replica.Health:
		if f.By != c.cfg.Name && c.now()-f.At < healthOld {
			c.to.Hint(f.Name, f.Entry)
		}
	}
	return true
}

// TellGang makes known how a part of a gang does, in the dispatcher's own form. It does not
// block.
func (c *Cluster) TellGang(name string, text []byte) {
	c.box.Put(func(c *Cluster) {
		c.say(replica.Fact{Key: replica.Key{Kind: replica.Gang, Name: name}, Entry: text, At: c.now(), By: c.cfg.Name})
	})
}

const (
	// healthEvery is how long after it was told a runner's health is told again, if it has
	// changed; that it fails, or does so no more, is told at once.
	healthEvery = 30_000
	// healthOld is the age past which what others found says nothing, in ms.
	healthOld = 10 * 60_000
	// mostFound is how many runners' health is told at a time; the rest comes next time.
	mostFound = 256
)

// told is what was said of a runner's health, and when.
type told struct {
	text   string
	failed bool
	at     int64
}

// Found is what a dispatcher has found of a runner, in its own form.
type Found struct {
	UID    string
	Failed bool
	Text   []byte
}

// Found takes in what the dispatcher's own jobs have found. It does not block.
func (c *Cluster) Found(list []Found) {
	c.box.Put(func(c *Cluster) {
		at, said := c.now(), 0
		for _, f := range list {
			was, ok := c.found[f.UID]
			if ok && was.failed == f.Failed && (was.text == string(f.Text) || at-was.at < healthEvery) {
				continue
			}
			if said++; said > mostFound {
				return
			}
			if !ok && len(c.found) >= replica.DefaultBounds()[replica.Health] {
				clear(c.found) // runners that are gone; the others are told once more
			}
			c.found[f.UID] = told{string(f.Text), f.Failed, at}
			c.say(replica.Fact{Key: replica.Key{Kind: replica.Health, Name: f.UID}, Entry: f.Text, At: at, By: c.cfg.Name})
		}
	})
}

// tell brings what was taken in to the dispatcher. A runner that drains or is gone is told at
// any age; one that serves only by a member who is alive, as there its discovery can still
// change its mind.
func (c *Cluster) tell() {
	if len(c.fresh) == 0 {
		return
	}
	var alive []members.Info
	byRev := map[uint64][][]byte{}
	for _, f := range c.fresh {
		c.latest = max(c.latest, f.Gen)
		if len(c.mine) == 0 {
			c.gen = c.latest
		}
		if f.Gen != c.gen { // versions of another count say nothing of those here
			continue
		}
		text := []byte(f.Entry)
		switch f.State {
		case replica.Deleted:
			text, _ = json.Marshal(map[string]any{"uid": f.Name, "state": "DELETED", "boot_ms": f.Boot})
		case replica.Serving:
			if alive == nil {
				alive = c.list.Alive()
			}
			if !slices.ContainsFunc(alive, func(i members.Info) bool { return i.Name == f.By }) {
				continue
			}
		}
		if len(text) > 0 {
			byRev[f.Rev] = append(byRev[f.Rev], text)
		}
	}
	c.fresh = c.fresh[:0]
	for rev, entries := range byRev {
		c.to.Hear(c.source, rev, entries)
	}
}
