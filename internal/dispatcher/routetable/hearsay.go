package routetable

import (
	"encoding/json"
	"time"

	"frosttide/decision"
	"frosttide/internal/dispatcher/core"
)

// Update is what this dispatcher's discovery has told.
type Update struct {
	Source       string // its address
	Version      uint64
	Full         bool
	VersionReset bool // the versions have begun anew
	Entries      []UpdatedEntry
}

// UpdatedEntry is an entry, in the form in which discovery wrote it.
type UpdatedEntry struct {
	UID       string
	State     decision.MemberState
	StartedAt time.Duration // since 1970
	JSON      json.RawMessage
}

// gossipedEntry is an entry that another dispatcher's discovery told, in a version that is not
// here yet. It holds until ours has come as far.
type gossipedEntry struct {
	version uint64
	route   core.Route
	text    json.RawMessage
}

// maxGossipedEntries bounds them; past it the next is passed over, and comes by discovery.
const maxGossipedEntries = 20_000

// ApplyGossip takes in entries that another dispatcher's discovery has told in a version. From names
// the discovery whose versions those are, empty where they count like any of ours; what is
// from one that is not ours any more is passed over. What ours has told as late or later is passed over;
// the rest holds until ours has come as far. It does not block.
func (t *Table) ApplyGossip(from string, rev uint64, entries [][]byte) {
	t.box.Put(func(t *Table) {
		if from == "" || from == t.addr {
			t.applyGossip(rev, entries)
		}
	})
}

func (t *Table) applyGossip(rev uint64, entries [][]byte) {
	if rev <= t.version && t.versionKnown {
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
		if ok && gossip.version >= rev || !ok && len(t.gossiped) >= maxGossipedEntries {
			continue
		}
		if t.gossiped == nil {
			t.gossiped = map[string]gossipedEntry{}
		}
		t.gossiped[route.UID] = gossipedEntry{rev, route, text}
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
