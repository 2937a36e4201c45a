package scheduler

import (
	"fmt"
	"net/http"

	"frosttide/internal/control/jobs"
	"frosttide/internal/control/store"
	"frosttide/internal/protocol"
	"frosttide/internal/routeconfig"
)

// The keys of the configuration's items.
const (
	configKey    = "c"  // protocol.ConfigRecord
	configPrefix = "c/" // protocol.ConfigItem
)

// loadConfig returns the configuration of a store.
func loadConfig(s *store.Store) (*routeconfig.Table, error) {
	var v ConfigView
	s.Each(func(key string, value []byte) { v.Change(key, value) })
	return v.Table()
}

// LoadConfig returns the configuration of a store, for its readers.
func LoadConfig(s *store.Store) (*routeconfig.Table, error) { return loadConfig(s) }

// Request evaluates a client's request. Its answer comes from the tail once the entry that holds it is
// committed, even where nothing is written: so a head that is no longer one answers nothing.
func (d *Scheduler) Request(from string, r *protocol.ClientRequest) {
	var status int
	var body string
	switch op := r.GetOp().(type) {
	case *protocol.ClientRequest_Submit:
		status, body = d.submit(op.Submit)
	case *protocol.ClientRequest_Cancel:
		status = d.cancel(op.Cancel)
	case *protocol.ClientRequest_Config:
		status, body = d.configure(op.Config)
	default:
		status, body = http.StatusBadRequest, "unknown request"
	}
	d.replies = append(d.replies, &protocol.Reply{Address: from, Incarnation: r.GetIncarnation(), Reply: &protocol.ClientReply{
		Id: r.GetId(), Status: uint32(status), Body: []byte(body), ConfigVersion: d.config.Version}})
}

func (d *Scheduler) submit(s *protocol.Submit) (int, string) {
	if j := d.jobs.Get(s.GetId()); j != nil {
		return d.submitAgain(j, s)
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

// submitAgain answers a job whose ID is known: it is the same job come again, or another one, which would never run.
func (d *Scheduler) submitAgain(j *jobs.Job, s *protocol.Submit) (int, string) {
	switch {
	case !d.mayAsk(j, s.GetQueue()):
		return http.StatusConflict, "a job of another queue has this ID"
	case !j.SameContent(s):
		return http.StatusConflict, "a job with this ID and other content was accepted before"
	default:
		return http.StatusOK, ""
	}
}

// mayAsk tells whether a job may be asked for by way of a queue: its own one or, where that is no longer
// configured, the one that has its place now. An operator names none.
func (d *Scheduler) mayAsk(j *jobs.Job, queue string) bool {
	return queue == "" || queue == j.Queue || d.config.Route(j.Queue) == nil
}

func (d *Scheduler) cancel(c *protocol.Cancel) int {
	if j := d.jobs.Get(c.GetId()); j != nil && !d.mayAsk(j, c.GetQueue()) {
		return http.StatusGone
	}
	if !d.jobs.Cancel(c.GetId(), d.wallMs) {
		return http.StatusGone
	}
	return http.StatusOK
}

// configure evaluates an operator's order. One that was taken before is acknowledged again; one so old that this
// is not known any more gets no clear answer.
func (d *Scheduler) configure(c *protocol.ConfigOrder) (int, string) {
	name := nameOf(c)
	if d.orders.has(name) {
		return http.StatusOK, ""
	}
	if d.orders.mayHaveForgotten(c.GetIfMatch()) {
		return http.StatusServiceUnavailable, fmt.Sprintf("If-Match: an order on version %d may have been taken long ago; the current version is %d", c.GetIfMatch(), d.config.Version)
	}
	if c.GetIfMatch() != d.config.Version {
		return http.StatusPreconditionFailed, fmt.Sprintf("the current version is %d", d.config.Version)
	}
	change, err := d.config.Apply(c.GetBody(), c.GetPatch())
	if err != nil {
		return http.StatusBadRequest, err.Error()
	}
	for name, item := range change.Items {
		if item == nil {
			d.writes.Delete(configPrefix + name)
			continue
		}
		d.put(configPrefix+name, item)
	}
	d.put(configKey, change.Table.Record())
	d.orders.note(name, change.Table.Record(), d.writes)
	d.config = change.Table
	return http.StatusOK, ""
}
