package scheduler

import (
	"strings"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"frosttide/internal/protocol"
	"frosttide/internal/routeconfig"
)

// ConfigView follows the configuration in a store by the changes of its items, so that reading it costs nothing
// of the store's size. The zero value stands for an empty store.
type ConfigView struct {
	record []byte
	items  map[string][]byte
	table  *routeconfig.Table // nil where it has to be made anew
}

// Update notes a change of an item; after is nil where it is removed.
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

// Table returns the configuration.
func (v *ConfigView) Table() (*routeconfig.Table, error) {
	if v.table != nil {
		return v.table, nil
	}
	var record protocol.ConfigRecord
	problem := proto.Unmarshal(v.record, &record)
	items := make(map[string]*protocol.ConfigItem, len(v.items))
	for name, value := range v.items {
		item := &protocol.ConfigItem{}
		problem = errors.CombineErrors(problem, proto.Unmarshal(value, item))
		items[name] = item
	}
	if problem != nil {
		return nil, errors.Wrap(problem, "scheduler: the stored configuration can't be read")
	}
	v.table = routeconfig.Load(&record, items)
	return v.table, nil
}
