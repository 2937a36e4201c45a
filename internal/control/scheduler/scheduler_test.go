package scheduler

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"frosttide/internal/control/jobs"
	"frosttide/internal/control/store"
	"frosttide/internal/protocol"
)

const config = `{"Version":1,"Routes":[{"Name":"fast","Host":"h","PathPrefix":"/f/","TimeoutMs":3000,"TargetLatencyMs":800,"Priority":0,"Service":"svc","MaxAttempts":2,"Stretch":1.5},` +
	`{"Name":"slow","Host":"h","PathPrefix":"/s/","TimeoutMs":3000,"TargetLatencyMs":4000,"Priority":2,"Service":"svc","MaxAttempts":2,"Stretch":4},` +
	`{"Name":"once","Host":"h","PathPrefix":"/o/","TimeoutMs":3000,"TargetLatencyMs":4000,"Priority":2,"Service":"svc","MaxAttempts":1,"Stretch":4}],"Services":[{"Name":"svc"}]}`

// rig is a scheduler whose chain commits when the test says so.
type rig struct {
	t       testing.TB
	d       *Scheduler
	store   *store.Store
	now     time.Duration
	index   uint64
	epoch   uint64
	replies map[uint64]*protocol.ClientReply
	orders  map[string][]*protocol.RunnerOrders // by companion
	request uint64
	ends    map[string]uint64
	round   uint64
}

func newRig(t *testing.T) *rig {
	r := &rig{t: t, store: store.New(), now: time.Hour, epoch: 1, replies: make(map[uint64]*protocol.ClientReply), ends: make(map[string]uint64)}
	r.elect()
	require.EqualValues(t, http.StatusOK, r.ask(&protocol.ClientRequest{Op: &protocol.ClientRequest_Config{Config: &protocol.ConfigOrder{Body: []byte(config)}}}).GetStatus())
	return r
}

// elect makes the scheduler of a new head from the store.
func (r *rig) elect() {
	r.epoch++
	r.orders = make(map[string][]*protocol.RunnerOrders)
	d, err := New(Config{Lease: 12 * time.Second, StatusKept: time.Minute, RackPrefix: "r", FarFactor: 1.5}, r.now, r.wall(), r.epoch, r.index, r.store)
	require.NoError(r.t, err)
	r.d = d
}

func (r *rig) wall() int64 { return 1_800_000_000_000 + r.now.Milliseconds() }

// append has what was decided appended, and returns whether there was anything.
func (r *rig) append() bool {
	r.d.Tick(r.now, r.wall(), r.now)
	e := r.d.Entry(r.now)
	if e == nil {
		return false
	}
	r.index++
	r.store.Apply(e.GetPuts(), e.GetDeletes())
	r.d.Appended(r.index)
	for _, reply := range e.GetReplies() {
		r.replies[reply.GetReply().GetId()] = reply.GetReply()
	}
	return true
}

// commit has all that was appended committed, and what follows from it too.
func (r *rig) commit() {
	for range 4 {
		r.append()
		r.d.Committed(r.now, r.index)
		r.collect()
	}
}

func (r *rig) collect() {
	for _, s := range r.d.TakeSends() {
		r.orders[s.To] = append(r.orders[s.To], s.Message.GetRunnerOrders())
	}
}

func (r *rig) ask(request *protocol.ClientRequest) *protocol.ClientReply {
	r.t.Helper()
	r.request++
	request.Id = r.request
	r.d.Tick(r.now, r.wall(), r.now)
	r.d.Request("client", request)
	r.commit()
	require.NotNil(r.t, r.replies[r.request])
	return r.replies[r.request]
}

func (r *rig) submit(id int, queue string, stages ...*protocol.Stage) string {
	r.t.Helper()
	name := fmt.Sprintf("%016x", id)
	reply := r.ask(&protocol.ClientRequest{Op: &protocol.ClientRequest_Submit{Submit: &protocol.Submit{Id: name, Queue: queue, Spec: "s", Stages: stages}}})
	require.EqualValues(r.t, http.StatusOK, reply.GetStatus(), "%s", reply.GetBody())
	return name
}

