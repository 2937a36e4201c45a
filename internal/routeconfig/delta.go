package routeconfig

import "frosttide/internal/protocol"

// DeltaSince returns what makes the table of an older version this one. Where tombstones that the older one needs were
// dropped, and for version 0, it is the full configuration, which builds on version 0.
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

// ApplyDelta returns the table after a delta of DeltaSince, and true. A delta of a version that is not newer changes
// nothing. It returns false where the delta builds on a version that is not known here, or does not lead to the digest
// that it names; the table is not to be used then, and the full configuration has to be requested.
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
