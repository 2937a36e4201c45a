package scheduler

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"frosttide/internal/control/store"
	"frosttide/internal/protocol"
)

// config has three queues of one service. Jobs of "fast" have priority over those of "slow" and "once", and tasks of
// "once" have a single attempt.
const config = `{"Version":1,"Routes":[{"Name":"fast","Host":"h","PathPrefix":"/f/","TimeoutMs":3000,"TargetLatencyMs":800,"Priority":0,"Service":"svc","MaxAttempts":2,"Stretch":1.5},` +
	`{"Name":"slow","Host":"h","PathPrefix":"/s/","TimeoutMs":3000,"TargetLatencyMs":4000,"Priority":2,"Service":"svc","MaxAttempts":2,"Stretch":4},` +
	`{"Name":"once","Host":"h","PathPrefix":"/o/","TimeoutMs":3000,"TargetLatencyMs":4000,"Priority":2,"Service":"svc","MaxAttempts":1,"Stretch":4}],"Services":[{"Name":"svc"}]}`

// harness runs a scheduler on a log whose commits the test controls. It simulates the member, the chain, the agents and
// the clients.
type harness struct {
	t         testing.TB
	scheduler *Scheduler
	store     *store.Store
	now       time.Duration
	index     uint64 // index of the newest entry
	epoch     uint64

	lastRequest uint64
	replies     map[uint64]*protocol.ClientReply // by request ID

	reportNumber uint64
	orders       map[string][]*protocol.RunnerOrders // orders that this head has sent, by agent
}

// newEmptyHarness returns a harness whose scheduler has no configuration.
func newEmptyHarness(t testing.TB) *harness {
	t.Helper()
	h := &harness{t: t, store: store.New(), now: time.Hour, epoch: 1, replies: make(map[uint64]*protocol.ClientReply)}
	h.elect()
	return h
}

// newHarness returns a harness whose scheduler has the three queues of config.
func newHarness(t testing.TB) *harness {
	t.Helper()
	h := newEmptyHarness(t)
	require.EqualValues(t, http.StatusOK, h.request(configRequest(&protocol.ConfigOrder{Body: []byte(config)})).GetStatus())
	return h
}

// elect replaces the scheduler by that of a new head, which loads its state from the store.
func (h *harness) elect() {
	h.t.Helper()
	h.epoch++
	h.orders = make(map[string][]*protocol.RunnerOrders)
	scheduler, err := New(Config{Lease: 12 * time.Second, StatusRetention: time.Minute, RackPrefix: "r", RemoteSlowdown: 1.5}, h.now, h.wall(), h.epoch, h.index, h.store)
	require.NoError(h.t, err)
	h.scheduler = scheduler
}

// wall returns the time of day in ms.
func (h *harness) wall() int64 { return 1_800_000_000_000 + h.now.Milliseconds() }

// append ticks, appends the next entry, and reports whether there was one.
func (h *harness) append() bool {
	h.scheduler.Tick(h.now, h.wall(), h.now)
	return h.appendEntry()
}

// entry returns the next entry, nil if there is none.
func (h *harness) entry() *protocol.Entry {
	e, err := h.scheduler.Entry(h.now)
	require.NoError(h.t, err)
	return e
}

