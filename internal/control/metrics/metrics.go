// Package metrics tells Prometheus of a control plane, by asking its members when it is scraped. The members
// themselves keep no metrics library.
package metrics

import (
	"context"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"frosttide/internal/control/apiclient"
	"frosttide/internal/control/placement"
	"frosttide/internal/control/replica"
	"frosttide/internal/control/scheduler"
)

const (
	millisecond = 1e-3    // in seconds
	thousandth  = 1e-3    // of a core, in cores
	megabyte    = 1 << 20 // in bytes
)

// family is a metric with its labels.
type family struct {
	desc *prometheus.Desc
	kind prometheus.ValueType
}

func newGauge(name, help string, labels ...string) family {
	return family{prometheus.NewDesc("frosttide_"+name, help, labels, nil), prometheus.GaugeValue}
}

func newCounter(name, help string, labels ...string) family {
	return family{prometheus.NewDesc("frosttide_"+name, help, labels, nil), prometheus.CounterValue}
}

// The metrics. docs/metrics.md tells what each is good for.
var (
	memberUp       = newGauge("up", "Whether the member answers.", "member")
	viewEpoch      = newGauge("view_epoch", "Epoch of the view that the member knows.", "member")
	voterCount     = newGauge("voters", "Voters of that view.", "member")
	chainLength    = newGauge("chain_length", "Members of that view's chain.", "member")
	memberServing  = newGauge("serving", "Whether the member serves as the head.", "member")
	newestEntry    = newGauge("entry", "Newest entry that the member holds.", "member")
	committedEntry = newGauge("committed_entry", "Newest entry that the member knows as committed.", "member")
	diskLag        = newGauge("disk_lag_seconds", "How long the oldest write has waited for the disk.", "member")
	diskFailed     = newGauge("disk_failed", "Whether the disk takes no writes.", "member")
	fencingToken   = newGauge("fencing_token", "Token that runners take orders of.")
	configVersion  = newGauge("config_version", "Version of the configuration.")
	jobCount       = newGauge("jobs", "Jobs that are known.", "state")
	runnerCount    = newGauge("runners", "Runners.", "service", "state")
	runCount       = newGauge("runs", "Runs that hold a part of a runner.", "service")
	cpuCores       = newGauge("cpu_cores", "Processor time of the runners, and what runs hold of it.", "service", "part")
	memoryBytes    = newGauge("memory_bytes", "Memory of the runners, and what runs hold of it.", "service", "part")
	gpuCount       = newGauge("gpus", "Graphics cards of the runners, and what runs hold of them.", "service", "part")
	waitingTasks   = newGauge("waiting_tasks", "Tasks that are ready and wait for a runner.", "service")
	oldestWait     = newGauge("oldest_wait_seconds", "How long the step that has waited longest has waited.", "service")
	tasksReady     = newCounter("tasks_ready_total", "Tasks that were to be started, since the head began.", "service")
	tasksBlocked   = newCounter("tasks_blocked_total", "Of these, tasks that found no runner at once.", "service")
	runsStarted    = newCounter("runs_started_total", "Runs that were started, since the head began.", "service")
	runsEnded      = newCounter("runs_ended_total", "Runs that have ended, since the head began.", "service", "how")
)

var families = []family{memberUp, viewEpoch, voterCount, chainLength, memberServing, newestEntry, committedEntry, diskLag, diskFailed, fencingToken, configVersion, jobCount, runnerCount, runCount, cpuCores, memoryBytes, gpuCount,
	waitingTasks, oldestWait, tasksReady, tasksBlocked, runsStarted, runsEnded}

// Collector asks the members of a control plane.
type Collector struct {
	members []string // addresses of their API, host:port
}

// NewCollector returns a collector that asks the members at these addresses.
func NewCollector(members []string) *Collector { return &Collector{members: members} }

// Describe is part of prometheus.Collector.
func (c *Collector) Describe(out chan<- *prometheus.Desc) {
	for _, f := range families {
		out <- f.desc
	}
}

