package main

import (
	"context"
	"time"

	"frosttide/decision/freshness"
	"frosttide/internal/dispatcher/core"
	"frosttide/internal/dispatcher/routetable"
)

// firstWord has no job be sent by the list that a process was given before discovery was heard, or
// could have been: what has changed since may bind already.
type firstWord struct {
	table *routetable.Table
	core  *core.Core
	rules freshness.Rules
	old   bool // the list is the one that was given
}

// prepare is called before the table and the core run.
func (f *firstWord) prepare() {
	if f.old && f.rules.Few() {
		f.table.AskWhole()
		f.core.HoldBack()
	}
}

// await returns once jobs may be taken in. Few dispatchers, whose wait is short, take them in at
// once and hold them back for so long: clients of two that restart one after the other would miss
// each meanwhile.
func (f *firstWord) await(ctx context.Context) {
	most := freshness.FirstWord(f.rules)
	switch {
	case !f.old && !f.rules.Pushed:
	case f.rules.Few():
		go func() {
			f.heard(ctx, most)
			f.core.Begin()
		}()
	default:
		f.heard(ctx, most)
	}
}

// heard waits for discovery's first word, which it does not say during an outage.
func (f *firstWord) heard(ctx context.Context, most time.Duration) {
	wait, cancel := context.WithDeadline(ctx, time.Now().Add(most))
	defer cancel()
	select {
	case <-f.table.Answered():
	case <-wait.Done():
	}
}
