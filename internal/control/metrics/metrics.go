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

func gauge(name, help string, labels ...string) family {
	return family{prometheus.NewDesc("frosttide_"+name, help, labels, nil), prometheus.GaugeValue}
}

func counter(name, help string, labels ...string) family {
	return family{prometheus.NewDesc("frosttide_"+name, help, labels, nil), prometheus.CounterValue}
}

// The metrics. docs/metrics.md tells what each is good for.
var (
	up          = gauge("up", "Whether the member answers.", "member")
	epoch       = gauge("view_epoch", "Epoch of the view that the member knows.", "member")
	voters      = gauge("voters", "Voters of that view.", "member")
	chain       = gauge("chain_length", "Members of that view's chain.", "member")
	serving     = gauge("serving", "Whether the member serves as the head.", "member")
	entry       = gauge("entry", "Newest entry that the member holds.", "member")
	committed   = gauge("committed_entry", "Newest entry that the member knows as committed.", "member")
	diskLag     = gauge("disk_lag_seconds", "How long the oldest write has waited for the disk.", "member")
	diskFailed  = gauge("disk_failed", "Whether the disk takes no writes.", "member")
	token       = gauge("fencing_token", "Token that runners take orders of.")
	config      = gauge("config_version", "Version of the configuration.")
	jobCount    = gauge("jobs", "Jobs that are known.", "state")
	runnerCount = gauge("runners", "Runners.", "service", "state")
	runs        = gauge("runs", "Runs that hold a part of a runner.", "service")
	cores       = gauge("cpu_cores", "Processor time of the runners, and what runs hold of it.", "service", "part")
	memory      = gauge("memory_bytes", "Memory of the runners, and what runs hold of it.", "service", "part")
	gpus        = gauge("gpus", "Graphics cards of the runners, and what runs hold of them.", "service", "part")
	waiting     = gauge("waiting_tasks", "Tasks that are ready and wait for a runner.", "service")
	oldest      = gauge("oldest_wait_seconds", "How long the step that has waited longest has waited.", "service")
	ready       = counter("tasks_ready_total", "Tasks that were to be started, since the head began.", "service")
	blocked     = counter("tasks_blocked_total", "Of these, tasks that found no runner at once.", "service")
	started     = counter("runs_started_total", "Runs that were started, since the head began.", "service")
	ended       = counter("runs_ended_total", "Runs that have ended, since the head began.", "service", "how")
)

var families = []family{up, epoch, voters, chain, serving, entry, committed, diskLag, diskFailed, token, config, jobCount, runnerCount, runs, cores, memory, gpus,
	waiting, oldest, ready, blocked, started, ended}

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
		sample{out}.placement(&s)
		return
	}
}

func collectMember(out chan<- prometheus.Metric, member string) {
	to := sample{out}
	var s replica.Status
	if _, err := apiclient.Get(context.Background(), member, "/v1/status", &s); err != nil {
		klog.V(1).InfoS("A member's state can't be read", "member", member, "err", err)
		to.put(up, 0, member)
		return
	}
	to.put(up, 1, member)
	to.put(epoch, float64(s.View.GetEpoch()), member)
	to.put(voters, float64(len(s.View.GetVoters())), member)
	to.put(chain, float64(len(s.View.GetChain())), member)
	to.put(serving, number(s.Serving), member)
	to.put(entry, float64(s.Index), member)
	to.put(committed, float64(s.Committed), member)
	to.put(diskLag, float64(s.DiskLagMs)*millisecond, member)
	to.put(diskFailed, number(s.DiskFailed), member)
}

// sample is what is told in one scrape.
type sample struct{ out chan<- prometheus.Metric }

func (s sample) put(f family, value float64, labels ...string) {
	s.out <- prometheus.MustNewConstMetric(f.desc, f.kind, value, labels...)
}

// placement tells of the placement role.
func (s sample) placement(status *scheduler.Status) {
	s.put(token, float64(status.Epoch))
	s.put(config, float64(status.ConfigVersion))
	for state, count := range status.Jobs {
		s.put(jobCount, float64(count), state)
	}
	for service, sum := range sums(status.Runners) {
		s.runners(service, sum)
	}
	for service, c := range status.Services {
		s.put(waiting, float64(c.WaitingTasks), service)
		s.put(oldest, float64(c.OldestWaitMs)*millisecond, service)
		s.put(ready, float64(c.Ready), service)
		s.put(blocked, float64(c.Blocked), service)
		s.put(started, float64(c.Started), service)
		for how, count := range c.Ended {
			s.put(ended, float64(count), service, how)
		}
	}
}

func (s sample) runners(service string, sum *serviceSum) {
	for state, count := range sum.states {
		s.put(runnerCount, float64(count), service, state)
	}
	s.put(runs, float64(sum.runs), service)
	for part, r := range map[string]placement.Resources{"capacity": sum.capacity, "used": sum.used} {
		s.put(cores, float64(r.CPU)*thousandth, service, part)
		s.put(memory, float64(r.MemMB)*megabyte, service, part)
		s.put(gpus, float64(r.GPUs), service, part)
	}
}

// serviceSum is what the runners of a service have together.
type serviceSum struct {
	states         map[string]int
	runs           int
	capacity, used placement.Resources
}

// sums adds up runners by service.
func sums(runners []scheduler.RunnerStatus) map[string]*serviceSum {
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

func number(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
