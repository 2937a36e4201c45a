// Package routeconfig is the operator's configuration: a table of items (routes, services and other
// members) that whole documents and patches change, with the checks that a change has to pass. Both
// planes hold one: the control plane evaluates orders on it, the data plane follows its versions.
package routeconfig

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fastjson"
)

// ErrInvalid marks every reason why a configuration is refused.
var ErrInvalid = errors.New("invalid configuration")

// Kind is the list of a document that an item stands in; it is the first part of the item's key.
type Kind string

// The kinds of items. Members of the document that are no lists of named items are kept whole.
const (
	RouteKind   Kind = "route/"
	ServiceKind Kind = "service/"
	MemberKind  Kind = "member/"
)

const (
	routesMember   = "Routes"
	servicesMember = "Services"
	versionMember  = "Version"
)

// memberKinds are the lists of named items, by their member's name.
var memberKinds = map[string]Kind{routesMember: RouteKind, servicesMember: ServiceKind}

// namedItem is an item of a document.
type namedItem struct {
	key  string
	json []byte
}

// document is a whole configuration or a patch.
type document struct {
	version     uint64
	full        bool
	items       []namedItem
	removedKeys []string
}

// invalidf returns an error that says why a configuration is refused.
func invalidf(format string, args ...any) error {
	return errors.Mark(errors.Newf("configuration: "+format, args...), ErrInvalid)
}

// parse reads a whole configuration or a patch.
func parse(body []byte, patch bool) (*document, error) {
	value, err := fastjson.ParseBytes(body)
	if err != nil {
		return nil, invalidf("it can't be read: %v", err)
	}
	if !json.Valid(body) { // fastjson does not look into numbers and texts that nobody asks for
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
	top.Visit(func(name []byte, v *fastjson.Value) {
		if err == nil && string(name) != versionMember {
			err = d.parseMember(string(name), v)
		}
	})
	return d, err
}

// parsePatch reads what a patch sets and removes.
func (d *document) parsePatch(value *fastjson.Value) (err error) {
	if upsert := value.GetObject("Upsert"); upsert != nil {
		upsert.Visit(func(name []byte, v *fastjson.Value) {
			if err == nil {
				err = d.parseMember(string(name), v)
			}
		})
	}
	if err != nil {
		return err
	}
	remove := value.GetObject("Remove")
	if remove == nil {
		return nil
	}
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

// parseMember reads a list of named items, or keeps another member as it is.
func (d *document) parseMember(name string, v *fastjson.Value) error {
	kind, ok := memberKinds[name]
	if !ok {
		d.items = append(d.items, namedItem{key: string(MemberKind) + name, json: v.MarshalTo(nil)})
		return nil
	}
	list, err := v.Array()
	if err != nil {
		return invalidf("%s: it is no list", name)
	}
	names := make(map[string]bool, len(list))
	for _, entry := range list {
		itemName := string(entry.GetStringBytes("Name"))
		if itemName == "" || names[itemName] {
			return invalidf("%s: name %q is missing or stands twice", name, itemName)
		}
		names[itemName] = true
		d.items = append(d.items, namedItem{key: string(kind) + itemName, json: entry.MarshalTo(nil)})
	}
	return nil
}
