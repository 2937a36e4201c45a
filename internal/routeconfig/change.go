package routeconfig

import (
	"cmp"
	"slices"

	"frosttide/internal/protocol"
)

// maxTombstones bounds the removed items that are remembered for followers of older versions. A
// follower whose version is below the tombstone horizon gets the full configuration.
const maxTombstones = 1024

// Change is the result of applying an operator's update to a table.
type Change struct {
	Table *Table // the resulting table
	// Items holds the changed items by key: items that were set, and tombstones of those that
	// were removed. A nil value means that the tombstone of the key is dropped.
	Items map[string]*protocol.ConfigItem
}

// The values of the argument patch of Apply, which state what the body of an operator's update
// is. The update message between processes carries the same flag.
const (
	Document = false // the complete configuration
	Patch    = true  // a change of parts of the configuration
)

// Apply evaluates an operator's update: a document, which replaces the whole configuration, or a
// patch. The error is marked with ErrInvalid if the body can't be parsed, if its version is not
// above the table's, or if the resulting table would be invalid.
func (t *Table) Apply(body []byte, patch bool) (*Change, error) {
	d, err := parse(body, patch)
	if err != nil {
		return nil, err
	}
	if d.version <= t.Version {
		return nil, invalidf("Version: %d is not above the current one, %d", d.version, t.Version)
	}
	changed, lastPosition := t.changedItems(d)
	horizon := t.pruneTombstones(changed)
	c := &Change{Table: t.withItems(d.version, lastPosition, changed), Items: changed}
	c.Table.tombstoneHorizon = horizon
	return c, c.Table.validate()
}

// changedItems returns the items that a document or patch sets or removes, and the highest
// position after it. A patch keeps the positions of existing items and appends new ones; a
// document assigns all positions anew.
func (t *Table) changedItems(d *document) (changed map[string]*protocol.ConfigItem, lastPosition uint64) {
	changed = make(map[string]*protocol.ConfigItem)
	lastPosition = t.lastPosition
	if d.replacesAll {
		lastPosition = 0
	}
	for _, item := range d.items {
		current := t.items[item.key]
		position := current.GetPosition()
		if d.replacesAll || position == 0 || isTombstone(current) {
			lastPosition++
			position = lastPosition
		}
		changed[item.key] = &protocol.ConfigItem{Position: position, Version: d.version, Json: item.json}
	}
	for _, key := range t.removedBy(d) {
		if _, set := changed[key]; !set && !isTombstone(t.items[key]) {
			changed[key] = &protocol.ConfigItem{Version: d.version}
		}
	}
	return changed, lastPosition
}

// removedBy returns the keys of the items that are removed unless they are also set: those that a
// patch names, and all keys of the table for a document.
func (t *Table) removedBy(d *document) (keys []string) {
	if !d.replacesAll {
		return d.removedKeys
	}
	for key := range t.items {
		keys = append(keys, key)
	}
	return keys
}

// pruneTombstones adds to a change that the oldest tombstones beyond maxTombstones are dropped,
// and returns the tombstone horizon after it.
func (t *Table) pruneTombstones(changed map[string]*protocol.ConfigItem) (horizon uint64) {
	horizon = t.tombstoneHorizon
	tombstones := t.tombstonesAfter(changed)
	if len(tombstones) <= maxTombstones {
		return horizon
	}
	versionOf := func(key string) uint64 {
		if item, ok := changed[key]; ok {
			return item.GetVersion()
		}
		return t.items[key].GetVersion()
	}
	slices.SortFunc(tombstones, func(a, b string) int { return cmp.Or(cmp.Compare(versionOf(a), versionOf(b)), cmp.Compare(a, b)) })
	for _, key := range tombstones[:len(tombstones)-maxTombstones] {
		horizon = max(horizon, versionOf(key))
		changed[key] = nil
	}
	return horizon
}

// tombstonesAfter returns the keys of the tombstones that exist after a change.
func (t *Table) tombstonesAfter(changed map[string]*protocol.ConfigItem) (keys []string) {
	for key, item := range t.items {
		if _, replaced := changed[key]; !replaced && isTombstone(item) {
			keys = append(keys, key)
		}
	}
	for key, item := range changed {
		if isTombstone(item) {
			keys = append(keys, key)
		}
	}
	return keys
}

// withItems returns a table of the given version with some items set, replaced by tombstones, or
// dropped (nil).
func (t *Table) withItems(version, lastPosition uint64, changed map[string]*protocol.ConfigItem) *Table {
	items := make(map[string]*protocol.ConfigItem, len(t.items)+len(changed))
	for key, item := range t.items {
		items[key] = item
	}
	for key, item := range changed {
		if item == nil {
			delete(items, key)
			continue
		}
		items[key] = item
	}
	next := newTable(version, lastPosition, items)
	next.tombstoneHorizon = t.tombstoneHorizon
	return next
}
