package executor

import (
	"maps"
	"time"

	"frosttide/internal/dispatcher/fleet/workflow/assignment"
	"frosttide/internal/dispatcher/fleet/workflow/flow"
)

// undoSet is the set of undos that this member runs or has run, by the workflow's id. It belongs to
// the goroutine of Executor.decide and is not safe for concurrent use.
type undoSet struct {
	running map[string]bool
	retryAt map[string]time.Time   // rejected undos that are not run again before
	agreed  map[string]undoAttempt // outcomes that are agreed on but perhaps not applied here yet
}

// undoAttempt identifies one attempt of an undo within a workflow.
type undoAttempt struct {
	step         int
	fencingToken uint64
	attempts     int
}

// newUndoSet returns an empty set.
func newUndoSet() *undoSet {
	return &undoSet{running: map[string]bool{}, retryAt: map[string]time.Time{}, agreed: map[string]undoAttempt{}}
}

// start adds an undo that is about to run. It returns false if the log has agreed on the outcome of
// this attempt already, which must not run again.
func (s *undoSet) start(r assignment.Run) bool {
	if s.agreed[r.ID] == (undoAttempt{r.Step, r.FencingToken, r.Attempts}) {
		return false
	}
	s.running[r.ID] = true
	return true
}

// end removes an undo that does not run any more.
func (s *undoSet) end(end undoEnd) {
	delete(s.running, end.id)
	if end.agreed != nil {
		s.agreed[end.id] = undoAttempt{end.agreed.Step, end.agreed.FencingToken, end.attempts}
	}
	if end.retryAfter > 0 {
		s.retryAt[end.id] = time.Now().Add(end.retryAfter)
	}
}

// busy reports whether an undo of a workflow runs here or waits for its retry.
func (s *undoSet) busy(id string) bool {
	_, waits := s.retryAt[id]
	return s.running[id] || waits
}

// dropOld removes the retries that are due, and the outcomes of workflows that are not live any
// more.
func (s *undoSet) dropOld(live []*flow.Flow) {
	for id, at := range s.retryAt {
		if time.Now().After(at) {
			delete(s.retryAt, id)
		}
	}
	if len(s.agreed) == 0 {
		return
	}
	isLive := map[string]bool{}
	for _, f := range live {
		isLive[f.ID] = true
	}
	maps.DeleteFunc(s.agreed, func(id string, _ undoAttempt) bool { return !isLive[id] })
}
