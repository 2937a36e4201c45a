package decision

import (
	"testing"
	"time"
)

// loadReportConfig returns the config of a deployment whose workers report their load with answers.
func loadReportConfig() Config {
	cfg := bucketOnlyConfig()
	cfg.Instances, cfg.StartEvents = 4, true
	cfg.Metrics = []Metric{MetricUtilization, MetricQueued, MetricFreeSlots}
	cfg.Tenants = []Tenant{{RatePerSecond: 40}, {RatePerSecond: 40}}
	for i := range cfg.Classes {
		cfg.Classes[i].LateValue, cfg.Classes[i].ClientTimeout = 0, 5*time.Second
	}
	return cfg
}

// arriveFor delivers a request of a tenant with a hint and returns the resulting action.
func (h *driver) arriveFor(class, tenant int, hint time.Duration) Action {
	h.t.Helper()
	h.lastRequest++
	out := h.step(Event{Type: RequestArrived, Request: h.lastRequest, Class: class, Tenant: tenant, Slots: 1, Hint: hint,
		Deadline: h.now + 5*time.Second})
	if len(out) != 1 {
		h.t.Fatalf("an arrival led to %v, want one action", out)
	}
	return out[0]
}

// start reports the start of an attempt.
func (h *driver) start(a Action) {
	h.step(Event{Type: AttemptStarted, Request: a.Request, Worker: a.Worker, Attempt: a.Attempt})
}

// serveWithLoad ends an attempt as served, with a load report of queued requests and free slots.
func (h *driver) serveWithLoad(a Action, load [2]float32) {
	h.step(Event{Type: AttemptEnded, Request: a.Request, Worker: a.Worker, Attempt: a.Attempt, Outcome: Served,
		RequestClosed: true, LoadCount: 3, Load: [MaxMetrics]float32{1, load[0], load[1]}})
}

// reportLoads makes every worker serve a request and report its load: queued requests and free slots.
func (h *driver) reportLoads(load map[WorkerID][2]float32) {
	h.t.Helper()
	out := map[WorkerID]Action{}
	for n := 0; len(out) < len(load); n++ {
		a := h.arriveFor(0, 0, 100*time.Millisecond)
		if a.Type != Send || n > 20 {
			h.t.Fatalf("got %+v, want a request at each of %d workers", a, len(load))
		}
		h.start(a)
		out[a.Worker] = a
	}
	h.advance(100 * time.Millisecond)
	for w, a := range out {
		h.serveWithLoad(a, load[w])
	}
}

// newIdleDriver returns a driver whose four workers have reported four free slots each.
func newIdleDriver(t *testing.T, cfg Config) *driver {
	h := newDriver(t, cfg, membersInOneZone(4))
	for range 3 {
		h.reportLoads(map[WorkerID][2]float32{100: {0, 4}, 101: {0, 4}, 102: {0, 4}, 103: {0, 4}})
	}
	return h
}

// TestReportsSteer checks that requests go to workers that report no queue, however many of their tokens
// are in use.
func TestReportsSteer(t *testing.T) {
	h := newIdleDriver(t, loadReportConfig())
	h.reportLoads(map[WorkerID][2]float32{100: {9, 0}, 101: {9, 0}, 102: {9, 0}, 103: {0, 4}})
	got := map[WorkerID]int{}
	for range 3 {
		a := h.arriveFor(0, 0, 100*time.Millisecond)
		got[a.Worker]++
	}
	if got[103] != 3 {
		t.Errorf("requests per worker: %v, want all 3 at 103, the only one that reported free slots", got)
	}
}

// TestOverdueWorkIsRejected checks that a request that no worker can finish in time is rejected at once,
// with a retry-after: its answer would have no value, and it would lengthen the queue for others.
func TestOverdueWorkIsRejected(t *testing.T) {
	h := newIdleDriver(t, loadReportConfig())
	h.reportLoads(map[WorkerID][2]float32{100: {30, 0}, 101: {30, 0}, 102: {30, 0}, 103: {30, 0}})
	for _, class := range []int{0, 1, 4} {
		if a := h.arriveFor(class, 0, 100*time.Millisecond); a.Type != Reject || a.Reason != Overload || a.After <= 0 {
			t.Errorf("class %d: got %+v, want a Reject with a retry-after", class, a)
		}
	}
	h.advance(20 * time.Second)
	if a := h.arriveFor(0, 0, 100*time.Millisecond); a.Type != Send {
		t.Errorf("got %+v, want a send: the reports are too old to reject anything", a)
	}
}

