package cluster

import (
	"errors"

	"github.com/sirupsen/logrus"

	"frosttide/internal/dispatcher/fleet/ledger"
	"frosttide/internal/dispatcher/fleet/members"
)

// gossip is what the members' list tells; it comes from the list's goroutines.
type membershipSink Cluster

// Joined tells of a member that is new or back.
func (g *membershipSink) Joined(i members.Info) { g.memberLog(i).Info("member joined") }

// Changed tells that one says something else of itself.
func (g *membershipSink) Changed(i members.Info) { g.memberLog(i).Debug("member changed") }

// Gone tells of one that is gone.
func (g *membershipSink) Departed(i members.Info) {
	g.clock.forget(i.Name)
	g.mailbox.Put(func(c *Cluster) { c.dropPeer(i.Addr) })
	l := g.memberLog(i)
	if i.Status == members.Departed {
		l.Info("member left")
		return
	}
	l.Warn("member lost")
}

func (g *membershipSink) memberLog(i members.Info) *logrus.Entry {
	return g.log.WithFields(logrus.Fields{"member": i.Name, "addr": i.Addr, "site": i.Site, "build": i.Build})
}

// Clash tells of two members of one name.
func (g *membershipSink) NameConflict(mine, other members.Info) {
	g.log.WithFields(logrus.Fields{"member": mine.Name, "addr": mine.Addr, "other": other.Addr}).Error("two members have the same name; the first keeps it")
	if mine.Addr == g.port.Advertised() && mine.Epoch > other.Epoch {
		g.nameTaken.Store(true)
	}
}

// errSecond is why a member whose name another has had before does not write.
var errNameTaken = errors.New("another member had this name first; give this one a name of its own")

// Heard brings a word.
func (g *membershipSink) UpdateReceived(update []byte) {
	if g.pendingUpdates.Add(1) > maxPendingUpdates { // it comes when copies are compared
		g.pendingUpdates.Add(-1)
		g.droppedUpdates.Add(1)
		return
	}
	g.mailbox.Put(func(c *Cluster) {
		c.pendingUpdates.Add(-1)
		c.receive(update)
	})
}

// mostWords is how many words may wait for the actor; more are dropped and counted.
const maxPendingUpdates = 4096

// agreement is what the log tells; it comes from the engine's goroutine.
type logSink Cluster

// Agreed tells of an entry that was applied.
func (a *logSink) Applied(d ledger.Done) {
	if d.Refused != "" && d.Op != ledger.Flow {
		a.log.WithFields(logrus.Fields{"index": d.Index, "op": d.Op, "why": d.Refused}).Warn("an entry of the log had no effect")
	}
	if !d.Changed || d.Op == ledger.Flow {
		return
	}
	a.log.WithFields(logrus.Fields{"index": d.Index, "op": d.Op, "target": d.UID, "by": d.By, "why": d.Why}).Info("agreed")
	a.mailbox.Put(func(c *Cluster) { c.applyExclusion(d) })
}

// Restored tells that a snapshot took the state's place.
func (a *logSink) Restored(was, is ledger.State) {
	a.log.WithField("index", is.Index).Info("the log's state came by a snapshot")
	for _, d := range ledger.Differences(&was, &is) {
		a.mailbox.Put(func(c *Cluster) { c.applyExclusion(d) })
	}
}

// Led tells who leads.
func (a *logSink) LeaderChanged(leader string, term uint64) {
	if leader == "" {
		a.log.WithField("term", term).Warn("the log has no leader")
		return
	}
	a.log.WithFields(logrus.Fields{"leader": leader, "term": term}).Info("the log has a leader")
}

// Formed tells what this member's part is.
func (a *logSink) LogOpened(disk string, begun bool) {
	a.members.Update(func(m *members.Meta) { m.Disk, m.Log = disk, begun })
}
