package routeconfig

import "frosttide/internal/protocol"

// DeltaSince returns the delta that turns the table of an older version into this one. For
// version 0, and if tombstones that the older table needs were dropped, the delta is the full
// configuration, which builds on version 0.
func (t *Table) DeltaSince(version uint64) *protocol.ConfigDelta {
	if version < t.tombstoneHorizon {
		version = 0
	}
	delta := &protocol.ConfigDelta{From: version, Version: t.Version, Digest: t.Digest}
	for key, item := range t.items {
		if item.GetVersion() > version {
			delta.Items = append(delta.Items, &protocol.NamedItem{Key: key, Item: item})
		}
	}
	return delta
}

// ApplyDelta returns the table that results from a delta of DeltaSince, and true. A delta of a
// version that is not newer has no effect. It returns false if the delta builds on a version that
// is newer than the table's, or if the result does not have the digest that the delta names; the
// caller must not use the returned table then, and has to request the full configuration.
func (t *Table) ApplyDelta(delta *protocol.ConfigDelta) (*Table, bool) {
	if delta.GetVersion() <= t.Version {
		return t, true
	}
	if delta.GetFrom() > t.Version {
		return t, false
	}
	base := t
	if delta.GetFrom() == 0 {
		base = Empty()
	}
	changed := make(map[string]*protocol.ConfigItem, len(delta.GetItems()))
	lastPosition := base.lastPosition
	for _, n := range delta.GetItems() {
		changed[n.GetKey()] = n.GetItem()
		lastPosition = max(lastPosition, n.GetItem().GetPosition())
	}
	next := base.withItems(delta.GetVersion(), lastPosition, changed)
	return next, next.Digest == delta.GetDigest()
}