// appendEntry appends the next entry without a tick, and reports whether there was one.
func (h *harness) appendEntry() bool {
	e := h.entry()
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

// commit appends and commits entries, including those that result from a commit, and collects the orders.
func (h *harness) commit() {
	for range 4 {
		h.append()
		h.scheduler.Committed(h.now, h.index)
		h.collect()
	}
}

// collect records the orders that the scheduler has sent.
func (h *harness) collect() {
	for _, s := range h.scheduler.TakeSends() {
		h.orders[s.To] = append(h.orders[s.To], s.Message.GetRunnerOrders())
	}
}

// request sends a client's request and returns the committed reply.
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

func submitRequest(s *protocol.Submit) *protocol.ClientRequest {
	return &protocol.ClientRequest{Op: &protocol.ClientRequest_Submit{Submit: s}}
}

func cancelRequest(id, queue string) *protocol.ClientRequest {
	return &protocol.ClientRequest{Op: &protocol.ClientRequest_Cancel{Cancel: &protocol.Cancel{Id: id, Queue: queue}}}
}

func configRequest(c *protocol.ConfigOrder) *protocol.ClientRequest {
	return &protocol.ClientRequest{Op: &protocol.ClientRequest_Config{Config: c}}
}

// submit submits a job, requires that it is accepted, and returns its ID.
func (h *harness) submit(id int, queue string, stages ...*protocol.Stage) string {
	h.t.Helper()
	name := jobID(id)
	reply := h.request(submitRequest(&protocol.Submit{Id: name, Queue: queue, Spec: "s", Stages: stages}))
	require.EqualValues(h.t, http.StatusOK, reply.GetStatus(), "%s", reply.GetBody())
	return name
}

// jobID returns the job ID with a number.
func jobID(number int) string { return fmt.Sprintf("%016x", number) }

// submitStatus submits a job and returns the status of the reply.
func (h *harness) submitStatus(s *protocol.Submit) int {
	h.t.Helper()
	return int(h.request(submitRequest(s)).GetStatus())
}

// cancel cancels a job and requires that the job is known.
func (h *harness) cancel(id string) {
	h.t.Helper()
	require.EqualValues(h.t, http.StatusOK, h.request(cancelRequest(id, "")).GetStatus())
}

// configure sends a patch of the configuration and returns the status of the reply.
func (h *harness) configure(ifMatch uint64, body string) uint32 {
	h.t.Helper()
	return h.request(configRequest(&protocol.ConfigOrder{Patch: true, IfMatch: ifMatch, Body: []byte(body)})).GetStatus()
}

// report delivers a report of an agent for its runner, with all orders applied. The changes are made to the report
// beforehand.
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

// register begins a session of an agent and completes its full sync.
func (h *harness) register(agent, runner string) {
	h.report(agent, runner)
	h.commit()
	h.report(agent, runner)
	h.commit()
}

// ends adds run ends with a reason to a report.
func ends(reason string, refs ...*protocol.RunEnd) func(*protocol.RunnerReport) {
	return func(report *protocol.RunnerReport) {
		for _, e := range refs {
			e.How = reason
			report.Ends = append(report.Ends, e)
		}
	}
}

// refuses sets the refused runs of a report.
func refuses(refs ...*protocol.RunRef) func(*protocol.RunnerReport) {
	return func(report *protocol.RunnerReport) { report.Refused = refs }
}

// started returns the run numbers, by task, of the runs that an agent should have according to its orders.
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

// lastOrders returns the newest orders sent to an agent.
func (h *harness) lastOrders(agent string) *protocol.RunnerOrders {
	h.t.Helper()
	require.NotEmpty(h.t, h.orders[agent])
	return h.orders[agent][len(h.orders[agent])-1]
}

// runnersByTask returns the runner of each task that has a live run.
func (h *harness) runnersByTask() map[string]string {
	runners := make(map[string]string)
	for id, runner := range h.scheduler.runners {
		for task := range runner.live {
			runners[task] = id
		}
	}
	return runners
}

// endFirst records the end of the first run of a runner, by task name, whose start is committed.
func (h *harness) endFirst(id, reason string) {
	runner := h.scheduler.runners[id]
	for _, task := range slices.Sorted(maps.Keys(runner.live)) {
		if run := runner.live[task]; !run.pending {
			h.scheduler.recordEnds(runner.session, []*protocol.RunEnd{{Number: runner.recordedEnd + 1, Task: task, Run: run.number, How: reason}})
			return
		}
	}
}

func stage(count uint32, cpu int64) *protocol.Stage {
	return &protocol.Stage{Count: count, Cpu: cpu, MemMb: 100, EstimateMs: 500}
}

func agentName(i int) string  { return fmt.Sprintf("c%d", i) }
func runnerName(i int) string { return fmt.Sprintf("w%d", i) }
