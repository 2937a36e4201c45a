package main

import (
	"context"
	"time"

	"frosttide/decision/freshness"
	"frosttide/internal/dispatcher/core"
	"frosttide/internal/dispatcher/routetable"
)

// discoveryGate has no job be sent by the list that a process was given before discovery was heard, or
// could have been: what has changed since may bind already.
type discoveryGate struct {
	table *routetable.Table
	core  *core.Core
	rules freshness.Rules
	stale bool // the list is the one that was given
}

// prepare is called before the table and the core run.
func (f *discoveryGate) prepare() {
	if f.stale && f.rules.FewCallers() {
		f.table.RequestFull()
		f.core.HoldBack()
	}
}

// await returns once jobs may be taken in. Few dispatchers, whose wait is short, take them in at
// once and hold them back for so long: clients of two that restart one after the other would miss
// each meanwhile.
func (f *discoveryGate) await(ctx context.Context) {
	timeout := freshness.FirstAnswerTimeout(f.rules)
	switch {
	case !f.stale && !f.rules.Pushed:
	case f.rules.FewCallers():
		go func() {
			f.awaitDiscovery(ctx, timeout)
			f.core.ReleaseHeldBack()
		}()
	default:
		f.awaitDiscovery(ctx, timeout)
	}
}

// awaitDiscovery waits for discovery's first word, which it does not say during an outage.
func (f *discoveryGate) awaitDiscovery(ctx context.Context, timeout time.Duration) {
	wait, cancel := context.WithDeadline(ctx, time.Now().Add(timeout))
	defer cancel()
	select {
	case <-f.table.FirstResult():
	case <-wait.Done():
	}
}