// report has a companion report for its runner.
func (r *rig) report(companion, runner string, change ...func(*protocol.RunnerReport)) {
	r.round++
	report := &protocol.RunnerReport{Incarnation: 1, LeaseRound: r.round, Epoch: r.epoch, Holding: true,
		Account: &protocol.RunnerAccount{Id: runner, Service: "svc", Labels: []string{"r1-1"}, Capacity: &protocol.Capacity{Cpu: 4000, MemMb: 8000, Gpus: 0}}}
	for _, o := range r.orders[companion] {
		report.OrdersSeen = max(report.OrdersSeen, o.GetSequence())
	}
	for _, c := range change {
		c(report)
	}
	r.d.Report(r.now, companion, report)
}

func ends(how string, refs ...*protocol.RunEnd) func(*protocol.RunnerReport) {
	return func(report *protocol.RunnerReport) {
		for _, e := range refs {
			e.How = how
			report.Ends = append(report.Ends, e)
		}
	}
}

// started returns the runs that a companion has been told to start, by task.
func (r *rig) started(companion string) map[string]uint32 {
	out := make(map[string]uint32)
	for _, o := range r.orders[companion] {
		if o.GetFull() {
			clear(out)
		}
		for _, ref := range o.GetDrop() {
			if out[ref.GetTask()] <= ref.GetRun() {
				delete(out, ref.GetTask())
			}
		}
		for _, run := range o.GetRuns() {
			out[run.GetTask()] = run.GetRun()
		}
	}
	return out
}

// meet has a companion begin a session with an empty set.
func (r *rig) meet(companion, runner string) {
	r.report(companion, runner)
	r.commit()
	r.report(companion, runner)
	r.commit()
}

func stage(count uint32, cpu int64) *protocol.Stage {
	return &protocol.Stage{Count: count, Cpu: cpu, MemMb: 100, EstimateMs: 500}
}

func TestStartsOnlyWhatIsCommitted(t *testing.T) {
	r := newRig(t)
	r.meet("c1", "i1")
	r.request++
	r.d.Request("client", &protocol.ClientRequest{Id: r.request, Op: &protocol.ClientRequest_Submit{Submit: &protocol.Submit{Id: "0000000000000001", Queue: "fast", Stages: []*protocol.Stage{stage(2, 1000)}}}})
	require.True(t, r.append())
	r.collect()
	require.Empty(t, r.started("c1"), "the runs are not committed")
	r.d.Committed(r.now, r.index)
	r.collect()
	require.Equal(t, map[string]uint32{"0000000000000001.0.0.0": 1, "0000000000000001.0.0.1": 1}, r.started("c1"))
}

func TestSameJobAndUnknownQueue(t *testing.T) {
	r := newRig(t)
	r.submit(1, "fast", stage(1, 100))
	r.submit(1, "fast", stage(1, 100))
	require.Equal(t, 1, r.d.Jobs().Len())
	reply := r.ask(&protocol.ClientRequest{Op: &protocol.ClientRequest_Submit{Submit: &protocol.Submit{Id: "0000000000000002", Queue: "none", Stages: []*protocol.Stage{stage(1, 1)}}}})
	require.EqualValues(t, http.StatusNotFound, reply.GetStatus())
	reply = r.ask(&protocol.ClientRequest{Op: &protocol.ClientRequest_Submit{Submit: &protocol.Submit{Id: "0000000000000002", Queue: "fast"}}})
	require.EqualValues(t, http.StatusBadRequest, reply.GetStatus())
	reply = r.ask(&protocol.ClientRequest{Op: &protocol.ClientRequest_Cancel{Cancel: &protocol.Cancel{Id: "0000000000000002"}}})
	require.EqualValues(t, http.StatusGone, reply.GetStatus())
}

