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

// recordingCore is a core that records how each attempt ends.
type recordingCore struct {
	mu     sync.Mutex
	ends   map[core.AttemptRef][]string
	taken  map[core.AttemptRef]bool
	byID   map[string]core.AttemptRef
	called map[core.AttemptRef]int // how often each attempt was reported as recalled
	routes chan core.Route
}

func (recorder *recordingCore) Submit(*core.Job, core.Ingress) {}
func (recorder *recordingCore) ClientLeft(*core.Job)           {}
func (recorder *recordingCore) AttemptAccepted(ref core.AttemptRef, _ core.Delivery) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	recorder.taken[ref] = true
}

func (recorder *recordingCore) AttemptEnded(ref core.AttemptRef, o decision.Outcome, _ []float32, _ core.Delivery) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	recorder.ends[ref] = append(recorder.ends[ref], fmt.Sprint("outcome ", o, " taken ", recorder.taken[ref]))
}

func (recorder *recordingCore) AttemptRecalled(ref core.AttemptRef, _ bool) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	recorder.called[ref]++
}

func (recorder *recordingCore) Report(ev core.JobEvent, held func(core.ReportResult)) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	if ev.State == core.JobDone || ev.State == core.JobFailed {
		recorder.ends[recorder.byID[ev.ID]] = append(recorder.ends[recorder.byID[ev.ID]], "reported")
	}
	held(core.Held)
}

func (recorder *recordingCore) RoutesChanged(routes []core.Route) {
	for _, r := range routes {
		recorder.routes <- r
	}
}

// awaitSession waits until the session has handled all messages that were posted to it.
func awaitSession(to core.Backend) {
	done := make(chan struct{})
	if to.(backend).session.post(func(*session) { close(done) }) {
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

// TestWorkerStates checks one invariant under a random order of a worker's packets and the core's
// sends and cancellations: each attempt ends once, as one that never ran exactly if the worker did
// not grab it, and nothing is reported about one that was cancelled.
func TestWorkerStates(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	recorder := &recordingCore{}
	s, err := New(Config{Listen: "127.0.0.1:0", Functions: map[string]Function{"cut": {}}, MaxConnections: 8, MaxJobs: 8, MaxPacketBytes: 64 << 10}, recorder,
		none{}, none{}, logrus.NewEntry(log))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go s.Run(ctx)
	rapid.Check(t, func(t *rapid.T) {
		recorder.mu.Lock()
		recorder.ends, recorder.taken, recorder.byID = map[core.AttemptRef][]string{}, map[core.AttemptRef]bool{}, map[string]core.AttemptRef{}
		recorder.called = map[core.AttemptRef]int{}
		recorder.routes = make(chan core.Route, 1024)
		recorder.mu.Unlock()
		p := dial(t, s.Addr())
		defer p.Close()
		p.write(proto.CanDo, "cut")
		route := <-recorder.routes
		to := s.Open(route.Addr)
		cancelledAt := map[core.AttemptRef]int{} // how many ends were recorded by then
		var attempts []core.Attempt
		handle := ""
		for i := range rapid.IntRange(1, 25).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1:
				attempt := core.Attempt{Ref: core.AttemptRef{Request: decision.RequestID(i + 1)}, Job: &core.Job{ID: fmt.Sprint("j", i), Resource: "/cut/cut"},
					Deadline: time.Now().Add(time.Hour)}
				recorder.mu.Lock()
				recorder.byID[attempt.Job.ID] = attempt.Ref
				recorder.mu.Unlock()
				attempts = append(attempts, attempt)
				to.Send(attempt)
			case 2:
				if len(attempts) > 0 {
					attempt := attempts[len(attempts)-1]
					to.Cancel(attempt)
					awaitSession(to) // from here on nothing may be reported about it
					recorder.mu.Lock()
					if _, twice := cancelledAt[attempt.Ref]; !twice {
						cancelledAt[attempt.Ref] = len(recorder.ends[attempt.Ref])
					}
					recorder.mu.Unlock()
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
			awaitSession(to)
			p.sync(t, &handle)
		}
		p.Close()
		awaitRemoval(t, recorder.routes)
		for _, attempt := range attempts {
			before, cancelled := cancelledAt[attempt.Ref]
			recorder.requireOneEnd(t, attempt.Ref, before, cancelled)
		}
	})
}

// awaitRemoval waits for the last route of a session, which removes its worker.
func awaitRemoval(t *rapid.T, routes <-chan core.Route) {
	t.Helper()
	for {
		select {
		case r := <-routes:
			if r.State == decision.Removed {
				return
			}
		case <-time.After(10 * time.Second):
			t.Fatal("the worker is never removed from the route table")
		}
	}
}

// requireOneEnd fails the test unless an attempt ended exactly once and as what it was: one that was
// grabbed or one that never ran. A cancelled attempt must have been reported as recalled and may have
// no end beyond the first before of them.
func (recorder *recordingCore) requireOneEnd(t *rapid.T, ref core.AttemptRef, before int, cancelled bool) {
	t.Helper()
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	ends := recorder.ends[ref]
	switch {
	case cancelled && recorder.called[ref] == 0:
		t.Fatalf("attempt %v was cancelled, and its recall was not reported", ref)
	case cancelled && len(ends) > before:
		t.Fatalf("attempt %v was cancelled, and then ended as %v", ref, ends)
	case !cancelled && len(ends) != 1:
		t.Fatalf("attempt %v has the ends %v", ref, ends)
	}
	for _, e := range ends {
		neverRan := e == fmt.Sprint("outcome ", decision.ConnectFailed, " taken ", false) || e == fmt.Sprint("outcome ", decision.Rejected, " taken ", false)
		mayHaveRun := e == fmt.Sprint("outcome ", decision.ConnReset, " taken ", true) || e == "reported" && recorder.taken[ref]
		if !neverRan && !mayHaveRun {
			t.Fatalf("attempt %v ended %q", ref, e)
		}
	}
}
