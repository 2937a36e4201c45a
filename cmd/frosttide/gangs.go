package main

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"frosttide/internal/dispatcher/config"
	"frosttide/internal/dispatcher/core"
	gangdesk "frosttide/internal/dispatcher/fleet/gang/watcher"
)

// watchGangs has the parts of gangs watched, by this dispatcher alone or with the others; nil
// where the settings don't say so. It is called before the core runs.
func watchGangs(cfg config.Config, c *core.Core, o *peers, log *logrus.Entry) *gangdesk.Desk {
	if !cfg.Gang.Enabled {
		return nil
	}
	look := cfg.Gang.ReportInterval / 2
	if look <= 0 {
		look = time.Second
	}
	d := gangdesk.New(gangdesk.Config{Every: cfg.Gang.ReportInterval, Look: look, Copies: cfg.Gang.Speculative, Now: o.clusterTime, Tell: o.shareGangFact}, c, log)
	c.SetGangObserver(d)
	if o != nil {
		o.gangWatcher = d
	}
	return d
}

// gangHandler answers operators about gangs.
func gangHandler(d *gangdesk.Desk) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d == nil {
			http.Error(w, "gangs are watched where [gang] has enabled = true", http.StatusServiceUnavailable)
			return
		}
		ctx, cancel := context.WithDeadline(r.Context(), time.Now().Add(gangStatusTimeout))
		defer cancel()
		s, ok := d.Status(ctx)
		if !ok {
			http.Error(w, "not done, try again", http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s) // a caller that has left hears nothing
	})
}

// gangStatusTimeout bounds a question to the watcher: whoever makes a call waits for a second.
const gangStatusTimeout = 800 * time.Millisecond

// shareGangFact makes known to the other members how a part does.
func (o *peers) shareGangFact(name string, fact []byte) {
	if o == nil {
		return
	}
	if m := o.currentMember(); m != nil {
		m.TellGang(name, fact)
	}
}

// HearGang brings what another member tells of a part.
func (o *peers) HearGang(told []byte) {
	if o.gangWatcher != nil {
		o.gangWatcher.Hear(told)
	}
}

// runGangWatcher has them watched until the context ends.
func runGangWatcher(ctx context.Context, d *gangdesk.Desk) {
	if d != nil {
		go d.Run(ctx)
	}
}