func (r *rig) configure(match uint64, body string) uint32 {
	return r.ask(&protocol.ClientRequest{Op: &protocol.ClientRequest_Config{Config: &protocol.ConfigOrder{Patch: true, IfMatch: match, Body: []byte(body)}}}).GetStatus()
}

func TestOrdersOfTheOperator(t *testing.T) {
	r := newRig(t)
	require.EqualValues(t, http.StatusOK, r.configure(1, `{"Version":3}`))
	require.EqualValues(t, http.StatusPreconditionFailed, r.configure(1, `{"Version":4}`), "another was taken on the same version")
	require.EqualValues(t, http.StatusOK, r.configure(1, `{"Version":3}`), "it was taken before")
	require.EqualValues(t, http.StatusBadRequest, r.configure(3, `{"Version":3}`), "not above the current one")
	require.EqualValues(t, http.StatusOK, r.configure(3, `{"Version":9}`))
	r.elect()
	require.EqualValues(t, http.StatusOK, r.configure(1, `{"Version":3}`), "a new head knows it too")
	require.EqualValues(t, 9, r.d.CommittedConfig().Version)
}

// TestSameOrderTwiceInAnEntry has an order that comes twice before anything is written be taken once.
func TestSameOrderTwiceInAnEntry(t *testing.T) {
	r := newRig(t)
	for id := uint64(501); id <= 502; id++ {
		r.d.Request("client", &protocol.ClientRequest{Id: id, Op: &protocol.ClientRequest_Config{Config: &protocol.ConfigOrder{Patch: true, IfMatch: 1, Body: []byte(`{"Version":3}`)}}})
	}
	r.commit()
	require.EqualValues(t, http.StatusOK, r.replies[501].GetStatus())
	require.EqualValues(t, http.StatusOK, r.replies[502].GetStatus())
}

func TestEndsAreNotedOnceCommitted(t *testing.T) {
	r := newRig(t)
	r.meet("c1", "i1")
	id := r.submit(1, "fast", stage(1, 1000))
	task := id + ".0.0.0"
	r.report("c1", "i1", ends("done", &protocol.RunEnd{Number: 1, Task: task, Run: 1}))
	require.True(t, r.append())
	r.collect()
	last := func() uint64 { return r.orders["c1"][len(r.orders["c1"])-1].GetLastSeen() }
	require.Zero(t, last())
	r.commit()
	require.EqualValues(t, 1, last())
	require.Equal(t, jobs.Completed, r.d.Jobs().Get(id).State)
	before := r.index
	r.report("c1", "i1", ends("done", &protocol.RunEnd{Number: 1, Task: task, Run: 1}))
	r.commit()
	require.Equal(t, before, r.index, "an end that is listed again changes nothing")
}

func TestPreviewsBeforeBatches(t *testing.T) {
	r := newRig(t)
	slow := r.submit(1, "slow", stage(8, 1000))
	fast := r.submit(2, "fast", stage(2, 1000))
	r.meet("c1", "i1")
	started := r.started("c1")
	require.Contains(t, started, fast+".0.0.0")
	require.Contains(t, started, fast+".0.0.1")
	require.Len(t, started, 4)
	require.Contains(t, started, slow+".0.0.0")
}

func TestLostRunnersTasksStartElsewhere(t *testing.T) {
	r := newRig(t)
	r.meet("c1", "i1")
	id := r.submit(1, "fast", stage(1, 1000))
	require.Len(t, r.started("c1"), 1)
	r.meet("c2", "i2")
	alive := func(d time.Duration) {
		for until := r.now + d; r.now < until; r.now += 100 * time.Millisecond {
			r.report("c2", "i2")
			r.commit()
		}
	}
	alive(11 * time.Second)
	require.Empty(t, r.started("c2"), "the runner may run on for its lease")
	alive(3 * time.Second)
	require.Equal(t, map[string]uint32{id + ".0.0.0": 2}, r.started("c2"))
	// It comes back and is told that nothing is wanted of it; an end of its old run changes nothing.
	r.report("c1", "i1", ends("done", &protocol.RunEnd{Number: 1, Task: id + ".0.0.0", Run: 1}))
	r.commit()
	require.Empty(t, r.started("c1"))
	require.Equal(t, jobs.Running, r.d.Jobs().Get(id).State)
}

