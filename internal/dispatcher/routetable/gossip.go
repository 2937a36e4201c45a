package routetable

import (
	"encoding/json"

	"frosttide/decision"
	"frosttide/internal/dispatcher/core"
)

// gossipedEntry is an entry that another member received from its discovery in a version that this
// dispatcher has not reached. It is in force until this dispatcher's discovery reaches that
// version.
type gossipedEntry struct {
	version uint64
	route   core.Route
	text    json.RawMessage
}

// maxGossipedEntries bounds the gossiped entries that are held; further ones are ignored and arrive
// later by discovery.
const maxGossipedEntries = 20_000

// ApplyGossip applies entries that another member received from its discovery in a version. Source
// is the address of the discovery that assigned the version, or empty if its versions are
// comparable with those of this dispatcher's discovery. Entries are ignored if source is not this
// dispatcher's current discovery, or if that discovery has already reached the version. It does not
// block and is safe for concurrent use.
func (t *Table) ApplyGossip(source string, version uint64, entries [][]byte) {
	t.box.Put(func(t *Table) {
		if source == "" || source == t.addr {
			t.applyGossip(version, entries)
		}
	})
}

func (t *Table) applyGossip(version uint64, entries [][]byte) {
	if version <= t.version && t.versionKnown {
		return
	}
	var routes []core.Route
	for _, text := range entries {
		text := compactJSON(text)
		route, err := t.parseEntry(text)
		if err != nil {
			t.log.WithError(err).Warn("gossiped list entry skipped")
			continue
		}
		gossip, ok := t.gossiped[route.UID]
		if ok && gossip.version >= version || !ok && len(t.gossiped) >= maxGossipedEntries {
			continue
		}
		if t.gossiped == nil {
			t.gossiped = map[string]gossipedEntry{}
		}
		t.gossiped[route.UID] = gossipedEntry{version, route, text}
		t.entries[route.UID] = text
		if route.State == decision.Removed {
			delete(t.entries, route.UID)
		}
		routes = append(routes, route)
	}
	if len(routes) > 0 {
		t.sink.RoutesChanged(routes)
	}
}
