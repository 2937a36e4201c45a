package fakefleet

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// The states of a listed runner in the protocol of discovery.
const (
	serving  = "SERVING"
	draining = "DRAINING"
)

// idleInterval is the time after which a watch without a change sends an empty line as a
// keep-alive.
const idleInterval = 2 * time.Second

// listedRunner is the JSON form of an entry in the list of runners.
type listedRunner struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Kind     string  `json:"model"`
	Cell     int     `json:"pod_group"`
	State    string  `json:"state"`
	Weight   float64 `json:"capacity_hint"`
	Boot     int64   `json:"boot_ms"`
}

// catalog is the HTTP handler of the fake discovery service, which serves the list of runners.
type catalog struct {
	log     logrus.FieldLogger
	mu      sync.Mutex // guards the fields below
	rev     int        // revision of the list
	runners []listedRunner
	changed chan struct{} // closed at the next change
}

// toggleDraining switches a runner between serving and draining and notifies all watches.
func (c *catalog) toggleDraining(i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &c.runners[i]
	if r.State == serving {
		r.State = draining
	} else {
		r.State = serving
	}
	c.log.WithFields(logrus.Fields{"target": r.UID, "state": r.State}).Info("State of a listed runner changed")
	c.rev++
	close(c.changed)
	c.changed = make(chan struct{})
}

// snapshot returns the list as a line of JSON, and a channel that is closed when the list changes
// next.
func (c *catalog) snapshot() ([]byte, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	text, err := json.Marshal(map[string]any{"rev": c.rev, "all": true, "targets": c.runners})
	if err != nil {
		c.log.WithError(err).Error("Encoding the list of runners failed")
	}
	return append(text, '\n'), c.changed
}

// ServeHTTP responds with the list. With watch=1 in the query the response goes on: it gets the
// list again at each change, and an empty line whenever there was no change for idleInterval.
func (c *catalog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/catalog/members" {
		http.NotFound(w, r)
		return
	}
	text, changed := c.snapshot()
	w.Write(text)
	for r.URL.Query().Get("watch") == "1" {
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		select {
		case <-changed:
			text, changed = c.snapshot()
			w.Write(text)
		case <-time.After(idleInterval):
			io.WriteString(w, "\n")
		case <-r.Context().Done():
			return
		}
	}
}
