package main

import (
	"runtime"
	"runtime/debug"

	"frosttide/internal/dispatcher/config"
	"frosttide/internal/dispatcher/console"
	"frosttide/internal/dispatcher/export"
	"frosttide/internal/dispatcher/fleet/cluster"
	"frosttide/internal/dispatcher/roster"
)

// reservedSockets are the descriptors of discovery, the log and the runtime.
const reservedSockets = 24

// budget is how many descriptors a process has for connections to workers and from
// clients and workers, and how many jobs it takes at a time.
type budget struct{ runners, ingress, jobs int }

// socketBudget returns the budget of one of several processes of a dispatcher. Each
// has its own reserve; where that leaves too little, a quarter of its part is divided.
func socketBudget(cfg config.Config, processes int) budget {
	part := cfg.Limits.Sockets / processes
	n := max(part-reservedSockets, part/4)
	if cfg.Console != "" {
		n = max(n-console.Sockets, part/4)
	}
	if cfg.Gearman.Listen != "" {
		n = max(n-int(cfg.Gearman.Connections), part/4)
	}
	if cfg.State.Dir != "" {
		n = max(n-roster.Sockets, part/4)
	}
	if cfg.Telemetry.Enabled() {
		n = max(n-export.MaxSockets, part/4)
	}
	if cfg.Cluster.Listen != "" {
		n = max(n-cluster.Sockets, part/4)
	}
	return budget{runners: n * 3 / 8, ingress: n * 5 / 8, jobs: n * 4 / 8}
}

// limitResources keeps the processes of the dispatcher within their machine. The
// memory limit leaves room for stacks and for what the kernel counts.
func limitResources(l config.Limits, processes int) {
	runtime.GOMAXPROCS(max(int(l.Cores), 1))
	debug.SetMemoryLimit(int64(l.MemoryMB) << 20 * 3 / 4 / int64(processes))
}