func TestRunnerUnderAnotherIDHasLostItsRuns(t *testing.T) {
	r := newRig(t)
	r.meet("c1", "i1")
	id := r.submit(1, "fast", stage(1, 1000))
	r.elect() // the new head has never met the runner
	r.meet("c1", "i9")
	require.Equal(t, map[string]uint32{id + ".0.0.0": 2}, r.started("c1"))
}

// TestNewHeadKnowsTheRuns has a new head want what runs, and start nothing twice.
func TestNewHeadKnowsTheRuns(t *testing.T) {
	r := newRig(t)
	r.meet("c1", "i1")
	id := r.submit(1, "fast", stage(3, 1000))
	r.elect()
	r.meet("c1", "i1")
	require.Equal(t, map[string]uint32{id + ".0.0.0": 1, id + ".0.0.1": 1, id + ".0.0.2": 1}, r.started("c1"))
	r.submit(2, "fast", stage(2, 1000))
	require.Len(t, r.started("c1"), 4, "the room that runs hold is known")
}

// TestWholeSetWaitsForItsEntry has a set that leaves out runs given up in an entry go out only once that is
// committed.
func TestWholeSetWaitsForItsEntry(t *testing.T) {
	r := newRig(t)
	r.meet("c1", "i1")
	r.submit(1, "fast", stage(1, 1000))
	r.now += 14 * time.Second // the runner is given up
	require.True(t, r.append())
	before := len(r.orders["c1"])
	r.report("c1", "i1")
	r.append()
	r.collect()
	for _, o := range r.orders["c1"][before:] {
		require.False(t, o.GetFull())
	}
	r.commit()
	require.True(t, r.orders["c1"][len(r.orders["c1"])-1].GetFull())
}

func TestCanceledJobIsStopped(t *testing.T) {
	r := newRig(t)
	r.meet("c1", "i1")
	id := r.submit(1, "fast", stage(2, 1000))
	require.EqualValues(t, http.StatusOK, r.ask(&protocol.ClientRequest{Op: &protocol.ClientRequest_Cancel{Cancel: &protocol.Cancel{Id: id}}}).GetStatus())
	require.Empty(t, r.started("c1"))
	require.EqualValues(t, 2000, r.d.Fleet().Runner("i1").Used().CPU, "what is being stopped still counts")
	r.report("c1", "i1", ends("stopped", &protocol.RunEnd{Number: 1, Task: id + ".0.0.0", Run: 1}, &protocol.RunEnd{Number: 2, Task: id + ".0.0.1", Run: 1}))
	r.commit()
	require.Zero(t, r.d.Fleet().Runner("i1").Used().CPU)
}

func TestGangAtOnceOrNotAtAll(t *testing.T) {
	r := newRig(t)
	r.meet("c1", "i1")
	gang := stage(2, 3000)
	gang.Gang = true
	r.submit(1, "fast", gang)
	require.Empty(t, r.started("c1"))
	require.Contains(t, r.d.Status().Waiting[0].Why, "not for all")
	r.meet("c2", "i2")
	require.Len(t, r.started("c1"), 1)
	require.Len(t, r.started("c2"), 1)
}

func TestDrainingRunnerIsEmptied(t *testing.T) {
	r := newRig(t)
	r.meet("c1", "i1")
	lasting, long, short := stage(1, 500), stage(1, 500), stage(1, 500)
	lasting.LongRunning, long.EstimateMs, short.EstimateMs = true, 60000, 100
	a, b, c := r.submit(1, "fast", lasting), r.submit(2, "slow", long), r.submit(3, "fast", short)
	r.report("c1", "i1", func(report *protocol.RunnerReport) { report.Account.Draining, report.Account.RemainingMs = true, 2000 })
	r.commit()
	require.Equal(t, map[string]uint32{c + ".0.0.0": 1}, r.started("c1"))
	_, _ = a, b
	r.submit(4, "fast", stage(1, 100))
	require.NotContains(t, r.started("c1"), "0000000000000004.0.0.0")
}