// TestLongWorkIsNotRejected checks that a request is sent if its own run time alone makes it late, as
// rejecting it would not help other requests.
func TestLongWorkIsNotRejected(t *testing.T) {
	h := newIdleDriver(t, loadReportConfig())
	if a := h.arriveFor(0, 0, 4*time.Second); a.Type != Send {
		t.Errorf("got %+v, want a send to an idle worker", a)
	}
}

// TestWaitPastTargetIsGivenUp checks that a waiting attempt is canceled once it can no longer be in time: a
// request that may run again goes to another worker, and an Unsafe one fails without another send.
func TestWaitPastTargetIsGivenUp(t *testing.T) {
	for class, unsafe := range map[int]bool{1: false, 4: true} {
		h := newIdleDriver(t, loadReportConfig())
		a := h.arriveFor(class, 0, 100*time.Millisecond)
		out := h.advance(390 * time.Millisecond) // the target is 200 ms plus twice the run time
		canceled, failed := false, false
		for _, x := range out {
			canceled = canceled || x.Type == Cancel && x.Attempt == a.Attempt
			failed = failed || x.Type == Fail
		}
		if !canceled || failed != unsafe {
			t.Errorf("class %d: got %v, want the attempt canceled, and a Fail: %v", class, out, unsafe)
		}
		after := h.end(a, Canceled)
		if sent := len(after) == 1 && after[0].Type == Send && after[0].Worker != a.Worker; sent == unsafe {
			t.Errorf("class %d: after the cancel got %v, want a send to another worker: %v", class, after, !unsafe)
		}
	}
	h := newIdleDriver(t, loadReportConfig())
	a := h.arriveFor(1, 0, 100*time.Millisecond)
	h.start(a)
	if out := h.advance(2 * time.Second); len(out) > 0 {
		t.Errorf("a running request led to %v, want no actions", out)
	}
}

// TestQuotaIsKept checks that while workers have queues a tenant over its quota is rejected and one within
// its quota is served.
func TestQuotaIsKept(t *testing.T) {
	h := newIdleDriver(t, loadReportConfig())
	var served, rejected [2]int
	h.reportLoads(map[WorkerID][2]float32{100: {3, 0}, 101: {3, 0}, 102: {3, 0}, 103: {3, 0}})
	for i := range 140 { // tenant 0 sends 57 a second, tenant 1 ten; the quota of each is ten here
		h.advance(15 * time.Millisecond)
		tenant := 0
		if i%7 == 0 {
			tenant = 1
		}
		a := h.arriveFor(0, tenant, 400*time.Millisecond)
		if a.Type == Reject {
			rejected[tenant]++
			continue
		}
		served[tenant]++
		h.serveWithLoad(a, [2]float32{3, 0})
	}
	if served[1] < 4*rejected[1] || rejected[0] < 4*served[0] {
		t.Errorf("served %v, rejected %v: want tenant 0, over its quota, rejected and tenant 1 served", served, rejected)
	}
}

// TestFalseLoadReports checks that rejections end if workers report full queues though every request starts
// at once.
func TestFalseLoadReports(t *testing.T) {
	h := newDriver(t, loadReportConfig(), membersInOneZone(4))
	rejected := 0
	for i := range 1000 {
		h.advance(50 * time.Millisecond)
		a := h.arriveFor(0, 0, 100*time.Millisecond)
		if a.Type != Send {
			if i >= 900 {
				rejected++
			}
			continue
		}
		h.start(a)
		h.advance(100 * time.Millisecond)
		h.serveWithLoad(a, [2]float32{60, 0})
	}
	if rejected > 10 {
		t.Errorf("%d of the last 100 requests were rejected, want at most 10", rejected)
	}
}