// Collect is part of prometheus.Collector. All members are asked for themselves, and the first that knows of
// the placement role's state for that.
func (c *Collector) Collect(out chan<- prometheus.Metric) {
	var all sync.WaitGroup
	for _, member := range c.members {
		all.Go(func() { collectMember(out, member) })
	}
	all.Wait()
	for _, member := range c.members {
		var s scheduler.Status
		if _, err := apiclient.Get(context.Background(), member, "/v1/scheduler", &s); err != nil {
			klog.V(1).InfoS("The placement role's state can't be read", "member", member, "err", err)
			continue
		}
		scrape{out}.placement(&s)
		return
	}
}

func collectMember(out chan<- prometheus.Metric, member string) {
	to := scrape{out}
	var s replica.Status
	if _, err := apiclient.Get(context.Background(), member, "/v1/status", &s); err != nil {
		klog.V(1).InfoS("A member's state can't be read", "member", member, "err", err)
		to.put(memberUp, 0, member)
		return
	}
	to.put(memberUp, 1, member)
	to.put(viewEpoch, float64(s.View.GetEpoch()), member)
	to.put(voterCount, float64(len(s.View.GetVoters())), member)
	to.put(chainLength, float64(len(s.View.GetChain())), member)
	to.put(memberServing, boolValue(s.Serving), member)
	to.put(newestEntry, float64(s.Index), member)
	to.put(committedEntry, float64(s.Committed), member)
	to.put(diskLag, float64(s.DiskLagMs)*millisecond, member)
	to.put(diskFailed, boolValue(s.DiskFailed), member)
}

// scrape is what is told in one scrape.
type scrape struct{ out chan<- prometheus.Metric }

func (s scrape) put(f family, value float64, labels ...string) {
	s.out <- prometheus.MustNewConstMetric(f.desc, f.kind, value, labels...)
}

// placement tells of the placement role.
func (s scrape) placement(status *scheduler.Status) {
	s.put(fencingToken, float64(status.Epoch))
	s.put(configVersion, float64(status.ConfigVersion))
	for state, count := range status.Jobs {
		s.put(jobCount, float64(count), state)
	}
	for service, sum := range sumByService(status.Runners) {
		s.runners(service, sum)
	}
	for service, c := range status.Services {
		s.put(waitingTasks, float64(c.WaitingTasks), service)
		s.put(oldestWait, float64(c.OldestWaitMs)*millisecond, service)
		s.put(tasksReady, float64(c.Ready), service)
		s.put(tasksBlocked, float64(c.Blocked), service)
		s.put(runsStarted, float64(c.Started), service)
		for how, count := range c.Ended {
			s.put(runsEnded, float64(count), service, how)
		}
	}
}

func (s scrape) runners(service string, sum *serviceSum) {
	for state, count := range sum.states {
		s.put(runnerCount, float64(count), service, state)
	}
	s.put(runCount, float64(sum.runs), service)
	for quantity, r := range map[string]placement.Resources{"capacity": sum.capacity, "used": sum.used} {
		s.put(cpuCores, float64(r.CPU)*thousandth, service, quantity)
		s.put(memoryBytes, float64(r.MemMB)*megabyte, service, quantity)
		s.put(gpuCount, float64(r.GPUs), service, quantity)
	}
}

// serviceSum is what the runners of a service have together.
type serviceSum struct {
	states         map[string]int
	runs           int
	capacity, used placement.Resources
}

// sumByService adds up runners by service.
func sumByService(runners []scheduler.RunnerStatus) map[string]*serviceSum {
	out := make(map[string]*serviceSum)
	for i := range runners {
		r := &runners[i]
		sum := out[r.Service]
		if sum == nil {
			sum = &serviceSum{states: make(map[string]int)}
			out[r.Service] = sum
		}
		sum.states[r.State()]++
		sum.runs += r.Runs
		sum.capacity, sum.used = sum.capacity.Plus(r.Capacity), sum.used.Plus(r.Used)
	}
	return out
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