func TestRefusedStartGoesElsewhere(t *testing.T) {
	r := newRig(t)
	r.meet("c1", "i1")
	id := r.submit(1, "fast", stage(1, 1000))
	r.report("c1", "i1", func(report *protocol.RunnerReport) {
		report.Refused = []*protocol.RunRef{{Task: id + ".0.0.0", Run: 1}}
	})
	r.commit()
	require.Equal(t, uint32(2), r.started("c1")[id+".0.0.0"])
}

func TestUnappliedOrdersAreSentAgain(t *testing.T) {
	r := newRig(t)
	r.meet("c1", "i1")
	r.submit(1, "fast", stage(1, 1000))
	lost := r.orders["c1"]
	r.orders["c1"] = nil
	for range 12 {
		r.now += 100 * time.Millisecond
		r.report("c1", "i1", func(report *protocol.RunnerReport) { report.OrdersSeen = lost[0].GetSequence() })
		r.commit()
	}
	require.Len(t, r.started("c1"), 1)
}

// TestLateGoesLast has jobs that can still be in time go before those that can't.
func TestLateGoesLast(t *testing.T) {
	r := newRig(t)
	late := r.submit(1, "fast", stage(4, 1000))
	r.now += 20 * time.Second
	soon := r.submit(2, "fast", stage(4, 1000))
	r.meet("c1", "i1")
	for task := range r.started("c1") {
		require.Contains(t, task, soon)
		require.NotContains(t, task, late)
	}
	require.Len(t, r.started("c1"), 4)
}

// TestCanceledBeforeItWasSent gives back the room of a run whose job was canceled before its companion had the whole
// set: the companion has never heard of it and can list no end.
func TestCanceledBeforeItWasSent(t *testing.T) {
	r := newRig(t)
	r.meet("c1", "i1")
	r.report("c1", "i1", func(report *protocol.RunnerReport) { report.Incarnation = 2 }) // its set is asked for again
	job := r.submit(1, "fast", stage(2, 1000))
	require.EqualValues(t, http.StatusOK, r.ask(&protocol.ClientRequest{Op: &protocol.ClientRequest_Cancel{Cancel: &protocol.Cancel{Id: job}}}).GetStatus())
	r.now += time.Second
	r.elect()
	r.report("c1", "i1")
	r.commit()
	require.Empty(t, r.started("c1"))
	var waited []*protocol.RunRef
	for _, o := range r.orders["c1"] {
		if o.GetFull() {
			waited = o.GetDrop()
		}
	}
	require.Len(t, waited, 2, "their ends are asked for")
	require.Equal(t, 2, r.d.Fleet().Runner("i1").Holds())
	held := r.d.Status().Runners[0].Tasks
	require.Len(t, held, 2)
	require.Equal(t, RunStatus{Task: job + ".0.0.0", Run: 1, State: "canceled", Stopping: true}, held[0], "an operator sees what holds it")
	r.report("c1", "i1", func(report *protocol.RunnerReport) { report.Refused = waited })
	r.commit()
	require.Zero(t, r.d.Fleet().Runner("i1").Holds())
	before := len(r.orders["c1"])
	r.report("c1", "i1", func(report *protocol.RunnerReport) { report.Refused = waited })
	r.commit()
	var dropped []*protocol.RunRef
	for _, o := range r.orders["c1"][before:] {
		dropped = append(dropped, o.GetDrop()...)
	}
	require.Len(t, dropped, 2, "the companion may forget them")
	r.elect()
	require.Zero(t, r.d.Fleet().Runner("i1").Holds(), "their ends are in the store")
}

