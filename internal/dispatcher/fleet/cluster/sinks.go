package cluster

import (
	"errors"

	"github.com/sirupsen/logrus"

	"frosttide/internal/dispatcher/fleet/ledger"
	"frosttide/internal/dispatcher/fleet/members"
)

// membershipSink receives the membership's events from memberlist's goroutines.
type membershipSink Cluster

// Joined logs a member that is new or has returned, and has its reports on runners delivered.
func (s *membershipSink) Joined(i members.Info) {
	s.memberLog(i).Info("member joined")
	s.mailbox.Put(func(c *Cluster) { c.redeliver(i.Name) })
}

// Changed logs a member's new metadata.
func (s *membershipSink) Changed(i members.Info) { s.memberLog(i).Debug("member changed") }

// Departed drops what is kept for a member that has left or failed.
func (s *membershipSink) Departed(i members.Info) {
	s.clock.forget(i.Name)
	s.mailbox.Put(func(c *Cluster) { c.dropPeer(i.Addr) })
	l := s.memberLog(i)
	if i.Status == members.Departed {
		l.Info("member left")
		return
	}
	l.Warn("member lost")
}

func (s *membershipSink) memberLog(i members.Info) *logrus.Entry {
	return s.log.WithFields(logrus.Fields{"member": i.Name, "addr": i.Addr, "site": i.Site, "build": i.Build})
}

// NameConflict records whether this member is the later of two with one name.
func (s *membershipSink) NameConflict(mine, other members.Info) {
	s.log.WithFields(logrus.Fields{"member": mine.Name, "addr": mine.Addr, "other": other.Addr}).Error("two members have the same name; the first keeps it")
	if mine.Addr == s.port.Advertised() && mine.Epoch > other.Epoch {
		s.nameTaken.Store(true)
	}
}

// errNameTaken is returned for proposals of a member whose name belongs to an earlier one.
var errNameTaken = errors.New("another member had this name first; give this one a name of its own")

// UpdateReceived passes a gossiped update to the actor.
func (s *membershipSink) UpdateReceived(update []byte) {
	if s.pendingUpdates.Add(1) > maxPendingUpdates { // it arrives when replicas are compared
		s.pendingUpdates.Add(-1)
		s.droppedUpdates.Add(1)
		return
	}
	s.mailbox.Put(func(c *Cluster) {
		c.pendingUpdates.Add(-1)
		c.receive(update)
	})
}

// maxPendingUpdates is how many updates may wait for the actor; more are dropped and counted.
const maxPendingUpdates = 4096

// logSink receives the log's events.
type logSink Cluster

// Applied logs an applied entry and passes exclusions to the actor.
func (s *logSink) Applied(d ledger.Done) {
	if d.Refused != "" && d.Op != ledger.Flow {
		s.log.WithFields(logrus.Fields{"index": d.Index, "op": d.Op, "why": d.Refused}).Warn("an entry of the log had no effect")
	}
	if !d.Changed || d.Op == ledger.Flow {
		return
	}
	s.log.WithFields(logrus.Fields{"index": d.Index, "op": d.Op, "target": d.UID, "by": d.By, "why": d.Why}).Info("agreed")
	s.mailbox.Put(func(c *Cluster) { c.applyExclusion(d) })
}

// Restored passes the differences that a snapshot made to the actor.
func (s *logSink) Restored(previous, current ledger.State) {
	s.log.WithField("index", current.Index).Info("the log's state came by a snapshot")
	for _, d := range ledger.Differences(&previous, &current) {
		s.mailbox.Put(func(c *Cluster) { c.applyExclusion(d) })
	}
}

// LeaderChanged logs the leader.
func (s *logSink) LeaderChanged(leader string, term uint64) {
	if leader == "" {
		s.log.WithField("term", term).Warn("the log has no leader")
		return
	}
	s.log.WithFields(logrus.Fields{"leader": leader, "term": term}).Info("the log has a leader")
}

// LogOpened publishes whether this member has a disk and a log.
func (s *logSink) LogOpened(disk string, begun bool) {
	s.members.Update(func(m *members.Meta) { m.Disk, m.Log = disk, begun })
}
