package routeconfig

import (
	"cmp"
	"encoding/json"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fastjson"
)

// ErrInvalid marks every reason why a configuration is refused.
var ErrInvalid = errors.New("invalid configuration")

// invalidf returns an error for operators that says why a configuration is refused.
func invalidf(format string, args ...any) error {
	return errors.Mark(errors.Newf("configuration: "+format, args...), ErrInvalid)
}

// Kind is the list of a document that an item belongs to. It is the first part of the item's key, which is stored and
// sent.
type Kind string

// The kinds of items. Members of the document that are no lists of named items are kept in one piece each.
const (
	RouteKind   Kind = "route/"
	ServiceKind Kind = "service/"
	MemberKind  Kind = "member/"
)

// The members of a document and of a patch that have a meaning here.
const (
	versionMember  = "Version"
	routesMember   = "Routes"
	servicesMember = "Services"
	upsertMember   = "Upsert"
	removeMember   = "Remove"
)

// memberKinds are the kinds of the lists of named items, by the member's name.
var memberKinds = map[string]Kind{routesMember: RouteKind, servicesMember: ServiceKind}

// documentItem is an item that a document sets.
type documentItem struct {
	key  string
	json []byte
}

// document is an order of the operator as it was read.
type document struct {
	version     uint64
	full        bool // it replaces the whole configuration
	items       []documentItem
	removedKeys []string // of a patch
}

// parse reads a document or a patch. Its errors are marked with ErrInvalid.
func parse(body []byte, patch bool) (*document, error) {
	value, err := fastjson.ParseBytes(body)
	if err != nil {
		return nil, invalidf("it can't be read: %v", err)
	}
	if !json.Valid(body) { // fastjson does not check numbers and strings that nobody reads
		return nil, invalidf("it can't be read: a number or a text in it is none")
	}
	top, err := value.Object()
	if err != nil {
		return nil, invalidf("it is no object")
	}
	d := &document{full: !patch}
	number := value.Get(versionMember)
	if number == nil {
		return nil, invalidf("Version: it is missing")
	}
	if d.version, err = number.Uint64(); err != nil {
		return nil, invalidf("Version: %v", err)
	}
	if patch {
		return d, d.parsePatch(value)
	}
	return d, d.parseMembers(top, versionMember)
}

// parsePatch reads what a patch sets and removes.
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
		kind, ok := memberKinds[string(name)]
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

// parseMembers reads the members that are set, but for one.
func (d *document) parseMembers(members *fastjson.Object, except string) (err error) {
	members.Visit(func(name []byte, v *fastjson.Value) {
		if err == nil && string(name) != except {
			err = d.parseMember(string(name), v)
		}
	})
	return err
}

// parseMember reads a list of named items, or keeps another member as it is.
func (d *document) parseMember(name string, v *fastjson.Value) error {
	kind, ok := memberKinds[name]
	if !ok {
		var arena fastjson.Arena
		if !json.Valid(arena.NewString(name).MarshalTo(nil)) {
			return invalidf("%q: %v", name, errTextNotKept)
		}
		return d.addItem(MemberKind, name, v)
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
		if err := d.addItem(kind, itemName, entry); err != nil {
			return err
		}
	}
	return nil
}

// errTextNotKept is the reason for which an item is refused whose form would be no JSON: fastjson quotes texts with
// control characters as Go does, and so writes escapes that JSON does not have.
var errTextNotKept = errors.New("a text has characters that can't be kept")

// addItem adds an item in the form in which it is kept.
func (d *document) addItem(kind Kind, name string, v *fastjson.Value) error {
	text := v.MarshalTo(nil)
	if !json.Valid(text) {
		return invalidf("%q: %v", name, errTextNotKept)
	}
	d.items = append(d.items, documentItem{key: string(kind) + name, json: text})
	return nil
}

// Document returns the whole configuration as a document, which operators read and Apply takes.
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

// itemArray returns the items of a kind as a list.
func (t *Table) itemArray(arena *fastjson.Arena, kind Kind) *fastjson.Value {
	array := arena.NewArray()
	for i, key := range t.keys(kind) {
		if v, err := fastjson.ParseBytes(t.items[key].GetJson()); err == nil {
			array.SetArrayItem(i, v)
		}
	}
	return array
}

// keys returns the keys of a kind's items by position.
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
