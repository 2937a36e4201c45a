package main

import (
	"context"
	"time"

	"frosttide/decision/freshness"
	"frosttide/internal/dispatcher/core"
	"frosttide/internal/dispatcher/routetable"
)

// discoveryGate keeps jobs from being sent by a list that the process was given before
// discovery has answered, or could have: a change since then may bind already.
type discoveryGate struct {
	table *routetable.Table
	core  *core.Core
	rules freshness.Rules
	stale bool // the list is the one that was given
}

// prepare must be called before the table and the core run.
func (g *discoveryGate) prepare() {
	if g.stale && g.rules.FewCallers() {
		g.table.RequestFull()
		g.core.HoldBack()
	}
}

// await returns once jobs may be submitted. Few dispatchers, whose wait is short, take
// jobs at once and hold them back for that time: with two that restart one after the
// other, clients would otherwise miss each meanwhile.
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

// awaitDiscovery waits for discovery's first answer, up to the timeout, as there is
// none during an outage.
func (g *discoveryGate) awaitDiscovery(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(timeout))
	defer cancel()
	select {
	case <-g.table.FirstResult():
	case <-ctx.Done():
	}
}
