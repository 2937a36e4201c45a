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

// recordingCore is a Core that records how each attempt ends, and passes the routes to the test.
type recordingCore struct {
	mu       sync.Mutex
	ends     map[core.AttemptRef][]string // every outcome or final report of each attempt
	accepted map[core.AttemptRef]bool     // whether the worker grabbed the job
	byID     map[string]core.AttemptRef   // by job ID
	recalls  map[core.AttemptRef]int      // how often each attempt was reported as recalled
	routes   chan core.Route
}

func (recorder *recordingCore) Submit(*core.Job, core.Ingress) {}
func (recorder *recordingCore) ClientLeft(*core.Job)           {}
func (recorder *recordingCore) AttemptAccepted(ref core.AttemptRef, _ core.Delivery) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	recorder.accepted[ref] = true
}

func (recorder *recordingCore) AttemptEnded(ref core.AttemptRef, outcome decision.Outcome, _ []float32, _ core.Delivery) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	recorder.ends[ref] = append(recorder.ends[ref], fmt.Sprint("outcome ", outcome, " accepted ", recorder.accepted[ref]))
}

func (recorder *recordingCore) AttemptRecalled(ref core.AttemptRef, _ bool) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	recorder.recalls[ref]++
}

func (recorder *recordingCore) Report(ev core.JobEvent, onResult func(core.ReportResult)) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	if ev.State == core.JobDone || ev.State == core.JobFailed {
		recorder.ends[recorder.byID[ev.ID]] = append(recorder.ends[recorder.byID[ev.ID]], "reported")
	}
	onResult(core.Held)
}

func (recorder *recordingCore) RoutesChanged(routes []core.Route) {
	for _, r := range routes {
		recorder.routes <- r
	}
}

// awaitSession waits until the session has handled all messages that were posted to it.
func awaitSession(b core.Backend) {
	done := make(chan struct{})
	if b.(backend).session.post(func(*session) { close(done) }) {
		<-done
	}
}

// nopSink implements Counters and Recorder and discards everything.
type nopSink struct{}

func (nopSink) Completed(int)                                 {}
func (nopSink) Rejected(int)                                  {}
func (nopSink) Failed(int)                                    {}
func (nopSink) Sent(int)                                      {}
func (nopSink) Pending(int)                                   {}
func (nopSink) Begin(time.Time, string, string) *trace.Record { return nil }
func (nopSink) Ended(*trace.Record)                           {}

// TestAttemptsEndOnce checks under random orders of a worker's packets and of the core's sends and
// cancellations that each attempt ends exactly once, that its outcome says that it has not run
// exactly if the worker did not grab it, and that no end is reported after its cancellation.
func TestAttemptsEndOnce(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	recorder := &recordingCore{}
	s, err := New(Config{Listen: "127.0.0.1:0", Functions: map[string]Function{"cut": {}}, MaxConnections: 8, MaxJobs: 8, MaxPacketBytes: 64 << 10}, recorder,
		nopSink{}, nopSink{}, logrus.NewEntry(log))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go s.Run(ctx)
	rapid.Check(t, func(t *rapid.T) {
		recorder.mu.Lock()
		recorder.ends, recorder.accepted, recorder.byID = map[core.AttemptRef][]string{}, map[core.AttemptRef]bool{}, map[string]core.AttemptRef{}
		recorder.recalls = map[core.AttemptRef]int{}
		recorder.routes = make(chan core.Route, 1024)
		recorder.mu.Unlock()
		w := dial(t, s.Addr())
		defer w.Close()
		w.send(proto.CanDo, "cut")
		route := <-recorder.routes
		workerBackend := s.Open(route.Addr)
		endsAtCancel := map[core.AttemptRef]int{} // ends recorded by the first cancellation
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
				workerBackend.Send(attempt)
			case 2:
				if len(attempts) > 0 {
					attempt := attempts[len(attempts)-1]
					workerBackend.Cancel(attempt)
					awaitSession(workerBackend) // from here on no end of it may be reported
					recorder.mu.Lock()
					if _, repeated := endsAtCancel[attempt.Ref]; !repeated {
						endsAtCancel[attempt.Ref] = len(recorder.ends[attempt.Ref])
					}
					recorder.mu.Unlock()
				}
			case 3, 4:
				w.send(rapid.SampledFrom([]proto.Type{proto.GrabJob, proto.GrabJobUniq, proto.GrabJobAll}).Draw(t, "grab"))
			case 5:
				w.send(proto.PreSleep)
			case 6:
				w.send(rapid.SampledFrom([]proto.Type{proto.CanDo, proto.CantDo}).Draw(t, "can"), "cut")
			case 7:
				w.send(proto.WorkComplete, rapid.SampledFrom([]string{handle, "W:0:0"}).Draw(t, "handle"), "x")
			case 8:
				w.send(rapid.SampledFrom([]proto.Type{proto.WorkFail, proto.WorkException, proto.WorkData}).Draw(t, "word"), handle, "x")
			case 9:
				w.send(proto.ResetAbilities)
			}
			awaitSession(workerBackend)
			w.sync(t, &handle)
		}
		w.Close()
		awaitRemoval(t, recorder.routes)
		for _, attempt := range attempts {
			endsBeforeCancel, canceled := endsAtCancel[attempt.Ref]
			recorder.requireOneEnd(t, attempt.Ref, endsBeforeCancel, canceled)
		}
	})
}

// awaitRemoval waits until a session removes its worker from the route table. It fails the test
// after 10 seconds without a change of the table.
func awaitRemoval(t *rapid.T, routes <-chan core.Route) {
	t.Helper()
	for {
		select {
		case r := <-routes:
			if r.State == decision.Removed {
				return
			}
		case <-time.After(10 * time.Second):
			t.Fatal("no change of the route table for 10s, want the removal of the worker")
		}
	}
}

// requireOneEnd fails the test unless an attempt ended exactly once, with an outcome that matches
// whether the worker grabbed it. A canceled attempt must have been reported as recalled, and must
// have no end after the endsBeforeCancel ends that were recorded before.
func (recorder *recordingCore) requireOneEnd(t *rapid.T, ref core.AttemptRef, endsBeforeCancel int, canceled bool) {
	t.Helper()
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	ends := recorder.ends[ref]
	switch {
	case canceled && recorder.recalls[ref] == 0:
		t.Fatalf("attempt %v: canceled, got no AttemptRecalled", ref)
	case canceled && len(ends) > endsBeforeCancel:
		t.Fatalf("attempt %v: got ends %v, want none after its cancellation", ref, ends)
	case !canceled && len(ends) != 1:
		t.Fatalf("attempt %v: got ends %v, want exactly one", ref, ends)
	}
	for _, e := range ends {
		neverRan := e == fmt.Sprint("outcome ", decision.ConnectFailed, " accepted ", false) || e == fmt.Sprint("outcome ", decision.Rejected, " accepted ", false)
		mayHaveRun := e == fmt.Sprint("outcome ", decision.ConnReset, " accepted ", true) || e == "reported" && recorder.accepted[ref]
		if !neverRan && !mayHaveRun {
			t.Fatalf("attempt %v: got end %q, want one that matches whether the worker grabbed it", ref, e)
		}
	}
}
