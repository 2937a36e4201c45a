package scheduler

import (
	"strings"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"frosttide/internal/control/store"
	"frosttide/internal/protocol"
	"frosttide/internal/routeconfig"
)

// The keys of the configuration's items in the store.
const (
	configKey    = "c"  // protocol.ConfigRecord
	configPrefix = "c/" // protocol.ConfigItem
)

// ConfigView follows the configuration in a store by the changes of its items, so that a member that reads it often
// does not have to walk the store. The zero value stands for an empty store. It is not safe for concurrent use.
type ConfigView struct {
	record []byte
	items  map[string][]byte
	table  *routeconfig.Table // nil where an item has changed since it was decoded
}

// Update takes over a change of an item of the store; value is nil where the item is removed. Items of other kinds are
// ignored.
func (v *ConfigView) Update(key string, value []byte) {
	name, isItem := strings.CutPrefix(key, configPrefix)
	switch {
	case key == configKey:
		v.record = value
	case !isItem:
		return
	case value == nil:
		delete(v.items, name)
	default:
		if v.items == nil {
			v.items = make(map[string][]byte)
		}
		v.items[name] = value
	}
	v.table = nil
}

// Table returns the configuration, and an error where an item can't be decoded.
func (v *ConfigView) Table() (*routeconfig.Table, error) {
	if v.table != nil {
		return v.table, nil
	}
	var record protocol.ConfigRecord
	err := proto.Unmarshal(v.record, &record)
	items := make(map[string]*protocol.ConfigItem, len(v.items))
	for name, value := range v.items {
		item := &protocol.ConfigItem{}
		err = errors.CombineErrors(err, proto.Unmarshal(value, item))
		items[name] = item
	}
	if err != nil {
		return nil, errors.Wrap(err, "scheduler: the stored configuration can't be read")
	}
	v.table = routeconfig.Load(&record, items)
	return v.table, nil
}

// LoadConfig returns the configuration that a store holds, and an error where an item can't be decoded.
func LoadConfig(state *store.Store) (*routeconfig.Table, error) {
	var v ConfigView
	state.ForEach(v.Update)
	return v.Table()
}
