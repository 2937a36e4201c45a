package quorum

import (
	"sync"
	"time"

	"github.com/hashicorp/raft"
	"github.com/sirupsen/logrus"
)

// patient is a store of the engine's that waits where the disk does not take a write. The
// engine ends the process when its term or vote can't be written, and must not go on without
// them: so it stands still, as to the others a stalled member does, until there is room.
type patient struct {
	raft.StableStore
	log    *logrus.Entry
	closed chan struct{}
	once   sync.Once
}

// tryEvery is how often a write is tried again.
const tryEvery = 250 * time.Millisecond

func newPatient(s raft.StableStore, log *logrus.Entry) *patient {
	return &patient{StableStore: s, log: log, closed: make(chan struct{})}
}

// Set writes a value, however long it takes.
func (p *patient) Set(key, val []byte) error {
	return p.until(func() error { return p.StableStore.Set(key, val) })
}

// SetUint64 writes a number, however long it takes.
func (p *patient) SetUint64(key []byte, val uint64) error {
	return p.until(func() error { return p.StableStore.SetUint64(key, val) })
}

func (p *patient) until(write func() error) error {
	err := write()
	if err == nil {
		return nil
	}
	p.log.WithError(err).Error("the log can't be written to disk; this member takes no part in it until it can")
	for {
		select {
		case <-time.After(tryEvery):
			if err = write(); err == nil {
				p.log.Info("the log can be written again")
				return nil
			}
		case <-p.closed:
			select {} // the process ends; to go on unwritten could mean two votes in one term
		}
	}
}

// close has writes that wait wait for ever.
func (p *patient) close() { p.once.Do(func() { close(p.closed) }) }
