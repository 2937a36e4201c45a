package routetable

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"time"

	"frosttide/decision"
	"frosttide/internal/dispatcher/core"
	"frosttide/internal/dispatcher/routetable/stream"
)

var (
	errNoVersion    = errors.New("object has no version")
	errTrailingText = errors.New("unexpected data after the list")
)

// Update is what this dispatcher's own discovery has sent, without entries gossiped by other
// members.
type Update struct {
	Source       string // discovery's address
	Version      uint64
	Full         bool // the entries are the full membership, not changes
	VersionReset bool // the versions restart with this update
	Entries      []UpdatedEntry
}

// UpdatedEntry is an entry of an Update.
type UpdatedEntry struct {
	UID       string
	State     decision.MemberState
	StartedAt time.Duration   // since the Unix epoch
	JSON      json.RawMessage // discovery's format, compacted
}

// membershipUpdate is one JSON object of discovery's responses: the full membership, or the changes
// that led to a version.
type membershipUpdate struct {
	Version *uint64           `json:"rev"` // nil for an object that is not an update
	Full    bool              `json:"all"`
	Entries []json.RawMessage `json:"targets"`
}

// applyJSON applies one update that was kept as JSON text, in any layout, and reports whether it
// was valid. An invalid update has no effect.
func (t *Table) applyJSON(text []byte) bool {
	var update membershipUpdate
	in := stream.New(bytes.NewReader(text), func(bool) {})
	err := in.Next(&update)
	if err == nil && in.Next(&struct{}{}) != io.EOF {
		err = errTrailingText
	}
	if err == nil {
		err = t.apply(update)
	}
	if err != nil {
		t.log.WithError(err).Warn("list ignored: it is malformed")
	}
	return err == nil
}

// apply applies one update and passes it to the sink. A malformed entry is logged and skipped; a
// full update that contains one counts as changes, so that it does not remove a runner whose entry
// may only be malformed.
func (t *Table) apply(update membershipUpdate) error {
	if update.Version == nil {
		return errNoVersion
	}
	version := *update.Version
	older := t.isOlder(version)
	versionReset := update.Full && !t.addressChanged && version < t.version
	if versionReset { // gossiped entries are ordered by versions that are no longer valid
		clear(t.gossiped)
		if !t.pushed { // what an agent sends takes effect at once
			t.retainDrained()
		}
	}
	t.addressChanged = false
	routes, updated, full := t.applyEntries(version, update, older)
	if full {
		t.older = nil
	} else if !update.Full {
		missing, removed := t.removeMissing(version, routes)
		// The missing runners were removed before this change, so they come first.
		routes, updated = append(missing, routes...), append(removed, updated...)
	}
	t.version, t.versionKnown = version, true
	maps.DeleteFunc(t.gossiped, func(_ string, gossip gossipedEntry) bool { return gossip.version <= t.version })
	if full {
		t.sink.RoutesReplaced(routes)
	} else {
		t.sink.RoutesChanged(routes)
	}
	if t.previous != nil && version >= t.previous.version {
		t.dropPreviousDiscovery()
	}
	if t.onUpdate != nil {
		t.onUpdate(Update{Source: t.addr, Version: version, Full: full, VersionReset: versionReset, Entries: updated})
	}
	return nil
}

// applyEntries stores the entries of an update. It returns the routes for the sink, which differ
// from discovery's entries if a newer entry was gossiped or the previous discovery drained a
// runner; the unmodified entries for onUpdate; and whether the entries replace the list. A full
// update replaces it, unless one of its entries is malformed, or it is older than the list in force
// and lacks some of its runners.
func (t *Table) applyEntries(version uint64, update membershipUpdate, older bool) (routes []core.Route, updated []UpdatedEntry, replaces bool) {
	routes = make([]core.Route, 0, len(update.Entries))
	texts := map[string]json.RawMessage{}
	replaces = update.Full
	for _, text := range update.Entries {
		text = compactJSON(text)
		route, err := t.parseEntry(text)
		if err != nil {
			t.log.WithError(err).Warn("list entry skipped")
			replaces = false
			continue
		}
		if t.onUpdate != nil {
			updated = append(updated, UpdatedEntry{UID: route.UID, State: route.State, StartedAt: route.StartedAt, JSON: text})
		}
		if gossip, ok := t.gossiped[route.UID]; ok && gossip.version > version {
			route, text = gossip.route, gossip.text
		}
		if t.drainedByPrevious(version, route) {
			route.State = decision.Draining
		} else {
			t.drained.record(route)
		}
		routes = append(routes, route)
		texts[route.UID] = text
		if isRemoved(route) {
			delete(texts, route.UID)
			delete(t.entries, route.UID)
		}
	}
	if replaces && older && t.retainMissing(texts) {
		replaces = false
	}
	if replaces {
		clear(t.entries)
	}
	maps.Copy(t.entries, texts)
	return routes, updated, replaces
}
