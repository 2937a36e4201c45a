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

// fleetSize is the size of a benchmark's fleet and of its load.
type fleetSize struct {
	runners int
	running int // running tasks
	waiting int // waiting tasks, in steps of tasksPerStep tasks
}

// sizes are a quarter, a half and all of the size expected in two years, to show how the cost grows with the size.
var sizes = []fleetSize{{237, 3250, 25_000}, {475, 6500, 50_000}, {950, 13_000, 100_000}}

// tasksPerStep is the number of tasks in the only step of each benchmark job.
const tasksPerStep = 10

func (s fleetSize) String() string {
	return fmt.Sprintf("runners=%d/running=%d/waiting=%d", s.runners, s.running, s.waiting)
}

// busyFleet returns a harness whose runners are full while tasks wait. If uneven is set, almost every job has a different
// demand.
func busyFleet(b *testing.B, size fleetSize, uneven bool) *harness {
	b.Helper()
	h := newHarness(b)
	tasksPerRunner := int64(size.running / size.runners)
	reportAll := func() {
		for i := range size.runners {
			h.report(agentName(i), runnerName(i), func(report *protocol.RunnerReport) {
				report.Account.Capacity = &protocol.Capacity{Cpu: 100 * tasksPerRunner, MemMb: 1000 * tasksPerRunner}
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

// benchmarkSizes measures an operation on a busy fleet of each size, with even and with uneven demands.
func benchmarkSizes(b *testing.B, operation func(h *harness, size fleetSize, i int)) {
	for _, uneven := range []bool{false, true} {
		for _, size := range sizes {
			b.Run(fmt.Sprintf("uneven=%v/%v", uneven, size), func(b *testing.B) {
				h := busyFleet(b, size, uneven)
				b.ResetTimer()
				for i := 0; b.Loop(); i++ {
					operation(h, size, i)
				}
			})
		}
	}
}

// BenchmarkEndAndNextStart measures the time from recording the end of a run to sending the order that starts the next
// task in its place.
func BenchmarkEndAndNextStart(b *testing.B) {
	benchmarkSizes(b, func(h *harness, size fleetSize, i int) {
		h.endAnyRun(i % size.runners)
		h.now += time.Millisecond
	})
}

// endAnyRun records the end of some run of a runner and commits the resulting entry.
func (h *harness) endAnyRun(i int) {
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
	benchmarkSizes(b, func(h *harness, _ fleetSize, _ int) { h.entry() })
}

// BenchmarkTick measures a tick and the following scheduling cycle over all queues.
func BenchmarkTick(b *testing.B) {
	benchmarkSizes(b, func(h *harness, _ fleetSize, _ int) {
		h.scheduler.Tick(h.now, h.wall(), h.now)
		h.entry()
	})
}

// BenchmarkViewChange measures the work of the head when it continues under a newer epoch.
func BenchmarkViewChange(b *testing.B) {
	benchmarkSizes(b, func(h *harness, _ fleetSize, _ int) {
		h.epoch++
		h.scheduler.Continue(h.now, h.epoch, h.index)
		h.entry()
		h.index++
		h.scheduler.Appended(h.index)
		h.scheduler.Committed(h.now, h.index)
		h.scheduler.TakeSends()
	})
}

// BenchmarkTakeOver measures the time that a new head takes to load the store.
func BenchmarkTakeOver(b *testing.B) {
	benchmarkSizes(b, func(h *harness, _ fleetSize, _ int) { h.elect() })
}

// BenchmarkChanges measures configuration updates that each change one of 1,000 routes.
func BenchmarkChanges(b *testing.B) {
	const routes = 1000
	h := newEmptyHarness(b)
	var routeConfigs []string
	for i := range routes {
		routeConfigs = append(routeConfigs, fmt.Sprintf(`{"Name":"r%d","Host":"h","PathPrefix":"/%d/","TimeoutMs":3000,"Service":"svc","MaxAttempts":2,"Stretch":4}`, i, i))
	}
	full := `{"Version":1,"Routes":[` + strings.Join(routeConfigs, ",") + `],"Services":[{"Name":"svc"}]}`
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
