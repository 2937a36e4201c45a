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

// agreeing is a log that agrees to everything.
type agreeing struct {
	wrote chan *statetable.Command
	book  *statetable.Book
	looks chan struct{}
}

func (a agreeing) Propose(_ context.Context, e ledger.Entry) (ledger.Done, error) {
	a.wrote <- e.Flow
	return ledger.Done{Changed: true, Index: 9}, nil
}
func (a agreeing) Flows(show func(*statetable.Book)) {
	if a.book != nil {
		show(a.book)
	}
}
func (a agreeing) Seen() uint64 {
	if a.looks != nil {
		a.looks <- struct{}{}
	}
	return 8
}
func (agreeing) Now() time.Duration { return time.Hour }
func (agreeing) Rank(string) int    { return 0 }

// TestWordsOfOneFlow guards an undo from being run again: what became of it is marked by its own
// tries, though a word on another step of its workflow is written beside it.
func TestWordsOfOneFlow(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	a := agreeing{wrote: make(chan *statetable.Command, 2)}
	d := New(Config{Name: "d1", AtOnce: 4}, a, nil, logrus.NewEntry(log))
	took := word{statetable.Took, 3, statetable.Word{ID: "w", N: 2, Fence: 7, Outcome: flow.OK}}
	if !d.put(took) || !d.put(word{kind: statetable.Settle, Word: statetable.Word{ID: "w", N: 1, State: flow.Never}}) {
		t.Fatal("there is no room")
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go d.storeWords(ctx)
	for range 2 {
		if c := <-a.wrote; len(c.Words) != 1 {
			t.Errorf("%s with %d words", c.Kind, len(c.Words))
		}
	}
	if e := <-d.ended; e.tries != 3 || e.wrote == nil || *e.wrote != took.Word {
		t.Errorf("it ended as %+v", e)
	}
}

// TestStaleBook guards the log from a member whose copy stands still: what it has planned by an old
// book is not said again before the log has brought it.
func TestStaleBook(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	over := &flow.Flow{ID: "w", Phase: flow.Active, Deadline: 1, Lease: 1}
	a := agreeing{make(chan *statetable.Command, 64), &statetable.Book{Live: map[string]*flow.Flow{"w": over}}, make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d := New(Config{Name: "d1", AtOnce: 4}, a, nil, logrus.NewEntry(log))
	go d.Run(ctx)
	<-a.looks
	if c := <-a.wrote; c.Kind != statetable.Expire {
		t.Fatalf("it said %s", c.Kind)
	}
	for range 2 { // a look may be under way while the word is written
		<-a.looks
	}
	was := len(a.wrote)
	for range 5 {
		<-a.looks
	}
	if n := len(a.wrote) - was; n > 0 {
		t.Errorf("it said the same %d times more", n)
	}
}
