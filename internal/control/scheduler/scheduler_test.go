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

// harness is a scheduler whose chain commits when the test says so.
type harness struct {
	t            testing.TB
	scheduler    *Scheduler
	store        *store.Store
	now          time.Duration
	index        uint64
	epoch        uint64
	replies      map[uint64]*protocol.ClientReply
	orders       map[string][]*protocol.RunnerOrders // by companion
	lastRequest  uint64
	ends         map[string]uint64
	reportNumber uint64
}

func newHarness(t *testing.T) *harness {
	h := &harness{t: t, store: store.New(), now: time.Hour, epoch: 1, replies: make(map[uint64]*protocol.ClientReply), ends: make(map[string]uint64)}
	h.elect()
	require.EqualValues(t, http.StatusOK, h.request(&protocol.ClientRequest{Op: &protocol.ClientRequest_Config{Config: &protocol.ConfigOrder{Body: []byte(config)}}}).GetStatus())
	return h
}

// elect makes the scheduler of a new head from the store.
func (h *harness) elect() {
	h.epoch++
	h.orders = make(map[string][]*protocol.RunnerOrders)
	scheduler, err := New(Config{Lease: 12 * time.Second, StatusRetention: time.Minute, RackPrefix: "r", RemoteSlowdown: 1.5}, h.now, h.wall(), h.epoch, h.index, h.store)
	require.NoError(h.t, err)
	h.scheduler = scheduler
}

func (h *harness) wall() int64 { return 1_800_000_000_000 + h.now.Milliseconds() }

// append has what was decided appended, and returns whether there was anything.
func (h *harness) append() bool {
	h.scheduler.Tick(h.now, h.wall(), h.now)
	e := h.scheduler.Entry(h.now)
	if e == nil {
		return false
	}
	h.index++
	h.store.Apply(e.GetPuts(), e.GetDeletes())
	h.scheduler.Appended(h.index)
	for _, reply := range e.GetReplies() {
		h.replies[reply.GetReply().GetId()] = reply.GetReply()
	}
	return true
}

// commit has all that was appended committed, and what follows from it too.
func (h *harness) commit() {
	for range 4 {
		h.append()
		h.scheduler.Committed(h.now, h.index)
		h.collect()
	}
}

func (h *harness) collect() {
	for _, s := range h.scheduler.TakeSends() {
		h.orders[s.To] = append(h.orders[s.To], s.Message.GetRunnerOrders())
	}
}

func (h *harness) request(request *protocol.ClientRequest) *protocol.ClientReply {
	h.t.Helper()
	h.lastRequest++
	request.Id = h.lastRequest
	h.scheduler.Tick(h.now, h.wall(), h.now)
	h.scheduler.HandleRequest("client", request)
	h.commit()
	require.NotNil(h.t, h.replies[h.lastRequest])
	return h.replies[h.lastRequest]
}

func (h *harness) submit(id int, queue string, stages ...*protocol.Stage) string {
	h.t.Helper()
	name := fmt.Sprintf("%016x", id)
	reply := h.request(&protocol.ClientRequest{Op: &protocol.ClientRequest_Submit{Submit: &protocol.Submit{Id: name, Queue: queue, Spec: "s", Stages: stages}}})
	require.EqualValues(h.t, http.StatusOK, reply.GetStatus(), "%s", reply.GetBody())
	return name
}

