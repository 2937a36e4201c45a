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

// errInvalidEntry is wrapped by the error of an entry that is no JSON object of the right form, or has no uid.
var errInvalidEntry = errors.New("entry can't be read")

// entry is one runner in discovery's JSON form.
type entry struct {
	UID         string  `json:"uid"`
	Endpoint    string  `json:"endpoint"`
	Zone        string  `json:"az"`
	Kind        string  `json:"model"`
	Cell        int     `json:"pod_group"`
	State       string  `json:"state"`
	Weight      float64 `json:"capacity_hint"`
	StartedAtMs int64   `json:"boot_ms"` // since 1970
}

// Parse reads an entry. It may be called before Run only, as it numbers names that are new.
func (t *Table) Parse(text []byte) (core.Route, error) { return t.parseEntry(text) }

func (t *Table) parseEntry(text []byte) (core.Route, error) {
	var e entry
	if err := json.Unmarshal(text, &e); err != nil {
		return core.Route{}, errors.Join(errInvalidEntry, err)
	}
	return e.route(&t.zones, &t.kinds)
}

// route returns the entry as the core takes it. An entry of a removed runner may lack the endpoint.
func (e *entry) route(zones, kinds *numbering) (core.Route, error) {
	if e.UID == "" {
		return core.Route{}, fmt.Errorf("%w: it has no uid", errInvalidEntry)
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
	m.Zone, m.Kind = zones.number(e.Zone), kinds.number(e.Kind)
	return core.Route{UID: e.UID, Addr: e.Endpoint, ZoneName: e.Zone, Member: m}, nil
}

// compact returns an entry without white space, so that the stored list, the hand-over and the copies of other
// members, which compare texts, do not take two layouts of one entry for a change.
func compact(text json.RawMessage) json.RawMessage {
	var out bytes.Buffer
	if json.Compact(&out, text) != nil { // impossible: the text has been read as JSON
		return text
	}
	return out.Bytes()
}

// isRemoved reports whether a route is of a runner that has left the list.
func isRemoved(r core.Route) bool { return r.State == decision.Removed }

// numbering maps names of zones or kinds to the numbers that package decision uses: the names of the settings
// first, in their order, then those that discovery adds.
type numbering struct{ names []string }

// maxNames bounds the names of a numbering; all names past it share the number maxNames.
const maxNames = 256

func (n *numbering) number(name string) int {
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
