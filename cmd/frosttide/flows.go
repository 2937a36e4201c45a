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

// deskNow returns who carries workflows out, nil for nobody.
func (o *others) deskNow() *executor.Desk {
	if o == nil {
		return nil
	}
	return o.desk.Load()
}

// flowClasses returns what workflows have to know of the classes.
func flowClasses(cfg config.Config) *map[string]executor.Class {
	out := map[string]executor.Class{}
	for i, name := range cfg.Names.Classes {
		if c := cfg.Module.Classes[i]; i >= len(cfg.Gone) || !cfg.Gone[i] {
			out[name] = executor.Class{Number: i, GiveUp: c.GiveUp, Unsafe: c.Effect == decision.Unsafe}
		}
	}
	return &out
}

// beginFlows has workflows carried out by a member, until the context ends.
func (o *others) beginFlows(ctx context.Context, m *cluster.Cluster) {
	if o.undos == 0 {
		return
	}
	d := executor.New(executor.Config{Name: o.cfg.Name, AtOnce: o.undos, Class: func(name string) (executor.Class, bool) {
		c, ok := (*o.flowClasses.Load())[name]
		return c, ok
	}}, m, o.core, o.log.WithField("part", "workflow"))
	o.desk.Store(d)
	go func() {
		d.Run(ctx)
		o.desk.CompareAndSwap(d, nil)
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

// membersNow is the time as members have it; without any, the machine's.
func (o *others) membersNow() time.Duration {
	if o != nil {
		if m := o.now(); m != nil {
			return m.Now()
		}
	}
	return time.Duration(time.Now().UnixNano())
}
