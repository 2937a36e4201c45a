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

// ConfigView tracks the configuration in a store through the changes of its items, so that reading the configuration
// often does not require iterating over the store. The zero value represents an empty store. It is not safe for
// concurrent use.
type ConfigView struct {
	record []byte
	items  map[string][]byte
	table  *routeconfig.Table // decoded configuration, nil if an item has changed since
}

// Update applies the change of an item of the store; value is nil if the item was removed. Items that are not part of
// the configuration are ignored.
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

// Table returns the configuration, or an error if an item can't be decoded.
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
		return nil, errors.Wrap(err, "scheduler: decode the stored configuration")
	}
	v.table = routeconfig.Load(&record, items)
	return v.table, nil
}

// LoadConfig returns the configuration that a store holds, or an error if an item can't be decoded.
func LoadConfig(state *store.Store) (*routeconfig.Table, error) {
	var v ConfigView
	state.ForEach(v.Update)
	return v.Table()
}
