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
type retryingStore struct {
	raft.StableStore
	log    *logrus.Entry
	closed chan struct{}
	once   sync.Once
}

// tryEvery is how often a write is tried again.
const retryInterval = 250 * time.Millisecond

func newRetryingStore(s raft.StableStore, log *logrus.Entry) *retryingStore {
	return &retryingStore{StableStore: s, log: log, closed: make(chan struct{})}
}

// Set writes a value, however long it takes.
func (p *retryingStore) Set(key, val []byte) error {
	return p.retry(func() error { return p.StableStore.Set(key, val) })
}

// SetUint64 writes a number, however long it takes.
func (p *retryingStore) SetUint64(key []byte, val uint64) error {
	return p.retry(func() error { return p.StableStore.SetUint64(key, val) })
}

func (p *retryingStore) retry(write func() error) error {
	err := write()
	if err == nil {
		return nil
	}
	p.log.WithError(err).Error("the log can't be written to disk; this member takes no part in it until it can")
	for {
		select {
		case <-time.After(retryInterval):
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
func (p *retryingStore) close() { p.once.Do(func() { close(p.closed) }) }