// TestLostOrdersUnderNewOnes has the whole set sent again to a companion that has missed orders though newer ones
// are sent all the time.
func TestLostOrdersUnderNewOnes(t *testing.T) {
	r := newRig(t)
	r.meet("c1", "i1")
	r.report("c1", "i1")
	r.commit()
	seen := r.orders["c1"][len(r.orders["c1"])-1].GetSequence()
	before := len(r.orders["c1"])
	for i := range 20 {
		r.now += 100 * time.Millisecond
		r.submit(i+1, "fast", stage(1, 10))
		r.report("c1", "i1", func(report *protocol.RunnerReport) { report.OrdersSeen = seen }) // the first was lost
		r.commit()
	}
	again := false
	for _, o := range r.orders["c1"][before:] {
		again = again || o.GetFull()
	}
	require.True(t, again)
}

// TestPlacesWithoutATick has a blocked task started in the very turn in which room comes back, not only when the
// clock has moved, and no pass made in a turn that changes nothing.
func TestPlacesWithoutATick(t *testing.T) {
	r := newRig(t)
	r.meet("c1", "i1")
	first := r.submit(1, "fast", stage(1, 4000))
	second := r.submit(2, "fast", stage(1, 4000))
	r.report("c1", "i1")
	r.commit()
	require.Contains(t, r.started("c1"), first+".0.0.0")
	require.NotContains(t, r.started("c1"), second+".0.0.0")
	r.d.Entry(r.now)
	require.Equal(t, r.d.fleet.Changes(), r.d.placedAt)
	require.False(t, r.d.timePassed)
	r.report("c1", "i1", ends("done", &protocol.RunEnd{Number: 1, Task: first + ".0.0.0", Run: 1}))
	e := r.d.Entry(r.now)
	r.index++
	r.store.Apply(e.GetPuts(), e.GetDeletes())
	r.d.Appended(r.index)
	r.d.Committed(r.now, r.index)
	r.collect()
	require.Contains(t, r.started("c1"), second+".0.0.0")
}

// submitted hands a job in and returns the status.
func (r *rig) submitted(s *protocol.Submit) int {
	r.t.Helper()
	return int(r.ask(&protocol.ClientRequest{Op: &protocol.ClientRequest_Submit{Submit: s}}).GetStatus())
}

// TestOneIDInTwoQueues has a job whose ID is that of another queue's job, or whose content is another, be refused:
// it would never run. It used to be acknowledged.
func TestOneIDInTwoQueues(t *testing.T) {
	r := newRig(t)
	job := func(queue, spec string) *protocol.Submit {
		return &protocol.Submit{Id: "00000000000000aa", Queue: queue, Spec: spec, Stages: []*protocol.Stage{stage(1, 1000)}}
	}
	require.Equal(t, http.StatusOK, r.submitted(job("fast", "s")))
	again := job("fast", "s")
	again.AgeMs = 700
	check := func() {
		require.Equal(t, http.StatusOK, r.submitted(again), "the same job came again")
		require.Equal(t, http.StatusConflict, r.submitted(job("slow", "s")))
		require.Equal(t, http.StatusConflict, r.submitted(job("fast", "other")))
		cancel := &protocol.ClientRequest{Op: &protocol.ClientRequest_Cancel{Cancel: &protocol.Cancel{Id: "00000000000000aa", Queue: "slow"}}}
		require.EqualValues(t, http.StatusGone, r.ask(cancel).GetStatus(), "it is a job of others")
	}
	check()
	r.elect()
	check()
	require.EqualValues(t, http.StatusOK, r.ask(&protocol.ClientRequest{Op: &protocol.ClientRequest_Cancel{Cancel: &protocol.Cancel{Id: "00000000000000aa", Queue: "fast"}}}).GetStatus())
	check() // it has ended, and its steps are forgotten
	require.EqualValues(t, http.StatusOK, r.configure(1, `{"Version":2,"Remove":{"Routes":["fast"]}}`))
	require.Equal(t, http.StatusOK, r.submitted(job("slow", "s")), "the queue it came by has gone")
}

