package quorum

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/hashicorp/raft"

	"frosttide/internal/dispatcher/fleet/ledger"
	"frosttide/internal/dispatcher/fleet/recovery"
)

// judge tells how the log stands by what members that are alive say of themselves, and has
// that known where it is lost.
func (q *Quorum) judge() recovery.Verdict {
	var alive []recovery.Member
	for _, i := range q.alive() {
		if !i.Goes {
			alive = append(alive, recovery.Member{Name: i.Name, Disk: i.Disk != "", Log: i.Log, Knew: i.Knew})
		}
	}
	v := recovery.Judge(q.cfg.Voters, alive)
	was, lost := q.lost.Load(), v.Standing == recovery.Lost && !q.inForce()
	switch {
	case !lost && was != nil:
		q.lost.Store(nil)
		q.log.Info("the agreed log is found again")
	case lost && (was == nil || *was != v.Why):
		q.lost.Store(&v.Why)
		q.log.WithField("known", v.Why).Error("the agreed log is lost; nothing is written until an operator says what counts")
	}
	return v
}

// found gives a log that has begun its name, after what it has to say first. Until then
// nothing else is written, so that whoever sees the name sees all of that.
func (q *Quorum) found(ctx context.Context) {
	if q.raft.State() != raft.Leader || q.machine.name() != "" {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(rpcTime))
	defer cancel()
	if err := q.raft.Barrier(until(ctx)).Error(); err != nil || q.machine.name() != "" {
		return // an entry of before may name it yet
	}
	say := append(q.cfg.Restate[:len(q.cfg.Restate):len(q.cfg.Restate)], ledger.Entry{ID: "begin", Op: ledger.Begin, UID: rand.Text()})
	for _, e := range say {
		e.By, e.At = q.cfg.Name, time.Now().UnixMilli()
		if _, err := q.write(ctx, e); err != nil {
			q.log.WithError(err).Warn("the log has no name yet; it is tried again")
			return
		}
	}
	if len(q.cfg.Restate) > 0 {
		q.log.WithField("entries", len(q.cfg.Restate)).Warn("the log has begun anew by an operator's word, with what was kept")
	}
	if q.cfg.Restated != nil {
		q.cfg.Restated()
	}
}

// name is the log's.
func (m *machine) name() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Log
}
