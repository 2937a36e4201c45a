package main

import (
	"cmp"
	"context"
	"encoding/json"
	"time"

	"frosttide/decision"
	"frosttide/internal/dispatcher/core"
	"frosttide/internal/dispatcher/fleet/cluster"
	"frosttide/internal/dispatcher/fleet/replica"
	"frosttide/internal/dispatcher/routetable"
)

const (
	// maxPendingUpdates bounds the discovery updates that are queued until the member opens.
	// Updates beyond it are dropped; the next full list contains their changes.
	maxPendingUpdates = 1000
	// healthShareInterval is the interval at which the observed health of workers is shared with
	// the other members.
	healthShareInterval = 2 * time.Second
)

// updateHook returns the function that receives discovery updates, or nil without a cluster. It
// may be called on nil.
func (p *peers) updateHook() func(routetable.Update) {
	if p == nil {
		return nil
	}
	return func(update routetable.Update) {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.member != nil {
			p.forwardUpdate(p.member, update)
			return
		}
		if update.Full { // supersedes earlier updates
			p.pendingUpdates = nil
		}
		if len(p.pendingUpdates) < maxPendingUpdates {
			p.pendingUpdates = append(p.pendingUpdates, update)
		}
	}
}

// forwardUpdate converts a discovery update to the cluster's form and publishes it.
func (p *peers) forwardUpdate(m *cluster.Cluster, update routetable.Update) {
	entries := make([]cluster.Entry, len(update.Entries))
	for i, e := range update.Entries {
		state := replica.Serving
		switch e.State {
		case decision.Draining:
			state = replica.Draining
		case decision.Removed:
			state = replica.Deleted
		}
		entries[i] = cluster.Entry{UID: e.UID, State: state, Boot: e.StartedAt.Milliseconds(), Text: e.JSON}
	}
	m.PublishRunners(cmp.Or(p.alias, update.Source), update.Version, update.Full, update.VersionReset, entries)
}

// Exclude implements cluster.Dispatcher: it applies an exclusion, or its end, that operators
// requested at any member.
func (p *peers) Exclude(uid string, out bool, at time.Time) {
	e := core.Exclusion{UID: uid, Out: out, At: time.Duration(at.UnixNano())}
	p.core.ApplyExclusion(e)
	p.link.ForwardExclusion(e)
	if p.roster != nil {
		p.roster.Excluded(uid, out)
	}
}

// ApplyHealth implements cluster.Dispatcher: it passes the health of a worker as observed by
// another dispatcher to the core.
func (p *peers) ApplyHealth(uid string, found []byte) {
	var health decision.Health
	if err := json.Unmarshal(found, &health); err != nil { // written by another release
		p.log.WithError(err).WithField("target", uid).Debug("cannot decode a runner's health from another member")
		return
	}
	p.core.Hint(uid, health)
}

// ApplyRunners implements cluster.Dispatcher: it passes discovery entries received from another
// member to the route table.
func (p *peers) ApplyRunners(source string, rev uint64, entries [][]byte) {
	if p.alias != "" { // configured: all members with this alias use the same discovery service
		source = ""
	}
	p.table.ApplyGossip(source, rev, entries)
}

// shareWorkerHealth periodically shares the health of workers as observed by this dispatcher's
// jobs with the other members, until the context ends.
func (p *peers) shareWorkerHealth(ctx context.Context) {
	tick := time.NewTicker(healthShareInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		p.core.OwnFindings(p.forwardWorkerHealth)
	}
}

// forwardWorkerHealth publishes the health of workers through the member, if it is open.
func (p *peers) forwardWorkerHealth(findings map[string]decision.Health) {
	m := p.currentMember()
	if m == nil {
		return
	}
	var list []cluster.RunnerHealth
	for uid, health := range findings {
		if text, err := json.Marshal(health); err == nil { // fails for NaN and infinite values
			list = append(list, cluster.RunnerHealth{UID: uid, Failed: health.Failed, Text: text})
		}
	}
	m.PublishHealth(list)
}
