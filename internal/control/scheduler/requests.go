package scheduler

import (
	"encoding/binary"
	"fmt"
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"frosttide/internal/control/jobs"
	"frosttide/internal/control/store"
	"frosttide/internal/protocol"
	"frosttide/internal/routeconfig"
)

// The keys of the configuration's items.
const (
	configKey    = "c"  // protocol.ConfigRecord
	configPrefix = "c/" // protocol.ConfigItem
	orderPrefix  = "o/" // orders that were taken, by hash; protocol.ConfigRecord with the version they led to
)

// loadConfig returns the configuration of a store.
func loadConfig(s *store.Store) (*routeconfig.Table, error) {
	var record protocol.ConfigRecord
	if value, ok := s.Get(configKey); ok {
		if err := proto.Unmarshal(value, &record); err != nil {
			return nil, errors.Wrap(err, "scheduler: the stored configuration can't be read")
		}
	}
	items := make(map[string]*protocol.ConfigItem)
	var problem error
	s.Each(func(key string, value []byte) {
		if !strings.HasPrefix(key, configPrefix) {
			return
		}
		item := &protocol.ConfigItem{}
		problem = errors.CombineErrors(problem, proto.Unmarshal(value, item))
		items[strings.TrimPrefix(key, configPrefix)] = item
	})
	return routeconfig.Load(&record, items), errors.Wrap(problem, "scheduler: the stored configuration can't be read")
}

// LoadConfig returns the configuration of a store, for its readers.
func LoadConfig(s *store.Store) (*routeconfig.Table, error) { return loadConfig(s) }

// Request evaluates a client's request. Its answer comes from the tail once the entry that holds it is
// committed, even where nothing is written: so a head that is no longer one answers nothing. taken tells
// whether an order was taken before.
func (d *Scheduler) Request(from string, r *protocol.ClientRequest, taken func(key string) bool) {
	var status int
	var body string
	switch op := r.GetOp().(type) {
	case *protocol.ClientRequest_Submit:
		status, body = d.submit(op.Submit)
	case *protocol.ClientRequest_Cancel:
		status = d.cancel(op.Cancel)
	case *protocol.ClientRequest_Config:
		status, body = d.configure(op.Config, taken)
	default:
		status, body = http.StatusBadRequest, "unknown request"
	}
	d.replies = append(d.replies, &protocol.Reply{Address: from, Incarnation: r.GetIncarnation(), Reply: &protocol.ClientReply{
		Id: r.GetId(), Status: uint32(status), Body: []byte(body), ConfigVersion: d.config.Version}})
}

func (d *Scheduler) submit(s *protocol.Submit) (int, string) {
	if d.jobs.Get(s.GetId()) != nil {
		return http.StatusOK, "" // the same job came again
	}
	route := d.config.Route(s.GetQueue())
	if route == nil {
		return http.StatusNotFound, ""
	}
	if reason := jobs.Check(s); reason != "" {
		return http.StatusBadRequest, reason
	}
	d.jobs.Accept(s, route.Service, d.wallMs)
	return http.StatusOK, ""
}

func (d *Scheduler) cancel(c *protocol.Cancel) int {
	if !d.jobs.Cancel(c.GetId(), d.wallMs) {
		return http.StatusGone
	}
	return http.StatusOK
}

// configure evaluates an operator's order. One that was taken before is acknowledged again.
func (d *Scheduler) configure(c *protocol.ConfigOrder, taken func(key string) bool) (int, string) {
	key := orderPrefix + hashOf(c)
	if taken(key) || d.writes.Has(key) {
		return http.StatusOK, ""
	}
	if c.GetIfMatch() != d.config.Version {
		return http.StatusPreconditionFailed, fmt.Sprintf("the current version is %d", d.config.Version)
	}
	change, err := d.config.Apply(c.GetBody(), c.GetPatch())
	if err != nil {
		return http.StatusBadRequest, err.Error()
	}
	for name, item := range change.Items {
		d.put(configPrefix+name, item)
	}
	d.put(configKey, change.Table.Record())
	d.put(key, change.Table.Record())
	d.config = change.Table
	return http.StatusOK, ""
}

// hashOf names an order by all that it says.
func hashOf(c *protocol.ConfigOrder) string {
	d := xxhash.New()
	var fixed [9]byte
	binary.LittleEndian.PutUint64(fixed[:], c.GetIfMatch())
	if c.GetPatch() {
		fixed[8] = 1
	}
	_, _ = d.Write(fixed[:])
	_, _ = d.Write(c.GetBody())
	return fmt.Sprintf("%016x-%x", d.Sum64(), len(c.GetBody()))
}
