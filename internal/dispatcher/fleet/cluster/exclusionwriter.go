package cluster

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"frosttide/internal/dispatcher/fleet/recovery/mark"
)

// exclusionWriter stores the exclusions on a goroutine of its own. A slow disk therefore delays
// neither the actor nor the exclusions themselves, but only the acknowledgements that wait for the
// files. Of the states that are put during a write, only the newest is written. put and stored may
// be called from any goroutine.
type exclusionWriter struct {
	dir          string // folder of the log; empty for none
	watermarkDir string // folder of the watermark; empty for none
	log          *logrus.Entry

	mu      sync.Mutex // not held during a write
	next    mark.Watermark
	pending chan struct{} // closed once next is stored; nil if there is no next
	writing chan struct{} // closed at the end of the write in progress; nil if there is none
	wake    chan struct{} // holds one token if there is a next

	failed *mark.Watermark // the newest state if its write failed, otherwise nil; used by run only
}

// newExclusionWriter returns a writer to the two folders; its run method has to be called.
func newExclusionWriter(dir, watermarkDir string, log *logrus.Entry) *exclusionWriter {
	return &exclusionWriter{dir: dir, watermarkDir: watermarkDir, log: log, wake: make(chan struct{}, 1)}
}

// put queues the exclusions, with the log's index, for writing. The caller must not modify
// state.Out afterwards.
func (w *exclusionWriter) put(state mark.Watermark) {
	w.mu.Lock()
	w.next = state
	if w.pending == nil {
		w.pending = make(chan struct{})
	}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// stored returns a channel that is closed once every state that was put before is on disk, or its
// write has failed.
func (w *exclusionWriter) stored() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.pending != nil:
		return w.pending
	case w.writing != nil:
		return w.writing
	}
	closed := make(chan struct{})
	close(closed)
	return closed
}

// run writes the states that are put until ctx ends, then the one that is still pending, if any. It
// retries failed writes.
func (w *exclusionWriter) run(ctx context.Context) {
	for {
		var retry <-chan time.Time
		if w.failed != nil {
			retry = time.After(exclusionRetryInterval)
		}
		select {
		case <-ctx.Done():
			w.writeNext()
			return
		case <-w.wake:
			w.writeNext()
		case <-retry:
			w.retryFailed()
		}
	}
}

// exclusionRetryInterval is the interval between retries of a failed write.
const exclusionRetryInterval = 250 * time.Millisecond

// writeNext writes the pending state, if there is one. The callers that wait for it proceed even if
// the write fails, because the log has the state too.
func (w *exclusionWriter) writeNext() {
	w.mu.Lock()
	state, done := w.next, w.pending
	w.pending, w.writing = nil, done
	w.mu.Unlock()
	if done == nil {
		return
	}
	if err := w.write(state); err != nil {
		w.log.WithError(err).Warn("storing the exclusions failed; the log has them, and the write is retried")
		w.failed = &state
	} else {
		w.failed = nil
	}
	w.mu.Lock()
	w.writing = nil
	w.mu.Unlock()
	close(done)
}

// retryFailed retries the last failed write.
func (w *exclusionWriter) retryFailed() {
	if w.write(*w.failed) == nil {
		w.log.Info("the exclusions are stored on disk again")
		w.failed = nil
	}
}

// write atomically replaces the file of exclusions in the log's folder, and the watermark, which
// also has the log's index, in the watermark's folder.
func (w *exclusionWriter) write(state mark.Watermark) error {
	err := writeUIDs(w.dir, excludedFile, state.Out)
	if w.watermarkDir != "" {
		err = errors.Join(err, mark.Write(w.watermarkDir, state))
	}
	return err
}
