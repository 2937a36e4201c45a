package executor

import (
	"maps"
	"time"

	"frosttide/internal/dispatcher/fleet/workflow/assignment"
	"frosttide/internal/dispatcher/fleet/workflow/flow"
)

// undoSet tracks the undos that this member runs, delays or has run. Its maps are keyed by the ids
// of workflows. It is owned by the goroutine of Executor.decide and is not safe for concurrent use.
type undoSet struct {
	running   map[string]bool
	retryAt   map[string]time.Time   // earliest times at which delayed undos are run again
	committed map[string]undoAttempt // attempts whose outcome is committed, perhaps not applied here
}

// undoAttempt identifies an attempt of an undo within its workflow.
type undoAttempt struct {
	step         int
	fencingToken uint64
	attempts     int // failed attempts before this one
}

// newUndoSet returns an empty undoSet with its maps allocated.
func newUndoSet() *undoSet {
	return &undoSet{running: map[string]bool{}, retryAt: map[string]time.Time{}, committed: map[string]undoAttempt{}}
}

// start adds an undo that is about to run. It returns false and adds nothing if the outcome of this
// attempt has been committed, because the attempt must not run again.
func (s *undoSet) start(r assignment.Run) bool {
	if s.committed[r.ID] == (undoAttempt{r.Step, r.FencingToken, r.Attempts}) {
		return false
	}
	s.running[r.ID] = true
	return true
}

// end removes an undo that has stopped running, and records its committed outcome and its retry
// delay, if there are any.
func (s *undoSet) end(end undoEnd) {
	delete(s.running, end.id)
	if end.committed != nil {
		s.committed[end.id] = undoAttempt{end.committed.Step, end.committed.FencingToken, end.attempts}
	}
	if end.retryAfter > 0 {
		s.retryAt[end.id] = time.Now().Add(end.retryAfter)
	}
}

// busy reports whether an undo of a workflow runs here or is waiting to be run again.
func (s *undoSet) busy(id string) bool {
	_, waits := s.retryAt[id]
	return s.running[id] || waits
}

// dropOld removes retry times that have passed, and the committed outcomes of workflows that are
// not in live.
func (s *undoSet) dropOld(live []*flow.Flow) {
	for id, at := range s.retryAt {
		if time.Now().After(at) {
			delete(s.retryAt, id)
		}
	}
	if len(s.committed) == 0 {
		return
	}
	isLive := map[string]bool{}
	for _, f := range live {
		isLive[f.ID] = true
	}
	maps.DeleteFunc(s.committed, func(id string, _ undoAttempt) bool { return !isLive[id] })
}
