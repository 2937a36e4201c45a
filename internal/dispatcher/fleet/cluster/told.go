package cluster

import (
	"errors"

	"github.com/sirupsen/logrus"

	"frosttide/internal/dispatcher/fleet/ledger"
	"frosttide/internal/dispatcher/fleet/members"
)

// gossip is what the members' list tells; it comes from the list's goroutines.
type gossip Cluster

// Joined tells of a member that is new or back.
func (g *gossip) Joined(i members.Info) { g.line(i).Info("member joined") }

// Changed tells that one says something else of itself.
func (g *gossip) Changed(i members.Info) { g.line(i).Debug("member changed") }

// Gone tells of one that is gone.
func (g *gossip) Gone(i members.Info) {
	g.times.gone(i.Name)
	g.box.Put(func(c *Cluster) { c.drop(i.Addr) })
	l := g.line(i)
	if i.Life == members.Left {
		l.Info("member left")
		return
	}
	l.Warn("member lost")
}

func (g *gossip) line(i members.Info) *logrus.Entry {
	return g.log.WithFields(logrus.Fields{"member": i.Name, "addr": i.Addr, "site": i.Site, "build": i.Build})
}

// Clash tells of two members of one name.
func (g *gossip) Clash(mine, other members.Info) {
	g.log.WithFields(logrus.Fields{"member": mine.Name, "addr": mine.Addr, "other": other.Addr}).Error("two members have the same name; the first keeps it")
	if mine.Addr == g.port.Advertised() && mine.Epoch > other.Epoch {
		g.second.Store(true)
	}
}

// errSecond is why a member whose name another has had before does not write.
var errSecond = errors.New("another member had this name first; give this one a name of its own")

// Heard brings a word.
func (g *gossip) Heard(word []byte) {
	if g.words.Add(1) > mostWords { // it comes when copies are compared
		g.words.Add(-1)
		g.lost.Add(1)
		return
	}
	g.box.Put(func(c *Cluster) {
		c.words.Add(-1)
		c.word(word)
	})
}

// mostWords is how many words may wait for the actor; more are dropped and counted.
const mostWords = 4096

// agreement is what the log tells; it comes from the engine's goroutine.
type agreement Cluster

// Agreed tells of an entry that was applied.
func (a *agreement) Agreed(d ledger.Done) {
	if d.Refused != "" && d.Op != ledger.Flow {
		a.log.WithFields(logrus.Fields{"index": d.Index, "op": d.Op, "why": d.Refused}).Warn("an entry of the log had no effect")
	}
	if !d.Changed || d.Op == ledger.Flow {
		return
	}
	a.log.WithFields(logrus.Fields{"index": d.Index, "op": d.Op, "target": d.UID, "by": d.By, "why": d.Why}).Info("agreed")
	a.box.Put(func(c *Cluster) { c.out(d) })
}

// Restored tells that a snapshot took the state's place.
func (a *agreement) Restored(was, is ledger.State) {
	a.log.WithField("index", is.Index).Info("the log's state came by a snapshot")
	for _, d := range ledger.Differences(&was, &is) {
		a.box.Put(func(c *Cluster) { c.out(d) })
	}
}

// Led tells who leads.
func (a *agreement) Led(leader string, term uint64) {
	if leader == "" {
		a.log.WithField("term", term).Warn("the log has no leader")
		return
	}
	a.log.WithFields(logrus.Fields{"leader": leader, "term": term}).Info("the log has a leader")
}

// Formed tells what this member's part is.
func (a *agreement) Formed(disk string, begun bool) {
	a.list.Update(func(m *members.Meta) { m.Disk, m.Log = disk, begun })
}
