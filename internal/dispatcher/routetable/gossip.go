package routetable

import (
	"encoding/json"

	"frosttide/decision"
	"frosttide/internal/dispatcher/core"
)

// gossipedEntry is an entry that another member's discovery has sent in a version that is not held here yet. It
// has effect until this dispatcher's discovery has reached that version.
type gossipedEntry struct {
	version uint64
	route   core.Route
	text    json.RawMessage
}

// maxGossipedEntries bounds the gossiped entries that are held; one past it is ignored and comes by discovery.
const maxGossipedEntries = 20_000

// ApplyGossip applies entries that another member's discovery has sent in a version. Source names the discovery
// whose versions count, and is empty where its versions count like those of this dispatcher's; entries of a
// discovery that is not this dispatcher's any more are ignored, as are those of a version that it has reached. It
// does not block and may be called from any goroutine.
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
		text := compact(text)
		route, err := t.parseEntry(text)
		if err != nil {
			t.log.WithError(err).Warn("another member's list entry skipped")
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
