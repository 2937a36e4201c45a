package scheduler

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"frosttide/internal/protocol"
)

// fleetSize is the size of a fleet in a benchmark.
type fleetSize struct {
	runners int
	running int // tasks
	waiting int // tasks, in steps of tasksPerStep
}

// sizes are a quarter, a half and all of the size expected in two years, so that growth shows.
var sizes = []fleetSize{{237, 3250, 25_000}, {475, 6500, 50_000}, {950, 13_000, 100_000}}

// tasksPerStep is how many tasks a job of the benchmarks has, in its one step.
const tasksPerStep = 10

func (s fleetSize) String() string {
	return fmt.Sprintf("runners=%d/running=%d/waiting=%d", s.runners, s.running, s.waiting)
}

// busyFleet returns a scheduler whose runners are full while tasks wait. Where demands are uneven, hardly two jobs ask for
// the same.
func busyFleet(b *testing.B, size fleetSize, uneven bool) *harness {
	b.Helper()
	h := newHarness(b)
	each := int64(size.running / size.runners)
	reportAll := func() {
		for i := range size.runners {
			h.report(agentName(i), runnerName(i), func(report *protocol.RunnerReport) {
				report.Account.Capacity = &protocol.Capacity{Cpu: 100 * each, MemMb: 1000 * each}
			})
		}
	}
	reportAll()
	h.commit()
	reportAll()
	for i := range (size.running + size.waiting) / tasksPerStep {
		stage := &protocol.Stage{Count: tasksPerStep, Cpu: 100, MemMb: 100, EstimateMs: 1000}
		if uneven {
			stage.Cpu, stage.MemMb = 75+int64(i*7919%101), 50+int64(i*104729%997)
		}
		request := submitRequest(&protocol.Submit{Id: fmt.Sprintf("%016x", i+1), Queue: "slow", Spec: "s", Stages: []*protocol.Stage{stage}})
		request.Id = uint64(i + 100)
		h.scheduler.HandleRequest("client", request)
	}
	h.commit()
	require.Greater(b, len(h.scheduler.queues["svc"].steps), size.waiting/tasksPerStep-2*size.runners)
	return h
}

// eachSize measures a step on a busy fleet of each size, with even and with uneven demands.
func eachSize(b *testing.B, step func(h *harness, size fleetSize, i int)) {
	for _, uneven := range []bool{false, true} {
		for _, size := range sizes {
			b.Run(fmt.Sprintf("uneven=%v/%v", uneven, size), func(b *testing.B) {
				h := busyFleet(b, size, uneven)
				b.ResetTimer()
				for i := 0; b.Loop(); i++ {
					step(h, size, i)
				}
			})
		}
	}
}

// BenchmarkEndAndNextStart measures the end of a task and the start of the next one in its place, from the
// report to the order.
func BenchmarkEndAndNextStart(b *testing.B) {
	eachSize(b, func(h *harness, size fleetSize, i int) {
		h.endOne(i % size.runners)
		h.now += time.Millisecond
	})
}

// endOne has a runner report the end of one of its runs, and commits what follows.
func (h *harness) endOne(i int) {
	runner := h.scheduler.runners[runnerName(i)]
	for task, run := range runner.live {
		sess := h.scheduler.sessions[agentName(i)]
		h.scheduler.recordEnds(sess, []*protocol.RunEnd{{Number: runner.recordedEnd + 1, Task: task, Run: run.number, How: "done"}})
		break
	}
	h.appendEntry()
	h.scheduler.Committed(h.now, h.index)
	h.scheduler.TakeSends()
}

// BenchmarkTurnWithoutChange measures a turn in which nothing has changed.
func BenchmarkTurnWithoutChange(b *testing.B) {
	eachSize(b, func(h *harness, _ fleetSize, _ int) { h.scheduler.Entry(h.now) })
}

// BenchmarkTick measures a tick with the cycle over all queues that follows it.
func BenchmarkTick(b *testing.B) {
	eachSize(b, func(h *harness, _ fleetSize, _ int) {
		h.scheduler.Tick(h.now, h.wall(), h.now)
		h.scheduler.Entry(h.now)
	})
}

// BenchmarkViewChange measures what the head does when it goes on under a newer epoch.
func BenchmarkViewChange(b *testing.B) {
	eachSize(b, func(h *harness, _ fleetSize, _ int) {
		h.epoch++
		h.scheduler.Continue(h.now, h.epoch, h.index)
		h.scheduler.Entry(h.now)
		h.index++
		h.scheduler.Appended(h.index)
		h.scheduler.Committed(h.now, h.index)
		h.scheduler.TakeSends()
	})
}

// BenchmarkTakeOver measures how long a new head needs to load the store.
func BenchmarkTakeOver(b *testing.B) {
	eachSize(b, func(h *harness, _ fleetSize, _ int) { h.elect() })
}

// BenchmarkChanges evaluates changes of a configuration of 1,000 routes, one route at a time.
func BenchmarkChanges(b *testing.B) {
	const routes = 1000
	h := newEmptyHarness(b)
	var all []string
	for i := range routes {
		all = append(all, fmt.Sprintf(`{"Name":"r%d","Host":"h","PathPrefix":"/%d/","TimeoutMs":3000,"Service":"svc","MaxAttempts":2,"Stretch":4}`, i, i))
	}
	full := `{"Version":1,"Routes":[` + strings.Join(all, ",") + `],"Services":[{"Name":"svc"}]}`
	require.EqualValues(b, http.StatusOK, h.request(configRequest(&protocol.ConfigOrder{Body: []byte(full)})).GetStatus())
	version := uint64(1)
	b.ResetTimer()
	for range b.N {
		version++
		body := fmt.Sprintf(`{"Version":%d,"Upsert":{"Routes":[{"Name":"r%d","Host":"h","PathPrefix":"/%d/","TimeoutMs":%d,"Service":"svc","MaxAttempts":2,"Stretch":4}]}}`,
			version, version%routes, version%routes, version)
		order := &protocol.ConfigOrder{Patch: true, IfMatch: version - 1, Body: []byte(body)}
		require.EqualValues(b, http.StatusOK, h.request(configRequest(order)).GetStatus())
	}
}
