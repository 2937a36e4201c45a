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

// committingLog is a Log that commits each entry as index 9 and reports index 8 as the last applied
// one, like a member whose copy of the log does not advance.
type committingLog struct {
	proposed chan *statetable.Command // receives each proposed command
	table    *statetable.Table        // nil for none
	scans    chan struct{}            // receives one value per call of Seen, if not nil
}

func (l committingLog) Propose(_ context.Context, e ledger.Entry) (ledger.Done, error) {
	l.proposed <- e.Flow
	return ledger.Done{Changed: true, Index: 9}, nil
}
func (l committingLog) Flows(show func(*statetable.Table)) {
	if l.table != nil {
		show(l.table)
	}
}
func (l committingLog) Seen() uint64 {
	if l.scans != nil {
		l.scans <- struct{}{}
	}
	return 8
}
func (committingLog) Now() time.Duration { return time.Hour }
func (committingLog) Rank(string) int    { return 0 }

// TestUpdatesOfOneFlow checks that the end of an undo carries the undo's own count of attempts even
// if an update of another step of the same workflow is proposed at the same time. With a wrong
// count the member would not recognise the attempt as committed and would run the undo again.
func TestUpdatesOfOneFlow(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	replicated := committingLog{proposed: make(chan *statetable.Command, 2)}
	executor := New(Config{Name: "d1", MaxConcurrent: 4}, replicated, nil, logrus.NewEntry(log))
	undoOutcome := pendingUpdate{statetable.EndUndos, 3, statetable.Update{ID: "w", Step: 2, FencingToken: 7, Outcome: flow.Succeeded}}
	if !executor.enqueue(undoOutcome) || !executor.enqueue(pendingUpdate{kind: statetable.EndSteps, Update: statetable.Update{ID: "w", Step: 1, State: flow.NoEffect}}) {
		t.Fatal("enqueue returned false for an empty queue")
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go executor.proposeUpdates(ctx)
	for range 2 {
		if c := <-replicated.proposed; len(c.Updates) != 1 {
			t.Errorf("command %s has %d updates, want 1", c.Kind, len(c.Updates))
		}
	}
	if e := <-executor.undoEnds; e.attempts != 3 || e.committed == nil || *e.committed != undoOutcome.Update {
		t.Errorf("end of the undo is %+v, want 3 attempts and the queued update as committed", e)
	}
}

// TestStaleStateTable checks that a member does not propose the same plan again, from its stale
// table, while it has not applied the entry of its last plan.
func TestStaleStateTable(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	overdue := &flow.Flow{ID: "w", Phase: flow.Active, Deadline: 1, LeaseUntil: 1}
	replicated := committingLog{make(chan *statetable.Command, 64), &statetable.Table{Live: map[string]*flow.Flow{"w": overdue}}, make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	executor := New(Config{Name: "d1", MaxConcurrent: 4}, replicated, nil, logrus.NewEntry(log))
	go executor.Run(ctx)
	<-replicated.scans
	if c := <-replicated.proposed; c.Kind != statetable.Expire {
		t.Fatalf("first proposed command is %s, want expire", c.Kind)
	}
	for range 2 { // a scan may be running while the command is proposed
		<-replicated.scans
	}
	before := len(replicated.proposed)
	for range 5 {
		<-replicated.scans
	}
	if n := len(replicated.proposed) - before; n > 0 {
		t.Errorf("proposed %d more commands before the entry of the first was applied, want 0", n)
	}
}
