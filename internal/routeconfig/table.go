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

// Table is the configuration of one version. It is immutable and safe for concurrent use.
type Table struct {
	Version uint64
	Digest  uint64 // of the keys and the JSON of all items, independent of their order

	items            map[string]*protocol.ConfigItem // by key, including tombstones
	lastPosition     uint64                          // highest position assigned to an item
	tombstoneHorizon uint64                          // highest version of dropped tombstones

	// The fields below are derived from the items.
	routes map[string]*Route   // by name
	hosts  map[string][]*Route // by lower-case host, longest prefix first
	limits Limits
}

// Empty returns the table before the first configuration: version 0, without items.
func Empty() *Table { return newTable(0, 0, nil) }

// newTable returns the table of the given items, which may include tombstones.
func newTable(version, lastPosition uint64, items map[string]*protocol.ConfigItem) *Table {
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

// addRoute adds a route to the derived maps. Only newTable calls it, as a Table is immutable.
func (t *Table) addRoute(r *Route) {
	t.routes[r.Name] = r
	host := strings.ToLower(r.Host)
	t.hosts[host] = append(t.hosts[host], r)
}

// isTombstone reports whether an item has no JSON: it was removed or, if it is nil, never set.
func isTombstone(item *protocol.ConfigItem) bool { return len(item.GetJson()) == 0 }

// itemDigest returns an item's contribution to the digest. The digest is the sum of these, so it
// does not depend on the order of the items.
func itemDigest(key string, item *protocol.ConfigItem) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(item.GetJson())
	return d.Sum64()
}

// Load returns the table of a stored record, which Record returned, and its items.
func Load(record *protocol.ConfigRecord, items map[string]*protocol.ConfigItem) *Table {
	t := newTable(record.GetVersion(), record.GetOrder(), items)
	t.tombstoneHorizon = record.GetHorizon()
	return t
}

// Record returns the state of the table that is stored besides the items and passed to Load.
func (t *Table) Record() *protocol.ConfigRecord {
	return &protocol.ConfigRecord{Version: t.Version, Order: t.lastPosition, Horizon: t.tombstoneHorizon}
}

// Route returns the route with a name, nil if there is none. The caller must not modify it.
func (t *Table) Route(name string) *Route { return t.routes[name] }

// Match returns the route with the longest prefix of the path among those of the host, which may
// include a port; nil if there is none. The caller must not modify it.
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

// Limits returns the configured bounds on client requests.
func (t *Table) Limits() Limits { return t.limits }

// maxTableBytes bounds the keys and the JSON of all items of a table, which are sent in one message to processes without
// a configuration. The body of a single update is always smaller.
const maxTableBytes = 24 << 20

// bytes returns the size of the keys and the JSON of all items.
func (t *Table) bytes() (size int) {
	for key, item := range t.items {
		size += len(key) + len(item.GetJson())
	}
	return size
}

// validate returns the reason why the table is not a valid configuration, nil if it is valid.
func (t *Table) validate() error {
	if size := t.bytes(); size > maxTableBytes {
		return invalidf("the configuration has %d bytes, %d are taken", size, maxTableBytes)
	}
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
