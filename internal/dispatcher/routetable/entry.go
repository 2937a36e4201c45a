package routetable

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"slices"
	"time"

	"frosttide/decision"
	"frosttide/internal/dispatcher/core"
)

// errInvalidEntry is wrapped by errors about an entry that is not a JSON object of the expected
// form or lacks a uid.
var errInvalidEntry = errors.New("malformed entry")

// entry is one runner in discovery's JSON format.
type entry struct {
	UID         string  `json:"uid"`
	Endpoint    string  `json:"endpoint"`
	Zone        string  `json:"az"`
	Kind        string  `json:"model"`
	Cell        int     `json:"pod_group"`
	State       string  `json:"state"`
	Weight      float64 `json:"capacity_hint"`
	StartedAtMs int64   `json:"boot_ms"` // since the Unix epoch
}

// Parse decodes an entry in discovery's format. It must be called before Run, because it assigns
// numbers to new names of zones and kinds.
func (t *Table) Parse(text []byte) (core.Route, error) { return t.parseEntry(text) }

func (t *Table) parseEntry(text []byte) (core.Route, error) {
	var e entry
	if err := json.Unmarshal(text, &e); err != nil {
		return core.Route{}, errors.Join(errInvalidEntry, err)
	}
	return e.route(&t.zones, &t.kinds)
}

// route converts the entry to a route of the core. An entry of a removed runner may lack the
// endpoint.
func (e *entry) route(zones, kinds *nameNumbers) (core.Route, error) {
	if e.UID == "" {
		return core.Route{}, fmt.Errorf("%w: uid is missing", errInvalidEntry)
	}
	m := decision.Member{Cell: e.Cell, Weight: e.Weight, StartedAt: time.Duration(max(e.StartedAtMs, 0)) * time.Millisecond}
	switch e.State {
	case "SERVING":
		m.State = decision.Ready
	case "DRAINING":
		m.State = decision.Draining
	case "DELETED":
		m.State = decision.Removed
	default:
		return core.Route{}, fmt.Errorf("entry %q: unknown state %q", e.UID, e.State)
	}
	if _, _, err := net.SplitHostPort(e.Endpoint); err != nil && m.State != decision.Removed {
		return core.Route{}, fmt.Errorf("entry %q: endpoint: %w", e.UID, err)
	}
	m.Zone, m.Kind = zones.numberOf(e.Zone), kinds.numberOf(e.Kind)
	return core.Route{UID: e.UID, Addr: e.Endpoint, ZoneName: e.Zone, Member: m}, nil
}

// compactJSON returns an entry without insignificant white space. The stored list, the hand-over
// and the replicas of other members compare texts, and must not take two layouts of one entry for a
// change.
func compactJSON(text json.RawMessage) json.RawMessage {
	var out bytes.Buffer
	if json.Compact(&out, text) != nil { // impossible: the text was parsed as JSON
		return text
	}
	return out.Bytes()
}

// isRemoved reports whether a route is of a runner that was removed from the list.
func isRemoved(r core.Route) bool { return r.State == decision.Removed }

// nameNumbers maps names of zones or kinds to the numbers that package decision uses: first the
// names in the settings, in their order, then new ones that discovery reports.
type nameNumbers struct{ names []string }

// maxNames bounds the names of one nameNumbers; all further names share the number maxNames.
const maxNames = 256

// numberOf returns the number of a name and assigns one to a new name.
func (n *nameNumbers) numberOf(name string) int {
	i := slices.Index(n.names, name)
	if i < 0 && len(n.names) < maxNames {
		i = len(n.names)
		n.names = append(slices.Clone(n.names), name)
	}
	if i < 0 {
		return maxNames
	}
	return i
}
