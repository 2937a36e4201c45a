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
	// maxPendingUpdates bounds the updates of discovery that are kept for a member
	// that has not opened. What is past it comes with the next whole list.
	maxPendingUpdates = 1000
	// findingsInterval is the time between two times that what jobs have shown of
	// workers is shared with the other members.
	findingsInterval = 2 * time.Second
)

// updateHook returns who takes the updates of discovery, nil for nobody. It may be
// called on nil.
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
		if update.Full { // it replaces the updates before
			p.pendingUpdates = nil
		}
		if len(p.pendingUpdates) < maxPendingUpdates {
			p.pendingUpdates = append(p.pendingUpdates, update)
		}
	}
}

// forwardUpdate passes an update of discovery to the member.
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

// Exclude implements cluster.Dispatcher: it applies what operators decided at any
// member.
func (p *peers) Exclude(uid string, out bool, at time.Time) {
	e := core.Exclusion{UID: uid, Out: out, At: time.Duration(at.UnixNano())}
	p.core.ApplyExclusion(e)
	p.link.ForwardExclusion(e)
	if p.roster != nil {
		p.roster.Excluded(uid, out)
	}
}

// Hint implements cluster.Dispatcher: it takes what another dispatcher has found out
// about a worker.
func (p *peers) ApplyHealth(uid string, found []byte) {
	var health decision.Health
	if err := json.Unmarshal(found, &health); err != nil { // of another release
		p.log.WithError(err).WithField("target", uid).Debug("what another member found of a runner can't be read")
		return
	}
	p.core.Hint(uid, health)
}

// Hear implements cluster.Dispatcher: it takes entries of another member's discovery.
func (p *peers) ApplyRunners(source string, rev uint64, entries [][]byte) {
	if p.alias != "" { // the operators say that all of that name are one discovery
		source = ""
	}
	p.table.ApplyGossip(source, rev, entries)
}

// shareFindings shares what jobs here have shown of workers with the other members,
// until the context ends.
func (p *peers) shareFindings(ctx context.Context) {
	tick := time.NewTicker(findingsInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		p.core.OwnFindings(p.forwardFindings)
	}
}

// forwardFindings passes the health of workers to the member, if there is one.
func (p *peers) forwardFindings(findings map[string]decision.Health) {
	m := p.currentMember()
	if m == nil {
		return
	}
	var list []cluster.RunnerHealth
	for uid, health := range findings {
		if text, err := json.Marshal(health); err == nil { // fails for figures that are no numbers
			list = append(list, cluster.RunnerHealth{UID: uid, Failed: health.Failed, Text: text})
		}
	}
	m.PublishHealth(list)
}