// report has a companion report for its runner.
func (h *harness) report(agent, runner string, change ...func(*protocol.RunnerReport)) {
	h.reportNumber++
	report := &protocol.RunnerReport{Incarnation: 1, LeaseRound: h.reportNumber, Epoch: h.epoch, Holding: true,
		Account: &protocol.RunnerAccount{Id: runner, Service: "svc", Labels: []string{"r1-1"}, Capacity: &protocol.Capacity{Cpu: 4000, MemMb: 8000, Gpus: 0}}}
	for _, o := range h.orders[agent] {
		report.OrdersSeen = max(report.OrdersSeen, o.GetSequence())
	}
	for _, c := range change {
		c(report)
	}
	h.scheduler.HandleReport(h.now, agent, report)
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
func (h *harness) started(agent string) map[string]uint32 {
	out := make(map[string]uint32)
	for _, o := range h.orders[agent] {
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

// register has a companion begin a session with an empty set.
func (h *harness) register(agent, runner string) {
	h.report(agent, runner)
	h.commit()
	h.report(agent, runner)
	h.commit()
}

func stage(count uint32, cpu int64) *protocol.Stage {
	return &protocol.Stage{Count: count, Cpu: cpu, MemMb: 100, EstimateMs: 500}
}

func TestStartsOnlyWhatIsCommitted(t *testing.T) {
	h := newHarness(t)
	h.register("c1", "i1")
	h.lastRequest++
	h.scheduler.HandleRequest("client", &protocol.ClientRequest{Id: h.lastRequest, Op: &protocol.ClientRequest_Submit{Submit: &protocol.Submit{Id: "0000000000000001", Queue: "fast", Stages: []*protocol.Stage{stage(2, 1000)}}}})
	require.True(t, h.append())
	h.collect()
	require.Empty(t, h.started("c1"), "the runs are not committed")
	h.scheduler.Committed(h.now, h.index)
	h.collect()
	require.Equal(t, map[string]uint32{"0000000000000001.0.0.0": 1, "0000000000000001.0.0.1": 1}, h.started("c1"))
}

func TestSameJobAndUnknownQueue(t *testing.T) {
	h := newHarness(t)
	h.submit(1, "fast", stage(1, 100))
	h.submit(1, "fast", stage(1, 100))
	require.Equal(t, 1, h.scheduler.Jobs().Len())
	reply := h.request(&protocol.ClientRequest{Op: &protocol.ClientRequest_Submit{Submit: &protocol.Submit{Id: "0000000000000002", Queue: "none", Stages: []*protocol.Stage{stage(1, 1)}}}})
	require.EqualValues(t, http.StatusNotFound, reply.GetStatus())
	reply = h.request(&protocol.ClientRequest{Op: &protocol.ClientRequest_Submit{Submit: &protocol.Submit{Id: "0000000000000002", Queue: "fast"}}})
	require.EqualValues(t, http.StatusBadRequest, reply.GetStatus())
	reply = h.request(&protocol.ClientRequest{Op: &protocol.ClientRequest_Cancel{Cancel: &protocol.Cancel{Id: "0000000000000002"}}})
	require.EqualValues(t, http.StatusGone, reply.GetStatus())
}

func (h *harness) configure(match uint64, body string) uint32 {
	return h.request(&protocol.ClientRequest{Op: &protocol.ClientRequest_Config{Config: &protocol.ConfigOrder{Patch: true, IfMatch: match, Body: []byte(body)}}}).GetStatus()
}

func TestOrdersOfTheOperator(t *testing.T) {
	h := newHarness(t)
	require.EqualValues(t, http.StatusOK, h.configure(1, `{"Version":3}`))
	require.EqualValues(t, http.StatusPreconditionFailed, h.configure(1, `{"Version":4}`), "another was taken on the same version")
	require.EqualValues(t, http.StatusOK, h.configure(1, `{"Version":3}`), "it was taken before")
	require.EqualValues(t, http.StatusBadRequest, h.configure(3, `{"Version":3}`), "not above the current one")
	require.EqualValues(t, http.StatusOK, h.configure(3, `{"Version":9}`))
	h.elect()
	require.EqualValues(t, http.StatusOK, h.configure(1, `{"Version":3}`), "a new head knows it too")
	require.EqualValues(t, 9, h.scheduler.CommittedConfig().Version)
}

// TestSameOrderTwiceInAnEntry has an order that comes twice before anything is written be taken once.
func TestSameOrderTwiceInAnEntry(t *testing.T) {
	h := newHarness(t)
	for id := uint64(501); id <= 502; id++ {
		h.scheduler.HandleRequest("client", &protocol.ClientRequest{Id: id, Op: &protocol.ClientRequest_Config{Config: &protocol.ConfigOrder{Patch: true, IfMatch: 1, Body: []byte(`{"Version":3}`)}}})
	}
	h.commit()
	require.EqualValues(t, http.StatusOK, h.replies[501].GetStatus())
	require.EqualValues(t, http.StatusOK, h.replies[502].GetStatus())
}

func TestEndsAreAcknowledgedOnceCommitted(t *testing.T) {
	h := newHarness(t)
	h.register("c1", "i1")
	id := h.submit(1, "fast", stage(1, 1000))
	task := id + ".0.0.0"
	h.report("c1", "i1", ends("done", &protocol.RunEnd{Number: 1, Task: task, Run: 1}))
	require.True(t, h.append())
	h.collect()
	last := func() uint64 { return h.orders["c1"][len(h.orders["c1"])-1].GetLastSeen() }
	require.Zero(t, last())
	h.commit()
	require.EqualValues(t, 1, last())
	require.Equal(t, jobs.Completed, h.scheduler.Jobs().Get(id).State)
	previous := h.index
	h.report("c1", "i1", ends("done", &protocol.RunEnd{Number: 1, Task: task, Run: 1}))
	h.commit()
	require.Equal(t, previous, h.index, "an end that is listed again changes nothing")
}

func TestUrgentQueueGoesFirst(t *testing.T) {
	h := newHarness(t)
	slow := h.submit(1, "slow", stage(8, 1000))
	fast := h.submit(2, "fast", stage(2, 1000))
	h.register("c1", "i1")
	started := h.started("c1")
	require.Contains(t, started, fast+".0.0.0")
	require.Contains(t, started, fast+".0.0.1")
	require.Len(t, started, 4)
	require.Contains(t, started, slow+".0.0.0")
}

func TestLostRunnersTasksStartElsewhere(t *testing.T) {
	h := newHarness(t)
	h.register("c1", "i1")
	id := h.submit(1, "fast", stage(1, 1000))
	require.Len(t, h.started("c1"), 1)
	h.register("c2", "i2")
	alive := func(scheduler time.Duration) {
		for until := h.now + scheduler; h.now < until; h.now += 100 * time.Millisecond {
			h.report("c2", "i2")
			h.commit()
		}
	}
	alive(11 * time.Second)
	require.Empty(t, h.started("c2"), "the runner may run on for its lease")
	alive(3 * time.Second)
	require.Equal(t, map[string]uint32{id + ".0.0.0": 2}, h.started("c2"))
	// It comes back and is told that nothing is wanted of it; an end of its old run changes nothing.
	h.report("c1", "i1", ends("done", &protocol.RunEnd{Number: 1, Task: id + ".0.0.0", Run: 1}))
	h.commit()
	require.Empty(t, h.started("c1"))
	require.Equal(t, jobs.Running, h.scheduler.Jobs().Get(id).State)
}

func TestNewRunnerIDLosesOldRuns(t *testing.T) {
	h := newHarness(t)
	h.register("c1", "i1")
	id := h.submit(1, "fast", stage(1, 1000))
	h.elect() // the new head has never met the runner
	h.register("c1", "i9")
	require.Equal(t, map[string]uint32{id + ".0.0.0": 2}, h.started("c1"))
}

// TestNewHeadRestoresRuns has a new head want what runs, and start nothing twice.
func TestNewHeadRestoresRuns(t *testing.T) {
	h := newHarness(t)
	h.register("c1", "i1")
	id := h.submit(1, "fast", stage(3, 1000))
	h.elect()
	h.register("c1", "i1")
	require.Equal(t, map[string]uint32{id + ".0.0.0": 1, id + ".0.0.1": 1, id + ".0.0.2": 1}, h.started("c1"))
	h.submit(2, "fast", stage(2, 1000))
	require.Len(t, h.started("c1"), 4, "the room that runs hold is known")
}

// TestFullSyncWaitsForCommit has a set that leaves out runs given up in an entry go out only once that is
// committed.
func TestFullSyncWaitsForCommit(t *testing.T) {
	h := newHarness(t)
	h.register("c1", "i1")
	h.submit(1, "fast", stage(1, 1000))
	h.now += 14 * time.Second // the runner is given up
	require.True(t, h.append())
	previous := len(h.orders["c1"])
	h.report("c1", "i1")
	h.append()
	h.collect()
	for _, o := range h.orders["c1"][previous:] {
		require.False(t, o.GetFull())
	}
	h.commit()
	require.True(t, h.orders["c1"][len(h.orders["c1"])-1].GetFull())
}

func TestCanceledJobIsStopped(t *testing.T) {
	h := newHarness(t)
	h.register("c1", "i1")
	id := h.submit(1, "fast", stage(2, 1000))
	require.EqualValues(t, http.StatusOK, h.request(&protocol.ClientRequest{Op: &protocol.ClientRequest_Cancel{Cancel: &protocol.Cancel{Id: id}}}).GetStatus())
	require.Empty(t, h.started("c1"))
	require.EqualValues(t, 2000, h.scheduler.Fleet().Runner("i1").Used().CPU, "what is being stopped still counts")
	h.report("c1", "i1", ends("stopped", &protocol.RunEnd{Number: 1, Task: id + ".0.0.0", Run: 1}, &protocol.RunEnd{Number: 2, Task: id + ".0.0.1", Run: 1}))
	h.commit()
	require.Zero(t, h.scheduler.Fleet().Runner("i1").Used().CPU)
}

func TestGangAtOnceOrNotAtAll(t *testing.T) {
	h := newHarness(t)
	h.register("c1", "i1")
	gang := stage(2, 3000)
	gang.Gang = true
	h.submit(1, "fast", gang)
	require.Empty(t, h.started("c1"))
	require.Contains(t, h.scheduler.Status().Waiting[0].Reason, "not for all")
	h.register("c2", "i2")
	require.Len(t, h.started("c1"), 1)
	require.Len(t, h.started("c2"), 1)
}

func TestDrainingRunnerIsEmptied(t *testing.T) {
	h := newHarness(t)
	h.register("c1", "i1")
	lasting, long, short := stage(1, 500), stage(1, 500), stage(1, 500)
	lasting.LongRunning, long.EstimateMs, short.EstimateMs = true, 60000, 100
	a, b, c := h.submit(1, "fast", lasting), h.submit(2, "slow", long), h.submit(3, "fast", short)
	h.report("c1", "i1", func(report *protocol.RunnerReport) { report.Account.Draining, report.Account.RemainingMs = true, 2000 })
	h.commit()
	require.Equal(t, map[string]uint32{c + ".0.0.0": 1}, h.started("c1"))
	_, _ = a, b
	h.submit(4, "fast", stage(1, 100))
	require.NotContains(t, h.started("c1"), "0000000000000004.0.0.0")
}

func TestRefusedStartGoesElsewhere(t *testing.T) {
	h := newHarness(t)
	h.register("c1", "i1")
	id := h.submit(1, "fast", stage(1, 1000))
	h.report("c1", "i1", func(report *protocol.RunnerReport) {
		report.Refused = []*protocol.RunRef{{Task: id + ".0.0.0", Run: 1}}
	})
	h.commit()
	require.Equal(t, uint32(2), h.started("c1")[id+".0.0.0"])
}

func TestUnappliedOrdersAreSentAgain(t *testing.T) {
	h := newHarness(t)
	h.register("c1", "i1")
	h.submit(1, "fast", stage(1, 1000))
	lost := h.orders["c1"]
	h.orders["c1"] = nil
	for range 12 {
		h.now += 100 * time.Millisecond
		h.report("c1", "i1", func(report *protocol.RunnerReport) { report.OrdersSeen = lost[0].GetSequence() })
		h.commit()
	}
	require.Len(t, h.started("c1"), 1)
}

// TestOverdueJobsGoLast has jobs that can still be in time go before those that can't.
func TestOverdueJobsGoLast(t *testing.T) {
	h := newHarness(t)
	overdue := h.submit(1, "fast", stage(4, 1000))
	h.now += 20 * time.Second
	soon := h.submit(2, "fast", stage(4, 1000))
	h.register("c1", "i1")
	for task := range h.started("c1") {
		require.Contains(t, task, soon)
		require.NotContains(t, task, overdue)
	}
	require.Len(t, h.started("c1"), 4)
}

// TestCancelOfUnsentRun gives back the room of a run whose job was canceled before its companion had the whole
// set: the companion has never heard of it and can list no end.
func TestCancelOfUnsentRun(t *testing.T) {
	h := newHarness(t)
	h.register("c1", "i1")
	h.report("c1", "i1", func(report *protocol.RunnerReport) { report.Incarnation = 2 }) // its set is asked for again
	job := h.submit(1, "fast", stage(2, 1000))
	require.EqualValues(t, http.StatusOK, h.request(&protocol.ClientRequest{Op: &protocol.ClientRequest_Cancel{Cancel: &protocol.Cancel{Id: job}}}).GetStatus())
	h.now += time.Second
	h.elect()
	h.report("c1", "i1")
	h.commit()
	require.Empty(t, h.started("c1"))
	var waited []*protocol.RunRef
	for _, o := range h.orders["c1"] {
		if o.GetFull() {
			waited = o.GetDrop()
		}
	}
	require.Len(t, waited, 2, "their ends are asked for")
	require.Equal(t, 2, h.scheduler.Fleet().Runner("i1").ReservationCount())
	reserved := h.scheduler.Status().Runners[0].Tasks
	require.Len(t, reserved, 2)
	require.Equal(t, RunStatus{Task: job + ".0.0.0", Run: 1, State: "canceled", Stopping: true}, reserved[0], "an operator sees what holds it")
	h.report("c1", "i1", func(report *protocol.RunnerReport) { report.Refused = waited })
	h.commit()
	require.Zero(t, h.scheduler.Fleet().Runner("i1").ReservationCount())
	previous := len(h.orders["c1"])
	h.report("c1", "i1", func(report *protocol.RunnerReport) { report.Refused = waited })
	h.commit()
	var dropped []*protocol.RunRef
	for _, o := range h.orders["c1"][previous:] {
		dropped = append(dropped, o.GetDrop()...)
	}
	require.Len(t, dropped, 2, "the companion may forget them")
	h.elect()
	require.Zero(t, h.scheduler.Fleet().Runner("i1").ReservationCount(), "their ends are in the store")
}

// TestLostOrdersUnderNewOnes has the whole set sent again to a companion that has missed orders though newer ones
// are sent all the time.
func TestLostOrdersUnderNewOnes(t *testing.T) {
	h := newHarness(t)
	h.register("c1", "i1")
	h.report("c1", "i1")
	h.commit()
	applied := h.orders["c1"][len(h.orders["c1"])-1].GetSequence()
	previous := len(h.orders["c1"])
	for i := range 20 {
		h.now += 100 * time.Millisecond
		h.submit(i+1, "fast", stage(1, 10))
		h.report("c1", "i1", func(report *protocol.RunnerReport) { report.OrdersSeen = applied }) // the first was lost
		h.commit()
	}
	again := false
	for _, o := range h.orders["c1"][previous:] {
		again = again || o.GetFull()
	}
	require.True(t, again)
}

// TestSchedulesWithoutTick has a blocked task started in the very turn in which room comes back, not only when the
// clock has moved, and no pass made in a turn that changes nothing.
func TestSchedulesWithoutTick(t *testing.T) {
	h := newHarness(t)
	h.register("c1", "i1")
	first := h.submit(1, "fast", stage(1, 4000))
	second := h.submit(2, "fast", stage(1, 4000))
	h.report("c1", "i1")
	h.commit()
	require.Contains(t, h.started("c1"), first+".0.0.0")
	require.NotContains(t, h.started("c1"), second+".0.0.0")
	h.scheduler.Entry(h.now)
	require.Equal(t, h.scheduler.fleet.Changes(), h.scheduler.changesAtLastPass)
	require.False(t, h.scheduler.tickedSincePass)
	h.report("c1", "i1", ends("done", &protocol.RunEnd{Number: 1, Task: first + ".0.0.0", Run: 1}))
	e := h.scheduler.Entry(h.now)
	h.index++
	h.store.Apply(e.GetPuts(), e.GetDeletes())
	h.scheduler.Appended(h.index)
	h.scheduler.Committed(h.now, h.index)
	h.collect()
	require.Contains(t, h.started("c1"), second+".0.0.0")
}

// submitted hands a job in and returns the status.
func (h *harness) submitted(s *protocol.Submit) int {
	h.t.Helper()
	return int(h.request(&protocol.ClientRequest{Op: &protocol.ClientRequest_Submit{Submit: s}}).GetStatus())
}

// TestOneIDInTwoQueues has a job whose ID is that of another queue's job, or whose content is another, be refused:
// it would never run. It used to be acknowledged.
func TestOneIDInTwoQueues(t *testing.T) {
	h := newHarness(t)
	job := func(queue, spec string) *protocol.Submit {
		return &protocol.Submit{Id: "00000000000000aa", Queue: queue, Spec: spec, Stages: []*protocol.Stage{stage(1, 1000)}}
	}
	require.Equal(t, http.StatusOK, h.submitted(job("fast", "s")))
	again := job("fast", "s")
	again.AgeMs = 700
	check := func() {
		require.Equal(t, http.StatusOK, h.submitted(again), "the same job came again")
		require.Equal(t, http.StatusConflict, h.submitted(job("slow", "s")))
		require.Equal(t, http.StatusConflict, h.submitted(job("fast", "other")))
		cancel := &protocol.ClientRequest{Op: &protocol.ClientRequest_Cancel{Cancel: &protocol.Cancel{Id: "00000000000000aa", Queue: "slow"}}}
		require.EqualValues(t, http.StatusGone, h.request(cancel).GetStatus(), "it is a job of others")
	}
	check()
	h.elect()
	check()
	require.EqualValues(t, http.StatusOK, h.request(&protocol.ClientRequest{Op: &protocol.ClientRequest_Cancel{Cancel: &protocol.Cancel{Id: "00000000000000aa", Queue: "fast"}}}).GetStatus())
	check() // it has ended, and its steps are forgotten
	require.EqualValues(t, http.StatusOK, h.configure(1, `{"Version":2,"Remove":{"Routes":["fast"]}}`))
	require.Equal(t, http.StatusOK, h.submitted(job("slow", "s")), "the queue it came by has gone")
}

// TestOrdersAreKnownWithinABound takes more orders than are known by name: the newest are acknowledged again, older
// ones have no clear answer, and the state stays within the bound.
func TestOrdersAreKnownWithinABound(t *testing.T) {
	h := newHarness(t)
	const changes = maxKnownUpdates + 50
	order := func(version int) string { return fmt.Sprintf(`{"Version":%d}`, version) }
	for version := 2; version <= changes; version++ {
		require.EqualValues(t, http.StatusOK, h.configure(uint64(version-1), order(version)))
	}
	check := func() {
		for version := 2; version <= changes; version++ {
			want := http.StatusOK
			if version <= changes-maxKnownUpdates {
				want = http.StatusServiceUnavailable
			}
			require.EqualValues(t, want, h.configure(uint64(version-1), order(version)), "version %d", version)
		}
		require.EqualValues(t, http.StatusPreconditionFailed, h.configure(changes-1, `{"Version":5000}`), "another order on a version that is known")
		require.Len(t, h.scheduler.History(), maxKnownUpdates)
	}
	check()
	h.elect()
	check()
	kept := 0
	h.store.Each(func(key string, _ []byte) {
		if strings.HasPrefix(key, updatePrefix) {
			kept++
		}
	})
	require.Equal(t, maxKnownUpdates, kept)
}

// TestEndedJobsOutliveClockSteps has the time of day jump by an hour: jobs that ended a moment before stay known.
func TestEndedJobsOutliveClockSteps(t *testing.T) {
	h := newHarness(t)
	id := h.submit(1, "fast", stage(1, 1000))
	require.EqualValues(t, http.StatusOK, h.request(&protocol.ClientRequest{Op: &protocol.ClientRequest_Cancel{Cancel: &protocol.Cancel{Id: id}}}).GetStatus())
	h.now += 2 * time.Minute // the head has served for longer than states are kept
	h.append()
	later := h.submit(2, "fast", stage(1, 1000))
	require.EqualValues(t, http.StatusOK, h.request(&protocol.ClientRequest{Op: &protocol.ClientRequest_Cancel{Cancel: &protocol.Cancel{Id: later}}}).GetStatus())
	known := func(id string, ahead time.Duration) bool {
		for range 3 {
			h.now += time.Second
			h.scheduler.Tick(h.now, h.wall()+ahead.Milliseconds(), h.now)
			h.scheduler.Entry(h.now)
		}
		return h.scheduler.Jobs().Get(id) != nil
	}
	require.False(t, known(id, 0))
	require.True(t, known(later, 0))
	h.scheduler.ClockStepped(h.now)
	require.True(t, known(later, time.Hour))
	h.elect()
	require.True(t, known(later, time.Hour), "a new head does not know how long ago it ended")
	h.now += time.Minute
	require.False(t, known(later, time.Hour))
}

// TestStaleReportsAreIgnored has reports come again after later ones: what they say of a runner that was there before, or
// of runs that have ended, must not undo what the head has learned since.
func TestStaleReportsAreIgnored(t *testing.T) {
	h := newHarness(t)
	h.register("c1", "i1")
	old := h.reportNumber
	h.register("c1", "i2")
	id := h.submit(1, "fast", stage(1, 1000))
	require.Len(t, h.started("c1"), 1)
	previous := h.scheduler.Fleet()
	require.NotNil(t, previous)
	overdue := func(reportNumber, incarnation uint64) {
		h.scheduler.HandleReport(h.now, "c1", &protocol.RunnerReport{Incarnation: incarnation, LeaseRound: reportNumber, Gone: []string{"i2"}, Account: &protocol.RunnerAccount{Id: "i1", Service: "svc"}})
		h.commit()
		require.Contains(t, h.scheduler.runners, "i2", "it is there and runs a task")
		require.Contains(t, h.scheduler.runners["i2"].live, id+".0.0.0")
	}
	overdue(old, 1)
	h.report("c1", "i2", func(report *protocol.RunnerReport) { report.Incarnation = 2 })
	h.commit()
	overdue(h.reportNumber+1, 1) // of the process that was there before
}
