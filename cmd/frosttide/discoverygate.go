package main

import (
	"context"
	"time"

	"frosttide/decision/freshness"
	"frosttide/internal/dispatcher/core"
	"frosttide/internal/dispatcher/routetable"
)

// discoveryGate delays dispatching on an initial worker list until discovery has answered or the
// time for its first answer has passed: the list may have changed since, and dispatchers may
// already be bound by the change.
type discoveryGate struct {
	table *routetable.Table
	core  *core.Core
	rules freshness.Rules
	stale bool // the list comes from the configuration and was not confirmed by discovery
}

// prepare makes the core hold jobs back if a stale list requires it. It must be called before the
// table and the core run.
func (g *discoveryGate) prepare() {
	if g.stale && g.rules.FewCallers() {
		g.table.RequestFull()
		g.core.HoldBack()
	}
}

// await returns once jobs may be submitted. In a small deployment, where the wait is short, the
// dispatcher accepts jobs at once and holds them back instead: when two dispatchers restart one
// after the other, clients would otherwise find neither of them available.
func (g *discoveryGate) await(ctx context.Context) {
	timeout := freshness.FirstAnswerTimeout(g.rules)
	switch {
	case !g.stale && !g.rules.Pushed:
	case g.rules.FewCallers():
		go func() {
			g.awaitDiscovery(ctx, timeout)
			g.core.ReleaseHeldBack()
		}()
	default:
		g.awaitDiscovery(ctx, timeout)
	}
}

// awaitDiscovery waits for discovery's first answer. The timeout applies during a discovery
// outage.
func (g *discoveryGate) awaitDiscovery(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(timeout))
	defer cancel()
	select {
	case <-g.table.FirstResult():
	case <-ctx.Done():
	}
}
