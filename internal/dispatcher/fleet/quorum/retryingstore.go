package quorum

import (
	"sync"
	"time"

	"github.com/hashicorp/raft"
	"github.com/sirupsen/logrus"
)

// retryingStore is a stable store for Raft that retries failed writes until they succeed. Raft ends
// the process if its term or vote cannot be written, and must not continue without them (Ongaro &
// Ousterhout 2014, sec. 5.2: at most one vote per term). While a write is being retried, for
// example because the disk is full, the member looks stalled to the others.
type retryingStore struct {
	raft.StableStore
	log    *logrus.Entry
	closed chan struct{}
	once   sync.Once
}

// retryInterval is the interval between attempts to repeat a failed write.
const retryInterval = 250 * time.Millisecond

func newRetryingStore(store raft.StableStore, log *logrus.Entry) *retryingStore {
	return &retryingStore{StableStore: store, log: log, closed: make(chan struct{})}
}

// Set stores a value under key and blocks until the write succeeds.
func (p *retryingStore) Set(key, val []byte) error {
	return p.retry(func() error { return p.StableStore.Set(key, val) })
}

// SetUint64 stores a number under key and blocks until the write succeeds.
func (p *retryingStore) SetUint64(key []byte, val uint64) error {
	return p.retry(func() error { return p.StableStore.SetUint64(key, val) })
}

// retry calls write until it succeeds. Once the store is closed, a failing write blocks forever.
func (p *retryingStore) retry(write func() error) error {
	err := write()
	if err == nil {
		return nil
	}
	p.log.WithError(err).Error("writing Raft's term or vote failed; this member does not participate in the log until a retry succeeds")
	for {
		select {
		case <-time.After(retryInterval):
			if err = write(); err == nil {
				p.log.Info("writing Raft's term or vote succeeds again")
				return nil
			}
		case <-p.closed:
			// The process is ending. Returning without the write could allow two votes in one term.
			select {}
		}
	}
}

// close makes failing writes block forever instead of being retried.
func (p *retryingStore) close() { p.once.Do(func() { close(p.closed) }) }
