package quorum

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/hashicorp/raft"

	"frosttide/internal/dispatcher/fleet/ledger"
)

// nameLog writes the initial entries of a new log and then its name, if this member is the leader.
// No other entry is accepted before the name, so that a member that has the name has all initial
// entries.
func (q *Quorum) nameLog(ctx context.Context) {
	if q.raft.State() != raft.Leader || q.fsm.name() != "" {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(rpcTimeout))
	defer cancel()
	if err := q.raft.Barrier(timeoutOf(ctx)).Error(); err != nil || q.fsm.name() != "" {
		return // earlier entries are not applied yet, or one of them names the log
	}
	entries := append(q.cfg.InitialEntries[:len(q.cfg.InitialEntries):len(q.cfg.InitialEntries)], ledger.Entry{ID: "begin", Op: ledger.Begin, UID: rand.Text()})
	for _, e := range entries {
		e.By, e.At = q.cfg.Name, time.Now().UnixMilli()
		if _, err := q.write(ctx, e); err != nil {
			q.log.WithError(err).Warn("writing the log's initial entries or name failed; retrying")
			return
		}
	}
	if len(q.cfg.InitialEntries) > 0 {
		q.log.WithField("entries", len(q.cfg.InitialEntries)).Warn("the log has begun anew on an operator's request, with its initial entries")
	}
	if q.cfg.OnInitialEntries != nil {
		q.cfg.OnInitialEntries()
	}
}

// name returns the log's name, empty until it has one.
func (m *fsm) name() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Log
}
