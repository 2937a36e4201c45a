package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"frosttide/internal/control/placement"
	"frosttide/internal/control/scheduler"
)

// Factors that convert the units of the API to the base units of the metrics.
const (
	millisecond = 1e-3    // in seconds
	millicore   = 1e-3    // in cores
	megabyte    = 1 << 20 // in bytes
)

// scrape sends the metrics of one scrape to a channel. It is safe for concurrent use.
type scrape struct{ out chan<- prometheus.Metric }

// emit sends one metric. The label values are in the order of the labels of the family.
func (s scrape) emit(f family, value float64, labels ...string) {
	s.out <- prometheus.MustNewConstMetric(f.desc, f.kind, value, labels...)
}

// collectPlacement reports the state of the placement role.
func (s scrape) collectPlacement(status *scheduler.Status) {
	s.emit(fencingToken, float64(status.Epoch))
	s.emit(configVersion, float64(status.ConfigVersion))
	for state, count := range status.Jobs {
		s.emit(jobCount, float64(count), state)
	}
	for service, total := range totalsByService(status.Runners) {
		s.collectRunners(service, total)
	}
	for service, serviceStatus := range status.Services {
		s.collectService(service, serviceStatus)
	}
}

// collectRunners reports the totals of a service's runners.
func (s scrape) collectRunners(service string, total *serviceTotal) {
	for state, count := range total.states {
		s.emit(runnerCount, float64(count), service, state)
	}
	s.emit(runCount, float64(total.runs), service)
	for part, resources := range map[string]placement.Resources{"capacity": total.capacity, "used": total.used} {
		s.emit(cpuCores, float64(resources.CPU)*millicore, service, part)
		s.emit(memoryBytes, float64(resources.MemMB)*megabyte, service, part)
		s.emit(gpuCount, float64(resources.GPUs), service, part)
	}
}

// collectService reports the tasks and runs of a service.
func (s scrape) collectService(service string, status scheduler.ServiceStatus) {
	s.emit(waitingTasks, float64(status.WaitingTasks), service)
	s.emit(oldestWait, float64(status.OldestWaitMs)*millisecond, service)
	s.emit(tasksReady, float64(status.Ready), service)
	s.emit(tasksBlocked, float64(status.Blocked), service)
	s.emit(runsStarted, float64(status.Started), service)
	for reason, count := range status.Ended {
		s.emit(runsEnded, float64(count), service, reason)
	}
}

// serviceTotal holds the totals over the runners of a service.
type serviceTotal struct {
	states         map[string]int // number of runners by state
	runs           int
	capacity, used placement.Resources
}

// totalsByService returns the totals of all services, by service.
func totalsByService(runners []scheduler.RunnerStatus) map[string]*serviceTotal {
	totals := make(map[string]*serviceTotal)
	for i := range runners {
		r := &runners[i]
		total := totals[r.Service]
		if total == nil {
			total = &serviceTotal{states: make(map[string]int)}
			totals[r.Service] = total
		}
		total.states[r.State()]++
		total.runs += r.Runs
		total.capacity, total.used = total.capacity.Plus(r.Capacity), total.used.Plus(r.Used)
	}
	return totals
}

// boolValue returns 1 for true and 0 for false, as is usual in Prometheus.
func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
