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

// reservedSockets is the number of file descriptors reserved for discovery, the log and the Go
// runtime.
const reservedSockets = 24

// budget limits the resources of a process: runners is the number of descriptors for connections
// to workers, ingress the number for connections from clients and workers, and jobs the number of
// jobs that are open at a time.
type budget struct{ runners, ingress, jobs int }

// socketBudget returns the budget of one of several processes of a dispatcher. Each process
// subtracts the reserves of its components from an equal share of the sockets, but keeps at least
// a quarter of the share for connections.
func socketBudget(cfg config.Config, processes int) budget {
	share := cfg.Limits.Sockets / processes
	n := max(share-reservedSockets, share/4)
	if cfg.Console != "" {
		n = max(n-console.Sockets, share/4)
	}
	if cfg.Gearman.Listen != "" {
		n = max(n-int(cfg.Gearman.Connections), share/4)
	}
	if cfg.State.Dir != "" {
		n = max(n-roster.Sockets, share/4)
	}
	if cfg.Telemetry.Enabled() {
		n = max(n-export.MaxSockets, share/4)
	}
	if cfg.Cluster.Listen != "" {
		n = max(n-cluster.Sockets, share/4)
	}
	return budget{runners: n * 3 / 8, ingress: n * 5 / 8, jobs: n * 4 / 8}
}

// limitResources sets GOMAXPROCS and the memory limit of this process. The memory limit is three
// quarters of the process's share, to leave room for stacks and for memory that only the kernel
// accounts for.
func limitResources(l config.Limits, processes int) {
	runtime.GOMAXPROCS(max(int(l.Cores), 1))
	debug.SetMemoryLimit(int64(l.MemoryMB) << 20 * 3 / 4 / int64(processes))
}
