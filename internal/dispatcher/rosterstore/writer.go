package rosterstore

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// slowWrite is how long a write may take before it is logged as slow: the disk may be failing.
const slowWrite = 5 * time.Second

// Writer writes snapshots on a goroutine of its own, one at a time. Of the snapshots that come during a write, or
// within the interval after one, only the newest is written; one that is urgent ends the interval. Its methods may be
// called from any goroutine, and none but Close blocks.
type Writer struct {
	dir      *Dir
	interval time.Duration
	log      *logrus.Entry

	mu      sync.Mutex // not held during a write
	next    *Snapshot
	closed  bool
	written int

	wake   chan struct{} // holds one token if there is a snapshot, or the writer is closed
	urgent chan struct{} // holds one token if the wait between two writes is to end
	done   chan struct{} // closed when the goroutine has ended
}

// NewWriter starts a writer that leaves at least an interval between two writes. It has to be closed.
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

// Put hands over a snapshot, which must not be changed any more.
func (w *Writer) Put(s *Snapshot) {
	w.mu.Lock()
	if !w.closed {
		w.next = s
	}
	w.mu.Unlock()
	signal(w.wake)
}

// PutUrgent hands over a snapshot like Put, and has it written without waiting for the interval.
func (w *Writer) PutUrgent(s *Snapshot) {
	w.Put(s)
	signal(w.urgent)
}

// Close has the last snapshot written and returns when it is, or at the deadline: a disk that hangs does not delay the
// shutdown of the process.
func (w *Writer) Close(deadline time.Time) {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	signal(w.wake)
	signal(w.urgent)
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
		w.log.Warn("the last state is not on disk; the disk hangs")
	}
}

// signal puts a token into a channel that holds one at most.
func signal(token chan<- struct{}) {
	select {
	case token <- struct{}{}:
	default: // there is one already
	}
}

// Written returns how many generations have been written.
func (w *Writer) Written() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written
}

func (w *Writer) take() (s *Snapshot, closed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s, w.next = w.next, nil
	return s, w.closed
}

func (w *Writer) run() {
	defer close(w.done)
	failing := false
	for {
		<-w.wake
		s, closed := w.take()
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

// save writes a generation and reports whether that failed. It logs the first failure and the first success after one.
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
