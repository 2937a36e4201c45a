package routeconfig

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fastjson"

	"frosttide/internal/protocol"
)

// Route is a queue: where clients reach it and how its jobs are run.
type Route struct {
	Name, Host, PathPrefix string
	Service                string
	TimeoutMs              int64
	TargetLatencyMs        int64
	Priority               int
	MaxAttempts            int
	Stretch                float64
}

// Limits bounds what clients may send; 0 where the configuration says nothing.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes, HeaderTimeoutMs, IdleTimeoutMs int64
}

// Table is the configuration of one version. Changes make a new table, so that one may be shared.
type Table struct {
	Version          uint64
	Digest           uint64 // of all items, whatever their order
	lastPosition     uint64 // highest position given
	tombstoneHorizon uint64 // highest version of a removed item that is remembered no longer
	items            map[string]*protocol.ConfigItem
	routes           map[string]*Route
	hosts            map[string][]*Route // by host, longest prefix first
	limits           Limits
}

// Empty returns the table before the first configuration.
func Empty() *Table { return build(0, 0, nil) }

// build makes a table of items, among them removed ones.
func build(version, last uint64, items map[string]*protocol.ConfigItem) *Table {
	t := &Table{Version: version, lastPosition: last, items: items, routes: make(map[string]*Route), hosts: make(map[string][]*Route)}
	for key, item := range items {
		if len(item.GetJson()) == 0 {
			continue
		}
		t.Digest += itemDigest(key, item)
		switch {
		case strings.HasPrefix(key, string(RouteKind)):
			r := parseRoute(item.GetJson())
			t.routes[r.Name] = r
			t.hosts[strings.ToLower(r.Host)] = append(t.hosts[strings.ToLower(r.Host)], r)
		case key == string(MemberKind)+"Limits":
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

func itemDigest(key string, item *protocol.ConfigItem) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(item.GetJson())
	return d.Sum64()
}

func parseRoute(json []byte) *Route {
	v, err := fastjson.ParseBytes(json)
	if err != nil {
		return &Route{}
	}
	return &Route{
		Name: string(v.GetStringBytes("Name")), Host: string(v.GetStringBytes("Host")), PathPrefix: string(v.GetStringBytes("PathPrefix")),
		Service: string(v.GetStringBytes("Service")), TimeoutMs: v.GetInt64("TimeoutMs"), TargetLatencyMs: v.GetInt64("TargetLatencyMs"),
		Priority: v.GetInt("Priority"), MaxAttempts: max(v.GetInt("MaxAttempts"), 1), Stretch: v.GetFloat64("Stretch"),
	}
}

func parseLimits(json []byte) Limits {
	v, err := fastjson.ParseBytes(json)
	if err != nil {
		return Limits{}
	}
	return Limits{MaxHeaderBytes: v.GetInt64("MaxHeaderBytes"), MaxBodyBytes: v.GetInt64("MaxBodyBytes"),
		HeaderTimeoutMs: v.GetInt64("HeaderTimeoutMs"), IdleTimeoutMs: v.GetInt64("IdleTimeoutMs")}
}

// Route returns the route of a name, nil if there is none.
func (t *Table) Route(name string) *Route { return t.routes[name] }

// Match returns the route of a host with the longest prefix that a path begins with, nil if there is none.
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

// Change is what an order does to a table.
type Change struct {
	Table *Table
	Items map[string]*protocol.ConfigItem // set or removed, by key; nil where a removed one is forgotten
}

// Apply evaluates an order; it returns an error marked ErrInvalid where the result can't be.
func (t *Table) Apply(body []byte, patch bool) (*Change, error) {
	d, err := parse(body, patch)
	if err != nil {
		return nil, err
	}
	if d.version <= t.Version {
		return nil, invalidf("Version: %d is not above the current one, %d", d.version, t.Version)
	}
	last := t.lastPosition
	if d.full {
		last = 0 // positions are as in the document
	}
	c := &Change{Items: make(map[string]*protocol.ConfigItem)}
	for _, item := range d.items {
		position := t.items[item.key].GetPosition()
		if d.full || position == 0 || len(t.items[item.key].GetJson()) == 0 {
			last++
			position = last
		}
		c.Items[item.key] = &protocol.ConfigItem{Position: position, Version: d.version, Json: item.json}
	}
	for key, old := range t.items {
		if _, kept := c.Items[key]; d.full && !kept && len(old.GetJson()) > 0 {
			d.removedKeys = append(d.removedKeys, key)
		}
	}
	for _, key := range d.removedKeys {
		if _, set := c.Items[key]; !set && len(t.items[key].GetJson()) > 0 {
			c.Items[key] = &protocol.ConfigItem{Version: d.version}
		}
	}
	horizon := t.pruneTombstones(c.Items)
	c.Table = t.withItems(d.version, last, c.Items)
	c.Table.tombstoneHorizon = horizon
	return c, c.Table.validate()
}

// maxTombstones bounds the removed items that are remembered, for those who follow from an older version. Who is
// older still gets the whole.
const maxTombstones = 1024

// pruneTombstones has a change drop the removed items that are too many, the oldest first, and returns the highest
// version of those that were ever dropped.
func (t *Table) pruneTombstones(changed map[string]*protocol.ConfigItem) (horizon uint64) {
	horizon = t.tombstoneHorizon
	var removed []string
	versionOf := func(key string) uint64 {
		if item, ok := changed[key]; ok {
			return item.GetVersion()
		}
		return t.items[key].GetVersion()
	}
	for key, item := range t.items {
		if _, again := changed[key]; !again && len(item.GetJson()) == 0 {
			removed = append(removed, key)
		}
	}
	for key, item := range changed {
		if len(item.GetJson()) == 0 {
			removed = append(removed, key)
		}
	}
	if len(removed) <= maxTombstones {
		return horizon
	}
	slices.SortFunc(removed, func(a, b string) int { return cmp.Or(cmp.Compare(versionOf(a), versionOf(b)), cmp.Compare(a, b)) })
	for _, key := range removed[:len(removed)-maxTombstones] {
		horizon = max(horizon, versionOf(key))
		changed[key] = nil
	}
	return horizon
}

// withItems returns the table with some items set or removed.
func (t *Table) withItems(version, last uint64, changed map[string]*protocol.ConfigItem) *Table {
	items := make(map[string]*protocol.ConfigItem, len(t.items)+len(changed))
	for key, item := range t.items {
		items[key] = item
	}
	for key, item := range changed {
		if item == nil {
			delete(items, key)
			continue
		}
		items[key] = item
	}
	next := build(version, last, items)
	next.tombstoneHorizon = t.tombstoneHorizon
	return next
}

// validate tells why a configuration can't be in force.
func (t *Table) validate() error {
	routesByLocation := make(map[string]string, len(t.routes))
	for name, r := range t.routes {
		if len(t.items[string(ServiceKind)+r.Service].GetJson()) == 0 {
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

// Document returns the whole configuration as the operator reads it.
func (t *Table) Document() []byte {
	var arena fastjson.Arena
	top := arena.NewObject()
	top.Set(versionMember, arena.NewNumberString(strconv.FormatUint(t.Version, 10)))
	top.Set(routesMember, t.itemArray(&arena, RouteKind))
	top.Set(servicesMember, t.itemArray(&arena, ServiceKind))
	for _, key := range t.keys(MemberKind) {
		if v, err := fastjson.ParseBytes(t.items[key].GetJson()); err == nil {
			top.Set(strings.TrimPrefix(key, string(MemberKind)), v)
		}
	}
	return top.MarshalTo(nil)
}

func (t *Table) itemArray(arena *fastjson.Arena, kind Kind) *fastjson.Value {
	list := arena.NewArray()
	for i, key := range t.keys(kind) {
		if v, err := fastjson.ParseBytes(t.items[key].GetJson()); err == nil {
			list.SetArrayItem(i, v)
		}
	}
	return list
}

// keys returns the keys of a kind by position.
func (t *Table) keys(kind Kind) (keys []string) {
	for key, item := range t.items {
		if strings.HasPrefix(key, string(kind)) && len(item.GetJson()) > 0 {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b string) int {
		return cmp.Or(cmp.Compare(t.items[a].GetPosition(), t.items[b].GetPosition()), cmp.Compare(a, b))
	})
	return keys
}

// DeltaSince returns what makes a table of an older version, with its digest, the present one, and whether
// that is less than the whole. Removed items are kept for it.
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

// ApplyDelta returns the table after a delta, and false where the delta does not lead to the version that it
// says: then the whole has to be asked for.
func (t *Table) ApplyDelta(delta *protocol.ConfigDelta) (*Table, bool) {
	if delta.GetVersion() <= t.Version || delta.GetFrom() > t.Version {
		return t, delta.GetVersion() <= t.Version
	}
	base := t
	if delta.GetFrom() == 0 {
		base = Empty()
	}
	changed := make(map[string]*protocol.ConfigItem, len(delta.GetItems()))
	last := base.lastPosition
	for _, n := range delta.GetItems() {
		changed[n.GetKey()] = n.GetItem()
		last = max(last, n.GetItem().GetPosition())
	}
	next := base.withItems(delta.GetVersion(), last, changed)
	return next, next.Digest == delta.GetDigest()
}

// Load returns the table of stored items.
func Load(record *protocol.ConfigRecord, items map[string]*protocol.ConfigItem) *Table {
	t := build(record.GetVersion(), record.GetOrder(), items)
	t.tombstoneHorizon = record.GetHorizon()
	return t
}

// Record returns what is stored beside the items.
func (t *Table) Record() *protocol.ConfigRecord {
	return &protocol.ConfigRecord{Version: t.Version, Order: t.lastPosition, Horizon: t.tombstoneHorizon}
}
