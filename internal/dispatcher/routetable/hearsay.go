package routetable

import (
	"encoding/json"
	"time"

	"frosttide/decision"
	"frosttide/internal/dispatcher/core"
)

// Telling is what this dispatcher's discovery has told.
type Telling struct {
	From    string // its address
	Rev     uint64
	Whole   bool
	Back    bool // the versions have begun anew
	Entries []Told
}

// Told is an entry, in the form in which discovery wrote it.
type Told struct {
	UID   string
	State decision.MemberState
	Boot  time.Duration // since 1970
	Text  json.RawMessage
}

// hearsay is an entry that another dispatcher's discovery told, in a version that is not
// here yet. It holds until ours has come as far.
type hearsay struct {
	rev   uint64
	route core.Route
	text  json.RawMessage
}

// maxHearsay bounds them; past it the next is passed over, and comes by discovery.
const maxHearsay = 20_000

// Hear takes in entries that another dispatcher's discovery has told in a version. From names
// the discovery whose versions those are, empty where they count like any of ours; what is
// from one that is not ours any more is passed over. What ours has told as late or later is passed over;
// the rest holds until ours has come as far. It does not block.
func (t *Table) Hear(from string, rev uint64, entries [][]byte) {
	t.box.Put(func(t *Table) {
		if from == "" || from == t.addr {
			t.hear(rev, entries)
		}
	})
}

func (t *Table) hear(rev uint64, entries [][]byte) {
	if rev <= t.rev && t.revGiven {
		return
	}
	var routes []core.Route
	for _, text := range entries {
		text := compact(text)
		route, err := t.route(text)
		if err != nil {
			t.log.WithError(err).Warn("another member's list entry skipped")
			continue
		}
		h, ok := t.heard[route.UID]
		if ok && h.rev >= rev || !ok && len(t.heard) >= maxHearsay {
			continue
		}
		if t.heard == nil {
			t.heard = map[string]hearsay{}
		}
		t.heard[route.UID] = hearsay{rev, route, text}
		t.entries[route.UID] = text
		if route.State == decision.Removed {
			delete(t.entries, route.UID)
		}
		routes = append(routes, route)
	}
	if len(routes) > 0 {
		t.sink.ListChanged(routes)
	}
}
