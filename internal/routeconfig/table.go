package routeconfig

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"frosttide/internal/protocol"
)

// limitsKey is the key of the item that holds the limits.
const limitsKey = string(MemberKind) + "Limits"

// Table is the configuration of one version. It is never changed once it is made, and safe for concurrent use.
type Table struct {
	Version uint64
	Digest  uint64 // of the keys and the JSON of all items, in whatever order

	items            map[string]*protocol.ConfigItem // by key, tombstones (without JSON) included
	lastPosition     uint64                          // highest position that an item has been given
	tombstoneHorizon uint64                          // highest version of a tombstone that was dropped

	// Derived from the items.
	routes map[string]*Route   // by name
	hosts  map[string][]*Route // by host in lower case, longest prefix first
	limits Limits
}

// Empty returns the table before the first configuration: version 0, without items.
func Empty() *Table { return build(0, 0, nil) }

// build makes the table of some items, tombstones included.
func build(version, lastPosition uint64, items map[string]*protocol.ConfigItem) *Table {
	t := &Table{Version: version, lastPosition: lastPosition, items: items, routes: make(map[string]*Route), hosts: make(map[string][]*Route)}
	for key, item := range items {
		if isTombstone(item) {
			continue
		}
		t.Digest += itemDigest(key, item)
		switch {
		case strings.HasPrefix(key, string(RouteKind)):
			t.addRoute(parseRoute(item.GetJson()))
		case key == limitsKey:
			t.limits = parseLimits(item.GetJson())
		}
	}
	for _, routes := range t.hosts {
		slices.SortFunc(routes, func(a, b *Route) int {
			return cmp.Or(cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)), cmp.Compare(a.Name, b.Name))
		})
	}
	return t
}

// addRoute adds a route to the derived tables. Only build calls it, as a Table does not change later.
func (t *Table) addRoute(r *Route) {
	t.routes[r.Name] = r
	host := strings.ToLower(r.Host)
	t.hosts[host] = append(t.hosts[host], r)
}

// isTombstone reports whether an item, which may be nil, stands for one that was removed or never set.
func isTombstone(item *protocol.ConfigItem) bool { return len(item.GetJson()) == 0 }

// itemDigest returns what an item adds to the digest. Sums of it do not depend on the order of the items.
func itemDigest(key string, item *protocol.ConfigItem) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(item.GetJson())
	return d.Sum64()
}

// Load returns the table of a stored record and its items.
func Load(record *protocol.ConfigRecord, items map[string]*protocol.ConfigItem) *Table {
	t := build(record.GetVersion(), record.GetOrder(), items)
	t.tombstoneHorizon = record.GetHorizon()
	return t
}

// Record returns what is stored beside the items; Load takes it.
func (t *Table) Record() *protocol.ConfigRecord {
	return &protocol.ConfigRecord{Version: t.Version, Order: t.lastPosition, Horizon: t.tombstoneHorizon}
}

// Route returns the route of a name, nil if there is none. The caller does not change it.
func (t *Table) Route(name string) *Route { return t.routes[name] }

// Match returns the route of a host, with or without a port, that has the longest prefix which the path begins with,
// nil if there is none. The caller does not change it.
func (t *Table) Match(host, path string) *Route {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Limits returns the bounds on what clients may send.
func (t *Table) Limits() Limits { return t.limits }

// validate returns the reason why the table is not a valid configuration, nil if it is one.
func (t *Table) validate() error {
	routesByLocation := make(map[string]string, len(t.routes))
	for name, r := range t.routes {
		if isTombstone(t.items[string(ServiceKind)+r.Service]) {
			return invalidf("route %q: there is no service %q", name, r.Service)
		}
		if r.TimeoutMs <= 0 {
			return invalidf("route %q: TimeoutMs is not above 0", name)
		}
		if !strings.HasPrefix(r.PathPrefix, "/") {
			return invalidf("route %q: PathPrefix does not begin with a slash", name)
		}
		location := strings.ToLower(r.Host) + r.PathPrefix
		if other, taken := routesByLocation[location]; taken {
			return invalidf("routes %q and %q have the same host and prefix", name, other)
		}
		routesByLocation[location] = name
	}
	return nil
}
