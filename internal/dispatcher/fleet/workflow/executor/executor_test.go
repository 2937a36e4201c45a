package executor

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"frosttide/internal/dispatcher/fleet/ledger"
	"frosttide/internal/dispatcher/fleet/workflow/flow"
	"frosttide/internal/dispatcher/fleet/workflow/statetable"
)

// agreeing is a log that agrees to each entry.
type agreeing struct {
	proposed chan *statetable.Command
	table    *statetable.Table
	scans    chan struct{}
}

func (a agreeing) Propose(_ context.Context, e ledger.Entry) (ledger.Done, error) {
	a.proposed <- e.Flow
	return ledger.Done{Changed: true, Index: 9}, nil
}
func (a agreeing) Flows(show func(*statetable.Table)) {
	if a.table != nil {
		show(a.table)
	}
}
func (a agreeing) Seen() uint64 {
	if a.scans != nil {
		a.scans <- struct{}{}
	}
	return 8
}
func (agreeing) Now() time.Duration { return time.Hour }
func (agreeing) Rank(string) int    { return 0 }

// TestUpdatesOfOneFlow checks that an undo's outcome carries its own count of attempts, so that it
// is not run again, even if an update of another step of its workflow is proposed at the same time.
func TestUpdatesOfOneFlow(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	a := agreeing{proposed: make(chan *statetable.Command, 2)}
	executor := New(Config{Name: "d1", MaxConcurrent: 4}, a, nil, logrus.NewEntry(log))
	undoOutcome := pendingUpdate{statetable.EndUndos, 3, statetable.Update{ID: "w", Step: 2, FencingToken: 7, Outcome: flow.Succeeded}}
	if !executor.enqueue(undoOutcome) || !executor.enqueue(pendingUpdate{kind: statetable.EndSteps, Update: statetable.Update{ID: "w", Step: 1, State: flow.NoEffect}}) {
		t.Fatal("the queue is full")
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go executor.proposeUpdates(ctx)
	for range 2 {
		if c := <-a.proposed; len(c.Updates) != 1 {
			t.Errorf("%s with %d words", c.Kind, len(c.Updates))
		}
	}
	if e := <-executor.undoEnds; e.attempts != 3 || e.agreed == nil || *e.agreed != undoOutcome.Update {
		t.Errorf("it ended as %+v", e)
	}
}

// TestStaleStateTable checks that a member whose copy of the log does not advance does not
// propose again, from its stale table, what it has planned before its entry has arrived.
func TestStaleStateTable(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	overdue := &flow.Flow{ID: "w", Phase: flow.Active, Deadline: 1, LeaseUntil: 1}
	a := agreeing{make(chan *statetable.Command, 64), &statetable.Table{Live: map[string]*flow.Flow{"w": overdue}}, make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	executor := New(Config{Name: "d1", MaxConcurrent: 4}, a, nil, logrus.NewEntry(log))
	go executor.Run(ctx)
	<-a.scans
	if c := <-a.proposed; c.Kind != statetable.Expire {
		t.Fatalf("it proposed %s", c.Kind)
	}
	for range 2 { // a scan may be running while the command is proposed
		<-a.scans
	}
	was := len(a.proposed)
	for range 5 {
		<-a.scans
	}
	if n := len(a.proposed) - was; n > 0 {
		t.Errorf("it proposed the same %d times more", n)
	}
}
