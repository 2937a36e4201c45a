package routeconfig

import (
	"cmp"
	"slices"

	"frosttide/internal/protocol"
)

// maxTombstones bounds the removed items that are remembered for followers of older versions. A follower of a version
// before the horizon gets the full configuration.
const maxTombstones = 1024

// Change is what an order does to a table.
type Change struct {
	Table *Table // after it
	// Items holds the items that are set, or removed (tombstones), by key; a key with nil is dropped altogether.
	Items map[string]*protocol.ConfigItem
}

// What the body of an operator's order is, as the wire tells it by a flag.
const (
	Document = false // the complete configuration
	Patch    = true  // a change of parts of it
)

// Apply evaluates an operator's order: a document, which replaces the whole configuration, or a patch. It returns an
// error marked with ErrInvalid where the order cannot be read, its version is not above the table's, or the table after it
// would not be valid.
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

// changedItems returns the items that a document sets or removes, and the highest position after it. A patch leaves
// items in their positions and puts new ones last; a full document numbers all anew.
func (t *Table) changedItems(d *document) (changed map[string]*protocol.ConfigItem, lastPosition uint64) {
	changed = make(map[string]*protocol.ConfigItem)
	lastPosition = t.lastPosition
	if d.full {
		lastPosition = 0
	}
	for _, item := range d.items {
		current := t.items[item.key]
		position := current.GetPosition()
		if d.full || position == 0 || isTombstone(current) {
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

// removedBy returns the keys that a document may remove: for a full one all that there are.
func (t *Table) removedBy(d *document) (keys []string) {
	if !d.full {
		return d.removedKeys
	}
	for key := range t.items {
		keys = append(keys, key)
	}
	return keys
}

// pruneTombstones makes a change drop the tombstones that exceed maxTombstones, the oldest first, and returns the horizon
// after it.
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

// tombstonesAfter returns the keys of the tombstones that there are after a change.
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

// withItems returns the table of a version with some items set, removed (tombstones) or dropped (nil).
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
	next := build(version, lastPosition, items)
	next.tombstoneHorizon = t.tombstoneHorizon
	return next
}
