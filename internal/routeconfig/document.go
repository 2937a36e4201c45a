package routeconfig

import (
	"cmp"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fastjson"

	"frosttide/internal/jsonbody"
	"frosttide/internal/protocol"
)

// ErrInvalid marks every error that rejects a configuration as invalid.
var ErrInvalid = errors.New("invalid configuration")

// invalidf returns an error marked with ErrInvalid. Operators see its text.
func invalidf(format string, args ...any) error {
	return errors.Mark(errors.Newf("configuration: "+format, args...), ErrInvalid)
}

// Kind is the kind of an item. It is the prefix of the item's key, which is stored and sent to
// other processes.
type Kind string

// The kinds of items.
const (
	RouteKind   Kind = "route/"   // an entry of the list Routes
	ServiceKind Kind = "service/" // an entry of the list Services
	MemberKind  Kind = "member/"  // any other member, as one item
)

// The names of the members of a document and of a patch that this package interprets.
const (
	versionMember  = "Version"
	routesMember   = "Routes"
	servicesMember = "Services"
	upsertMember   = "Upsert"
	removeMember   = "Remove"
)

// listKinds maps the members of a document that are lists of named items to the kinds of these
// items.
var listKinds = map[string]Kind{routesMember: RouteKind, servicesMember: ServiceKind}

// documentItem is an item that a document or a patch sets.
type documentItem struct {
	key  string
	json []byte
}

// document is a parsed document or patch.
type document struct {
	version     uint64
	replacesAll bool // true for a document, false for a patch
	items       []documentItem
	removedKeys []string // only of a patch
}

// parse parses a document or a patch. Its errors are marked with ErrInvalid.
func parse(body []byte, patch bool) (*document, error) {
	value, err := jsonbody.Parse(body)
	if err != nil {
		return nil, invalidf("it can't be read: %v", err)
	}
	top, err := value.Object()
	if err != nil {
		return nil, invalidf("it is no object")
	}
	d := &document{replacesAll: !patch}
	versionValue := value.Get(versionMember)
	if versionValue == nil {
		return nil, invalidf("Version: it is missing")
	}
	if d.version, err = versionValue.Uint64(); err != nil {
		return nil, invalidf("Version: %v", err)
	}
	if patch {
		return d, d.parsePatch(value)
	}
	return d, d.parseMembers(top, versionMember)
}

// parsePatch parses the items that a patch sets and the keys that it removes.
func (d *document) parsePatch(value *fastjson.Value) error {
	if upsert := value.GetObject(upsertMember); upsert != nil {
		if err := d.parseMembers(upsert, ""); err != nil {
			return err
		}
	}
	remove := value.GetObject(removeMember)
	if remove == nil {
		return nil
	}
	var err error
	remove.Visit(func(name []byte, v *fastjson.Value) {
		kind, ok := listKinds[string(name)]
		if !ok || v.Type() != fastjson.TypeArray {
			err = invalidf("Remove.%s: it is no list of names", name)
			return
		}
		for _, n := range v.GetArray() {
			d.removedKeys = append(d.removedKeys, string(kind)+string(n.GetStringBytes()))
		}
	})
	return err
}

// parseMembers adds the items of all members but the one to skip.
func (d *document) parseMembers(members *fastjson.Object, skip string) (err error) {
	members.Visit(func(name []byte, v *fastjson.Value) {
		if err == nil && string(name) != skip {
			err = d.parseMember(string(name), v)
		}
	})
	return err
}

// parseMember adds the items of a list of named items; any other member is stored as one item.
func (d *document) parseMember(name string, v *fastjson.Value) error {
	kind, ok := listKinds[name]
	if !ok {
		d.addItem(MemberKind, name, v)
		return nil
	}
	entries, err := v.Array()
	if err != nil {
		return invalidf("%s: it is no list", name)
	}
	names := make(map[string]bool, len(entries))
	for _, entry := range entries {
		itemName := string(entry.GetStringBytes("Name"))
		if itemName == "" || names[itemName] {
			return invalidf("%s: name %q is missing or stands twice", name, itemName)
		}
		names[itemName] = true
		d.addItem(kind, itemName, entry)
	}
	return nil
}

// addItem adds an item in its serialized form.
func (d *document) addItem(kind Kind, name string, v *fastjson.Value) {
	d.items = append(d.items, documentItem{key: string(kind) + name, json: jsonbody.AppendValue(nil, v)})
}

// Document returns the whole configuration as a JSON document, which Apply accepts.
func (t *Table) Document() []byte {
	out := append([]byte(nil), `{"Version":`...)
	out = strconv.AppendUint(out, t.Version, 10)
	out = append(out, `,"Routes":`...)
	out = t.appendItems(out, RouteKind)
	out = append(out, `,"Services":`...)
	out = t.appendItems(out, ServiceKind)
	for _, key := range t.keys(MemberKind) {
		name, item := strings.TrimPrefix(key, string(MemberKind)), itemJSON(t.items[key])
		if item == nil || name == versionMember { // a patch can set an item of that name
			continue
		}
		out = append(out, ',')
		out = jsonbody.AppendString(out, name)
		out = append(out, ':')
		out = append(out, item...)
	}
	return append(out, '}')
}

// appendItems appends the items of a kind as a JSON array, by position.
func (t *Table) appendItems(out []byte, kind Kind) []byte {
	out = append(out, '[')
	first := true
	for _, key := range t.keys(kind) {
		item := itemJSON(t.items[key])
		if item == nil {
			continue
		}
		if !first {
			out = append(out, ',')
		}
		first = false
		out = append(out, item...)
	}
	return append(out, ']')
}

// itemJSON returns the JSON of an item. An earlier version of the program may have stored one that is
// no JSON because of its texts; these are written anew as far as they can be read, nil otherwise.
func itemJSON(item *protocol.ConfigItem) []byte {
	if utf8.Valid(item.GetJson()) && json.Valid(item.GetJson()) {
		return item.GetJson()
	}
	v, err := fastjson.ParseBytes(item.GetJson())
	if err != nil {
		return nil
	}
	if repaired := jsonbody.AppendValue(nil, v); json.Valid(repaired) {
		return repaired
	}
	return nil
}

// keys returns the keys of the items of a kind, sorted by position. Tombstones are excluded.
func (t *Table) keys(kind Kind) (keys []string) {
	for key, item := range t.items {
		if strings.HasPrefix(key, string(kind)) && !isTombstone(item) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b string) int {
		return cmp.Or(cmp.Compare(t.items[a].GetPosition(), t.items[b].GetPosition()), cmp.Compare(a, b))
	})
	return keys
}
