package cluster

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"frosttide/internal/dispatcher/fleet/recovery/mark"
)

// exclusionWriter stores the exclusions on a goroutine of its own, so that a slow disk delays neither the actor nor what
// operators have decided, but only the answers that wait for the files. Of the states that come during a write only
// the newest is written. The zero value holds nothing; put and stored may be called from any goroutine.
type exclusionWriter struct {
	dir          string // of the log; empty for none
	watermarkDir string // empty for none
	log          *logrus.Entry

	mu      sync.Mutex // not held during a write
	next    mark.Watermark
	pending chan struct{} // closed once next is stored; nil for no next
	writing chan struct{} // closed at the end of the write in progress; nil for none
	wake    chan struct{} // holds one token if there is a next

	failed *mark.Watermark // the newest state, if its write has failed; used by run only
}

// newExclusionWriter returns a writer to the folders; its run method has to be called.
func newExclusionWriter(dir, watermarkDir string, log *logrus.Entry) *exclusionWriter {
	return &exclusionWriter{dir: dir, watermarkDir: watermarkDir, log: log, wake: make(chan struct{}, 1)}
}

// put hands over the exclusions, with the log's index; they must not be changed any more.
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

// stored returns a channel that is closed once everything that was handed over is on disk, or its write has failed.
func (w *exclusionWriter) stored() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.pending != nil:
		return w.pending
	case w.writing != nil:
		return w.writing
	}
	nothing := make(chan struct{})
	close(nothing)
	return nothing
}

// run writes until ctx ends, and then what is left. What could not be written is tried again.
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
			w.writeAgain()
		}
	}
}

// exclusionRetryInterval is the interval between attempts to store the exclusions.
const exclusionRetryInterval = 250 * time.Millisecond

// writeNext writes the newest state, if there is one that was not written. Those who wait for it go on where that
// fails: the log has it.
func (w *exclusionWriter) writeNext() {
	w.mu.Lock()
	state, done := w.next, w.pending
	w.pending, w.writing = nil, done
	w.mu.Unlock()
	if done == nil {
		return
	}
	if err := w.write(state); err != nil {
		w.log.WithError(err).Warn("which runners are left out was not kept on disk; the log has it, and it is tried again")
		w.failed = &state
	} else {
		w.failed = nil
	}
	w.mu.Lock()
	w.writing = nil
	w.mu.Unlock()
	close(done)
}

// writeAgain writes the state whose write has failed last.
func (w *exclusionWriter) writeAgain() {
	if w.write(*w.failed) == nil {
		w.log.Info("which runners are left out is kept on disk again")
		w.failed = nil
	}
}

// write stores the exclusions atomically, beside the log and, with the log's index, in the watermark's folder.
func (w *exclusionWriter) write(state mark.Watermark) error {
	err := writeUIDs(w.dir, excludedFile, state.Out)
	if w.watermarkDir != "" {
		err = errors.Join(err, mark.Write(w.watermarkDir, state))
	}
	return err
}