// TestOrdersAreKnownWithinABound takes more orders than are known by name: the newest are acknowledged again, older
// ones have no clear answer, and the state stays within the bound.
func TestOrdersAreKnownWithinABound(t *testing.T) {
	r := newRig(t)
	const changes = mostOrders + 50
	order := func(version int) string { return fmt.Sprintf(`{"Version":%d}`, version) }
	for version := 2; version <= changes; version++ {
		require.EqualValues(t, http.StatusOK, r.configure(uint64(version-1), order(version)))
	}
	check := func() {
		for version := 2; version <= changes; version++ {
			want := http.StatusOK
			if version <= changes-mostOrders {
				want = http.StatusServiceUnavailable
			}
			require.EqualValues(t, want, r.configure(uint64(version-1), order(version)), "version %d", version)
		}
		require.EqualValues(t, http.StatusPreconditionFailed, r.configure(changes-1, `{"Version":5000}`), "another order on a version that is known")
		require.Len(t, r.d.History(), mostOrders)
	}
	check()
	r.elect()
	check()
	kept := 0
	r.store.Each(func(key string, _ []byte) {
		if strings.HasPrefix(key, orderPrefix) {
			kept++
		}
	})
	require.Equal(t, mostOrders, kept)
}

// TestEndedJobsOutliveClockSteps has the time of day jump by an hour: jobs that ended a moment before stay known.
func TestEndedJobsOutliveClockSteps(t *testing.T) {
	r := newRig(t)
	id := r.submit(1, "fast", stage(1, 1000))
	require.EqualValues(t, http.StatusOK, r.ask(&protocol.ClientRequest{Op: &protocol.ClientRequest_Cancel{Cancel: &protocol.Cancel{Id: id}}}).GetStatus())
	r.now += 2 * time.Minute // the head has served for longer than states are kept
	r.append()
	later := r.submit(2, "fast", stage(1, 1000))
	require.EqualValues(t, http.StatusOK, r.ask(&protocol.ClientRequest{Op: &protocol.ClientRequest_Cancel{Cancel: &protocol.Cancel{Id: later}}}).GetStatus())
	known := func(id string, ahead time.Duration) bool {
		for range 3 {
			r.now += time.Second
			r.d.Tick(r.now, r.wall()+ahead.Milliseconds(), r.now)
			r.d.Entry(r.now)
		}
		return r.d.Jobs().Get(id) != nil
	}
	require.False(t, known(id, 0))
	require.True(t, known(later, 0))
	r.d.ClockStepped(r.now)
	require.True(t, known(later, time.Hour))
	r.elect()
	require.True(t, known(later, time.Hour), "a new head does not know how long ago it ended")
	r.now += time.Minute
	require.False(t, known(later, time.Hour))
}

// TestReportsThatComeLate has reports come again after later ones: what they say of a runner that was there before, or
// of runs that have ended, must not undo what the head has learned since.
func TestReportsThatComeLate(t *testing.T) {
	r := newRig(t)
	r.meet("c1", "i1")
	old := r.round
	r.meet("c1", "i2")
	id := r.submit(1, "fast", stage(1, 1000))
	require.Len(t, r.started("c1"), 1)
	before := r.d.Fleet()
	require.NotNil(t, before)
	late := func(round, incarnation uint64) {
		r.d.Report(r.now, "c1", &protocol.RunnerReport{Incarnation: incarnation, LeaseRound: round, Gone: []string{"i2"}, Account: &protocol.RunnerAccount{Id: "i1", Service: "svc"}})
		r.commit()
		require.Contains(t, r.d.runners, "i2", "it is there and runs a task")
		require.Contains(t, r.d.runners["i2"].live, id+".0.0.0")
	}
	late(old, 1)
	r.report("c1", "i2", func(report *protocol.RunnerReport) { report.Incarnation = 2 })
	r.commit()
	late(r.round+1, 1) // of the process that was there before
}
