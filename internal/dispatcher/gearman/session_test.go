package gearman

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"frosttide/decision"
	"frosttide/internal/dispatcher/core"
	"frosttide/internal/dispatcher/gearman/proto"
	"frosttide/internal/dispatcher/trace"
)

// ledger plays the core: it notes how each hop ends.
type ledger struct {
	mu     sync.Mutex
	ends   map[core.AttemptRef][]string
	taken  map[core.AttemptRef]bool
	byID   map[string]core.AttemptRef
	called map[core.AttemptRef]int // how often it was told that a hop is called off
	routes chan core.Route
}

func (l *ledger) Submit(*core.Job, core.Ingress) {}
func (l *ledger) ClientLeft(*core.Job)           {}
func (l *ledger) AttemptAccepted(ref core.AttemptRef, _ core.Delivery) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.taken[ref] = true
}

func (l *ledger) AttemptEnded(ref core.AttemptRef, o decision.Outcome, _ []float32, _ core.Delivery) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ends[ref] = append(l.ends[ref], fmt.Sprint("outcome ", o, " taken ", l.taken[ref]))
}

func (l *ledger) AttemptRecalled(ref core.AttemptRef, _ bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.called[ref]++
}

func (l *ledger) Report(ev core.JobEvent, took func(bool)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ev.State == core.JobDone || ev.State == core.JobFailed {
		l.ends[l.byID[ev.ID]] = append(l.ends[l.byID[ev.ID]], "reported")
	}
	took(true)
}

func (l *ledger) RoutesChanged(routes []core.Route) {
	for _, r := range routes {
		l.routes <- r
	}
}

// heard waits until the session has acted on all that it was told.
func heard(to core.Backend) {
	done := make(chan struct{})
	if to.(target).x.tell(func(*session) { close(done) }) {
		<-done
	}
}

type none struct{}

func (none) Completed(int)                                 {}
func (none) Rejected(int)                                  {}
func (none) Failed(int)                                    {}
func (none) Sent(int)                                      {}
func (none) Pending(int)                                   {}
func (none) Begin(time.Time, string, string) *trace.Record { return nil }
func (none) Ended(*trace.Record)                           {}

// TestWorkerStates holds any order of a worker's packets, the core's sends and its giving
// up against one law: each hop ends once, as one that never ran exactly where the worker was
// not given it, and nothing is told of one that was given up.
func TestWorkerStates(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	l := &ledger{}
	s, err := New(Config{Listen: "127.0.0.1:0", Functions: map[string]Function{"cut": {}}, Connections: 8, Jobs: 8, Packet: 64 << 10}, l,
		none{}, none{}, logrus.NewEntry(log))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go s.Run(ctx)
	rapid.Check(t, func(t *rapid.T) {
		l.mu.Lock()
		l.ends, l.taken, l.byID = map[core.AttemptRef][]string{}, map[core.AttemptRef]bool{}, map[string]core.AttemptRef{}
		l.called = map[core.AttemptRef]int{}
		l.routes = make(chan core.Route, 1024)
		l.mu.Unlock()
		p := dial(t, s.Addr())
		defer p.Close()
		p.write(proto.CanDo, "cut")
		route := <-l.routes
		to := s.Open(route.Addr)
		givenUp := map[core.AttemptRef]int{} // how many ends there were by then
		var hops []core.Attempt
		handle := ""
		for i := range rapid.IntRange(1, 25).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1:
				h := core.Attempt{Ref: core.AttemptRef{Request: decision.RequestID(i + 1)}, Job: &core.Job{ID: fmt.Sprint("j", i), Resource: "/cut/cut"},
					Deadline: time.Now().Add(time.Hour)}
				l.mu.Lock()
				l.byID[h.Job.ID] = h.Ref
				l.mu.Unlock()
				hops = append(hops, h)
				to.Send(h)
			case 2:
				if len(hops) > 0 {
					h := hops[len(hops)-1]
					to.Cancel(h)
					heard(to) // from here on nothing is told of it
					l.mu.Lock()
					if _, twice := givenUp[h.Ref]; !twice {
						givenUp[h.Ref] = len(l.ends[h.Ref])
					}
					l.mu.Unlock()
				}
			case 3, 4:
				p.write(rapid.SampledFrom([]proto.Type{proto.GrabJob, proto.GrabJobUniq, proto.GrabJobAll}).Draw(t, "grab"))
			case 5:
				p.write(proto.PreSleep)
			case 6:
				p.write(rapid.SampledFrom([]proto.Type{proto.CanDo, proto.CantDo}).Draw(t, "can"), "cut")
			case 7:
				p.write(proto.WorkComplete, rapid.SampledFrom([]string{handle, "W:0:0"}).Draw(t, "handle"), "x")
			case 8:
				p.write(rapid.SampledFrom([]proto.Type{proto.WorkFail, proto.WorkException, proto.WorkData}).Draw(t, "word"), handle, "x")
			case 9:
				p.write(proto.ResetAbilities)
			}
			heard(to)
			p.sync(t, &handle)
		}
		p.Close()
		for gone := false; !gone; { // the last word of a session on its worker, if it is listed
			select {
			case r := <-l.routes:
				gone = r.State == decision.Removed
			case <-time.After(10 * time.Second):
				t.Fatal("the worker is never taken out of the list")
			}
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, h := range hops {
			ends := l.ends[h.Ref]
			before, up := givenUp[h.Ref]
			switch {
			case up && l.called[h.Ref] == 0:
				t.Fatalf("hop %v was given up, and nobody is told", h.Ref)
			case up && len(ends) > before:
				t.Fatalf("hop %v was given up, and then told %v", h.Ref, ends)
			case !up && len(ends) != 1:
				t.Fatalf("hop %v has the ends %v", h.Ref, ends)
			}
			for _, e := range ends {
				never := e == fmt.Sprint("outcome ", decision.ConnectFailed, " taken ", false) || e == fmt.Sprint("outcome ", decision.Rejected, " taken ", false)
				may := e == fmt.Sprint("outcome ", decision.ConnReset, " taken ", true) || e == "reported" && l.taken[h.Ref]
				if !never && !may {
					t.Fatalf("hop %v ended %q", h.Ref, e)
				}
			}
		}
	})
}
