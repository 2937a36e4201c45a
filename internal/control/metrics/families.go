package metrics

import "github.com/prometheus/client_golang/prometheus"

// family is a metric family: its name, help text and labels, and the type of its values.
type family struct {
	desc *prometheus.Desc
	kind prometheus.ValueType
}

// newGauge returns a family of gauges; its name gets the prefix "frosttide_".
func newGauge(name, help string, labels ...string) family {
	return family{desc: prometheus.NewDesc("frosttide_"+name, help, labels, nil), kind: prometheus.GaugeValue}
}

// newCounter returns a family of counters; its name gets the prefix "frosttide_".
func newCounter(name, help string, labels ...string) family {
	return family{desc: prometheus.NewDesc("frosttide_"+name, help, labels, nil), kind: prometheus.CounterValue}
}

// Exported metric families. docs/metrics.md describes each of them.
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

// families lists all exported metric families, for Describe.
var families = []family{
	memberUp, viewEpoch, voterCount, chainLength, memberServing, newestEntry, committedEntry, diskLag, diskFailed,
	fencingToken, configVersion, jobCount, runnerCount, runCount, cpuCores, memoryBytes, gpuCount,
	waitingTasks, oldestWait, tasksReady, tasksBlocked, runsStarted, runsEnded,
}
