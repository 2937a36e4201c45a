package quorum

import (
	"sync"
	"time"

	"github.com/hashicorp/raft"
	"github.com/sirupsen/logrus"
)

// retryingStore is Raft's stable store, which retries failed writes until they succeed. Raft ends
// the process if its term or vote cannot be written, and must not continue without them (Ongaro &
// Ousterhout 2014, sec. 5.2: one vote in a term). Retrying makes the member look stalled to the
// others until the disk has room again.
type retryingStore struct {
	raft.StableStore
	log    *logrus.Entry
	closed chan struct{}
	once   sync.Once
}

// retryInterval is the interval between attempts to write.
const retryInterval = 250 * time.Millisecond

func newRetryingStore(store raft.StableStore, log *logrus.Entry) *retryingStore {
	return &retryingStore{StableStore: store, log: log, closed: make(chan struct{})}
}

// Set writes a value, however long it takes.
func (p *retryingStore) Set(key, val []byte) error {
	return p.retry(func() error { return p.StableStore.Set(key, val) })
}

// SetUint64 writes a number, however long it takes.
func (p *retryingStore) SetUint64(key []byte, val uint64) error {
	return p.retry(func() error { return p.StableStore.SetUint64(key, val) })
}

// retry calls write until it succeeds, or blocks for ever once the store is closed.
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
			select {} // the process is ending; continuing without the write could lead to two votes in one term
		}
	}
}

// close makes failing writes block for ever, instead of retrying.
func (p *retryingStore) close() { p.once.Do(func() { close(p.closed) }) }
