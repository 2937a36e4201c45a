package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"frosttide/internal/control/placement"
	"frosttide/internal/control/scheduler"
)

// Units of the states in those of the metrics.
const (
	millisecond = 1e-3    // in seconds
	thousandth  = 1e-3    // of a core, in cores
	megabyte    = 1 << 20 // in bytes
)

// scrape receives the metrics of one scrape. It is safe for concurrent use.
type scrape struct{ out chan<- prometheus.Metric }

func (s scrape) put(f family, value float64, labels ...string) {
	s.out <- prometheus.MustNewConstMetric(f.desc, f.kind, value, labels...)
}

// placement reports the placement role's state.
func (s scrape) placement(status *scheduler.Status) {
	s.put(fencingToken, float64(status.Epoch))
	s.put(configVersion, float64(status.ConfigVersion))
	for state, count := range status.Jobs {
		s.put(jobCount, float64(count), state)
	}
	for service, total := range totalsByService(status.Runners) {
		s.runners(service, total)
	}
	for service, counters := range status.Services {
		s.service(service, counters)
	}
}

// runners reports the totals of a service's runners.
func (s scrape) runners(service string, total *serviceTotal) {
	for state, count := range total.states {
		s.put(runnerCount, float64(count), service, state)
	}
	s.put(runCount, float64(total.runs), service)
	for part, resources := range map[string]placement.Resources{"capacity": total.capacity, "used": total.used} {
		s.put(cpuCores, float64(resources.CPU)*thousandth, service, part)
		s.put(memoryBytes, float64(resources.MemMB)*megabyte, service, part)
		s.put(gpuCount, float64(resources.GPUs), service, part)
	}
}

// service reports a service's tasks and runs.
func (s scrape) service(service string, status scheduler.ServiceStatus) {
	s.put(waitingTasks, float64(status.WaitingTasks), service)
	s.put(oldestWait, float64(status.OldestWaitMs)*millisecond, service)
	s.put(tasksReady, float64(status.Ready), service)
	s.put(tasksBlocked, float64(status.Blocked), service)
	s.put(runsStarted, float64(status.Started), service)
	for how, count := range status.Ended {
		s.put(runsEnded, float64(count), service, how)
	}
}

// serviceTotal is what the runners of a service have together.
type serviceTotal struct {
	states         map[string]int
	runs           int
	capacity, used placement.Resources
}

// totalsByService adds up runners by their service.
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

// boolValue returns a flag as Prometheus shows it.
func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
