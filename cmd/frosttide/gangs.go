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

// gangStatusTimeout bounds a question to the watcher of gangs. Operators wait for 1 s.
const gangStatusTimeout = 800 * time.Millisecond

// watchGangs makes the watcher of gangs, for this dispatcher alone or with the other
// members. It returns nil where the settings don't have it, and must be called before
// the core runs.
func watchGangs(cfg config.Config, c *core.Core, p *peers, log *logrus.Entry) *gangdesk.Watcher {
	if !cfg.Gang.Enabled {
		return nil
	}
	checkInterval := cfg.Gang.ReportInterval / 2
	if checkInterval <= 0 {
		checkInterval = time.Second
	}
	watcher := gangdesk.New(gangdesk.Config{
		ReportInterval: cfg.Gang.ReportInterval,
		CheckInterval:  checkInterval,
		CopiesAllowed:  cfg.Gang.Speculative,
		Now:            p.clusterTime,
		Publish:        p.shareGangFact,
	}, c, log)
	c.SetGangObserver(watcher)
	if p != nil {
		p.gangWatcher = watcher
	}
	return watcher
}

// runGangWatcher runs the watcher, nil for none, until the context ends.
func runGangWatcher(ctx context.Context, watcher *gangdesk.Watcher) {
	if watcher != nil {
		go watcher.Run(ctx)
	}
}

// gangHandler answers operators' calls about gangs. The watcher may be nil.
func gangHandler(watcher *gangdesk.Watcher) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if watcher == nil {
			http.Error(w, "gangs are watched where [gang] has enabled = true", http.StatusServiceUnavailable)
			return
		}
		ctx, cancel := context.WithDeadline(r.Context(), time.Now().Add(gangStatusTimeout))
		defer cancel()
		status, ok := watcher.Status(ctx)
		if !ok {
			http.Error(w, "not done, try again", http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(status) // a caller that has left needs no error
	})
}

// shareGangFact shares a fact about a part of a gang with the other members. It may be
// called on nil.
func (p *peers) shareGangFact(name string, fact []byte) {
	if p == nil {
		return
	}
	if m := p.currentMember(); m != nil {
		m.PublishGang(name, fact)
	}
}

// HearGang implements cluster.Dispatcher: it takes a fact of another member about a
// part of a gang.
func (p *peers) ApplyGang(fact []byte) {
	if p.gangWatcher != nil {
		p.gangWatcher.AddFact(fact)
	}
}
