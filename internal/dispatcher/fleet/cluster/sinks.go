package cluster

import (
	"errors"

	"github.com/sirupsen/logrus"

	"frosttide/internal/dispatcher/fleet/ledger"
	"frosttide/internal/dispatcher/fleet/members"
)

// membershipSink receives the membership's events from memberlist's goroutines. It implements
// members.Sink.
type membershipSink Cluster

// Joined logs a member that is new or has returned, and delivers its facts on serving runners.
func (s *membershipSink) Joined(i members.Info) {
	s.memberLog(i).Info("member joined")
	s.mailbox.Put(func(c *Cluster) { c.redeliver(i.Name) })
}

// Changed logs a member's new metadata.
func (s *membershipSink) Changed(i members.Info) { s.memberLog(i).Debug("member changed") }

// Departed drops the clock reading and the peer actor of a member that has left or failed.
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

// memberLog returns a log entry with the fields that describe a member.
func (s *membershipSink) memberLog(i members.Info) *logrus.Entry {
	return s.log.WithFields(logrus.Fields{"member": i.Name, "addr": i.Addr, "site": i.Site, "build": i.Build})
}

// NameConflict logs that two members have the same name, and records whether this member is the
// later one of them.
func (s *membershipSink) NameConflict(mine, other members.Info) {
	s.log.WithFields(logrus.Fields{"member": mine.Name, "addr": mine.Addr, "other": other.Addr}).Error("two members have the same name; the first keeps it")
	if mine.Addr == s.port.Advertised() && mine.Epoch > other.Epoch {
		s.nameTaken.Store(true)
	}
}

// errNameTaken is the error of proposals at a member whose name belongs to an earlier one.
var errNameTaken = errors.New("another member had this name first; give this one a name of its own")

// UpdateReceived passes a gossiped update to the actor.
func (s *membershipSink) UpdateReceived(update []byte) {
	if s.pendingUpdates.Add(1) > maxPendingUpdates { // the fact is exchanged when replicas are compared
		s.pendingUpdates.Add(-1)
		s.droppedUpdates.Add(1)
		return
	}
	s.mailbox.Put(func(c *Cluster) {
		c.pendingUpdates.Add(-1)
		c.receive(update)
	})
}

// maxPendingUpdates bounds the updates queued for the actor; further ones are dropped and counted.
const maxPendingUpdates = 4096

// logSink receives the replicated log's events.
type logSink Cluster

// Applied logs an applied entry and passes exclusions to the actor.
func (s *logSink) Applied(d ledger.Done) {
	if d.Refused != "" && d.Op != ledger.Flow {
		s.log.WithFields(logrus.Fields{"index": d.Index, "op": d.Op, "why": d.Refused}).Warn("log entry was refused and had no effect")
	}
	if !d.Changed || d.Op == ledger.Flow {
		return
	}
	s.log.WithFields(logrus.Fields{"index": d.Index, "op": d.Op, "target": d.UID, "by": d.By, "why": d.Why}).Info("agreed")
	s.mailbox.Put(func(c *Cluster) { c.applyExclusion(d) })
}

// Restored passes the exclusions that a snapshot has changed to the actor.
func (s *logSink) Restored(previous, current ledger.State) {
	s.log.WithField("index", current.Index).Info("the log's state was restored from a snapshot")
	for _, d := range ledger.Differences(&previous, &current) {
		s.mailbox.Put(func(c *Cluster) { c.applyExclusion(d) })
	}
}

// LeaderChanged logs the log's new leader, or that it has none.
func (s *logSink) LeaderChanged(leader string, term uint64) {
	if leader == "" {
		s.log.WithField("term", term).Warn("the log has no leader")
		return
	}
	s.log.WithFields(logrus.Fields{"leader": leader, "term": term}).Info("the log has a leader")
}

// LogOpened publishes the ID of this member's disk, empty for none, and whether its log has
// entries.
func (s *logSink) LogOpened(disk string, hasLog bool) {
	s.members.Update(func(m *members.Meta) { m.Disk, m.Log = disk, hasLog })
}
