package rosterstore

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// slowWrite is the duration after which a write in progress is logged as slow, as the disk may be
// failing.
const slowWrite = 5 * time.Second

// Writer writes snapshots in the background, one at a time. Of the snapshots that are put during a
// write or within the interval after it, only the newest is written. An urgent snapshot ends the
// interval early. The methods are safe for concurrent use, and only Close blocks.
type Writer struct {
	dir      *Dir
	interval time.Duration
	log      *logrus.Entry

	mu      sync.Mutex // not held during a write
	pending *Snapshot  // the newest snapshot that is not being written yet; nil for none
	closed  bool
	written int // generations written

	wake   chan struct{} // capacity 1; holds a token if a snapshot is pending or Close was called
	urgent chan struct{} // capacity 1; holds a token if the interval after a write is to end early
	done   chan struct{} // closed when run returns
}

// NewWriter starts a writer that waits at least interval between two writes, except for urgent
// ones. The caller must call Close.
func NewWriter(dir *Dir, interval time.Duration, log *logrus.Entry) *Writer {
	w := &Writer{
		dir:      dir,
		interval: interval,
		log:      log,
		wake:     make(chan struct{}, 1),
		urgent:   make(chan struct{}, 1),
		done:     make(chan struct{}),
	}
	go w.run()
	return w
}

// Put schedules a snapshot to be written and replaces a pending one. The snapshot must not be
// modified afterwards. After Close it is discarded.
func (w *Writer) Put(s *Snapshot) {
	w.mu.Lock()
	if !w.closed {
		w.pending = s
	}
	w.mu.Unlock()
	notify(w.wake)
}

// PutUrgent schedules a snapshot like Put, but to be written without waiting for the interval.
func (w *Writer) PutUrgent(s *Snapshot) {
	w.Put(s)
	notify(w.urgent)
}

// Close writes the pending snapshot, if any, and stops the writer. It returns when that is done
// or at the deadline, so that a hanging disk does not delay the shutdown of the process.
func (w *Writer) Close(deadline time.Time) {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	notify(w.wake)
	notify(w.urgent)
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
		w.log.Warn("the last state was not written before the shutdown deadline; the disk hangs")
	}
}

// notify puts a token into a channel of capacity 1 unless it holds one already.
func notify(token chan<- struct{}) {
	select {
	case token <- struct{}{}:
	default:
	}
}

// Written returns how many generations the writer has written successfully.
func (w *Writer) Written() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written
}

// takePending removes and returns the pending snapshot, nil for none, and whether Close was called.
func (w *Writer) takePending() (s *Snapshot, closed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s, w.pending = w.pending, nil
	return s, w.closed
}

// run writes pending snapshots until the writer is closed.
func (w *Writer) run() {
	defer close(w.done)
	failing := false
	for {
		<-w.wake
		s, closed := w.takePending()
		if s != nil {
			failing = w.save(s, failing)
		}
		if closed {
			return
		}
		timer := time.NewTimer(w.interval)
		select {
		case <-timer.C:
		case <-w.urgent:
			timer.Stop()
		}
	}
}

// save writes a generation and reports whether that failed. It logs only the first of consecutive
// failures, and the first success after them.
func (w *Writer) save(s *Snapshot, failing bool) (failed bool) {
	warning := time.AfterFunc(slowWrite, func() { w.log.Warn("writing the state takes long; dispatching goes on") })
	err := w.dir.Save(s)
	warning.Stop()
	switch {
	case err != nil && !failing:
		w.log.WithError(err).Warn("the state can't be written; dispatching goes on without")
	case err == nil && failing:
		w.log.Info("the state can be written again")
	}
	if err != nil {
		return true
	}
	w.mu.Lock()
	w.written++
	w.mu.Unlock()
	return false
}
