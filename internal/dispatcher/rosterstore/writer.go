package rosterstore

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// slowWrite is how long a write may take before it is told: the disk hangs, or is about to.
const slowWrite = 5 * time.Second

// Writer writes snapshots one after the other in a goroutine of its own. What comes while
// one is being written, or too soon after it, is merged: the newest counts.
type Writer struct {
	dir      *Dir
	interval time.Duration
	log      *logrus.Entry

	mu      sync.Mutex // never held while anything is written
	next    *Snapshot
	closed  bool
	wake    chan struct{} // there is something, or it is closed
	closing chan struct{} // closed: no further wait between two writes
	done    chan struct{}
	written int
}

// NewWriter starts a writer that writes at most once in so long.
func NewWriter(dir *Dir, interval time.Duration, log *logrus.Entry) *Writer {
	w := &Writer{dir: dir, interval: interval, log: log, wake: make(chan struct{}, 1), closing: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Put hands over a snapshot, which nobody changes any more. It never waits.
func (w *Writer) Put(s *Snapshot) {
	w.mu.Lock()
	if !w.closed {
		w.next = s
	}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Close has the last snapshot written and returns when it is, or at the deadline: a disk
// that hangs holds up nobody's end.
func (w *Writer) Close(deadline time.Time) {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.closing)
	}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
		w.log.Warn("the last state is not on disk; the disk hangs")
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
			timer := time.AfterFunc(slowWrite, func() { w.log.Warn("writing the state takes long; dispatching goes on") })
			err := w.dir.Save(s)
			timer.Stop()
			switch {
			case err != nil && !failing:
				w.log.WithError(err).Warn("the state can't be written; dispatching goes on without")
			case err == nil && failing:
				w.log.Info("the state can be written again")
			}
			if failing = err != nil; !failing {
				w.mu.Lock()
				w.written++
				w.mu.Unlock()
			}
		}
		if closed {
			return
		}
		timer := time.NewTimer(w.interval)
		select {
		case <-timer.C:
		case <-w.closing:
			timer.Stop()
		}
	}
}
