package main

import (
	"context"
	"net/http"
	"time"

	"frosttide/decision"
	"frosttide/internal/dispatcher/config"
	"frosttide/internal/dispatcher/fleet/cluster"
	"frosttide/internal/dispatcher/fleet/workflow/executor"
)

// currentExecutor returns who carries workflows out, nil for nobody.
func (o *peers) currentExecutor() *executor.Desk {
	if o == nil {
		return nil
	}
	return o.executor.Load()
}

// workflowClasses returns what workflows have to know of the classes.
func workflowClasses(cfg config.Config) *map[string]executor.Class {
	out := map[string]executor.Class{}
	for i, name := range cfg.Names.Classes {
		if c := cfg.Module.Classes[i]; i >= len(cfg.RemovedClasses) || !cfg.RemovedClasses[i] {
			out[name] = executor.Class{Number: i, GiveUp: c.ClientTimeout, Unsafe: c.Effect == decision.Unsafe}
		}
	}
	return &out
}

// startWorkflows has workflows carried out by a member, until the context ends.
func (o *peers) startWorkflows(ctx context.Context, m *cluster.Cluster) {
	if o.maxUndos == 0 {
		return
	}
	d := executor.New(executor.Config{Name: o.cfg.Name, AtOnce: o.maxUndos, Class: func(name string) (executor.Class, bool) {
		c, ok := (*o.workflowClasses.Load())[name]
		return c, ok
	}}, m, o.core, o.log.WithField("part", "workflow"))
	o.executor.Store(d)
	go func() {
		d.Run(ctx)
		o.executor.CompareAndSwap(d, nil)
	}()
}

// fleetHandler answers about workflows and gangs.
func fleetHandler(flows, gangs http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/api/workflow", flows)
	mux.Handle("/api/workflow/", flows)
	mux.Handle("GET /api/gang", gangs)
	return mux
}

// clusterTime is the time as members have it; without any, the machine's.
func (o *peers) clusterTime() time.Duration {
	if o != nil {
		if m := o.currentMember(); m != nil {
			return m.Now()
		}
	}
	return time.Duration(time.Now().UnixNano())
}
