package rosterstore

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// slow is how long a write may take before it is told: the disk hangs, or is about to.
const slow = 5 * time.Second

// Writer writes snapshots one after the other in a goroutine of its own. What comes while
// one is being written, or too soon after it, is merged: the newest counts.
type Writer struct {
	dir   *Dir
	every time.Duration
	log   *logrus.Entry

	mu     sync.Mutex // never held while anything is written
	next   *Snapshot
	closed bool
	soon   chan struct{} // there is something, or it is closed
	hurry  chan struct{} // closed: no further wait between two writes
	ended  chan struct{}
	wrote  int
}

// NewWriter starts a writer that writes at most once in so long.
func NewWriter(dir *Dir, every time.Duration, log *logrus.Entry) *Writer {
	w := &Writer{dir: dir, every: every, log: log, soon: make(chan struct{}, 1), hurry: make(chan struct{}), ended: make(chan struct{})}
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
	case w.soon <- struct{}{}:
	default:
	}
}

// Close has the last snapshot written and returns when it is, or at the deadline: a disk
// that hangs holds up nobody's end.
func (w *Writer) Close(by time.Time) {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.hurry)
	}
	w.mu.Unlock()
	select {
	case w.soon <- struct{}{}:
	default:
	}
	late := time.NewTimer(time.Until(by))
	defer late.Stop()
	select {
	case <-w.ended:
	case <-late.C:
		w.log.Warn("the last state is not on disk; the disk hangs")
	}
}

// Wrote returns how many generations have been written.
func (w *Writer) Wrote() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.wrote
}

func (w *Writer) take() (s *Snapshot, closed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s, w.next = w.next, nil
	return s, w.closed
}

func (w *Writer) run() {
	defer close(w.ended)
	failing := false
	for {
		<-w.soon
		s, closed := w.take()
		if s != nil {
			late := time.AfterFunc(slow, func() { w.log.Warn("writing the state takes long; dispatching goes on") })
			err := w.dir.Save(s)
			late.Stop()
			switch {
			case err != nil && !failing:
				w.log.WithError(err).Warn("the state can't be written; dispatching goes on without")
			case err == nil && failing:
				w.log.Info("the state can be written again")
			}
			if failing = err != nil; !failing {
				w.mu.Lock()
				w.wrote++
				w.mu.Unlock()
			}
		}
		if closed {
			return
		}
		pause := time.NewTimer(w.every)
		select {
		case <-pause.C:
		case <-w.hurry:
			pause.Stop()
		}
	}
}
