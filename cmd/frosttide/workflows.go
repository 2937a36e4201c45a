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

// currentExecutor returns the workflow executor, or nil if none runs. It may be called on nil.
func (p *peers) currentExecutor() *executor.Executor {
	if p == nil {
		return nil
	}
	return p.executor.Load()
}

// workflowClasses returns the executor's view of the classes that accept jobs, by name.
func workflowClasses(cfg config.Config) *map[string]executor.Class {
	classes := map[string]executor.Class{}
	for i, name := range cfg.Names.Classes {
		if c := cfg.Module.Classes[i]; i >= len(cfg.RemovedClasses) || !cfg.RemovedClasses[i] {
			classes[name] = executor.Class{Number: i, Timeout: c.ClientTimeout, Unsafe: c.Effect == decision.Unsafe}
		}
	}
	return &classes
}

// startWorkflows starts the workflow executor of a member if the settings enable workflows. Its
// goroutine ends with the context.
func (p *peers) startWorkflows(ctx context.Context, m *cluster.Cluster) {
	if p.maxCompensations == 0 {
		return
	}
	class := func(name string) (executor.Class, bool) {
		c, ok := (*p.workflowClasses.Load())[name]
		return c, ok
	}
	e := executor.New(executor.Config{Name: p.cfg.Name, MaxConcurrent: p.maxCompensations, Class: class}, m, p.core, p.log.WithField("part", "workflow"))
	p.executor.Store(e)
	go func() {
		e.Run(ctx)
		p.executor.CompareAndSwap(e, nil)
	}()
}

// workHandler routes the console's calls about workflows and gangs.
func workHandler(workflows, gangs http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/api/workflow", workflows)
	mux.Handle("/api/workflow/", workflows)
	mux.Handle("GET /api/gang", gangs)
	return mux
}

// clusterTime returns the cluster's clock as the time since the Unix epoch, or the machine's clock
// without a member. It may be called on nil.
func (p *peers) clusterTime() time.Duration {
	if p != nil {
		if m := p.currentMember(); m != nil {
			return m.Now()
		}
	}
	return time.Duration(time.Now().UnixNano())
}
