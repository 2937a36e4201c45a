package fakefleet

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// The states of a listed runner, as discovery names them.
const (
	serving  = "SERVING"
	draining = "DRAINING"
)

// idleInterval is how long a watch without a change waits before it says so with an empty line.
const idleInterval = 2 * time.Second

// listedRunner is an entry of discovery's list, in its JSON form.
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

// catalog is discovery: an HTTP handler for its list.
type catalog struct {
	log     logrus.FieldLogger
	mu      sync.Mutex // guards what follows
	rev     int        // revision of the list
	runners []listedRunner
	changed chan struct{} // closed at the next change
}

// toggleDraining moves a runner from serving to draining or back.
func (c *catalog) toggleDraining(i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &c.runners[i]
	if r.State == serving {
		r.State = draining
	} else {
		r.State = serving
	}
	c.log.WithFields(logrus.Fields{"target": r.UID, "state": r.State}).Info("List changed")
	c.rev++
	close(c.changed)
	c.changed = make(chan struct{})
}

// snapshot returns the list as a line of JSON, and a channel that is closed at its next change.
func (c *catalog) snapshot() ([]byte, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	text, err := json.Marshal(map[string]any{"rev": c.rev, "all": true, "targets": c.runners})
	if err != nil {
		c.log.WithError(err).Error("The list can't be encoded")
	}
	return append(text, '\n'), c.changed
}

// ServeHTTP answers with the list. A watch gets the list again at each change, and an empty line whenever there was
// none for idleInterval.
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
