package main

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"frosttide/internal/dispatcher/config"
	"frosttide/internal/dispatcher/core"
	gangwatcher "frosttide/internal/dispatcher/fleet/gang/watcher"
)

// gangStatusTimeout bounds a status query to the gang watcher. Operators' calls time out after 1 s.
const gangStatusTimeout = 800 * time.Millisecond

// watchGangs creates the gang watcher, which shares facts with the other members if there is a
// cluster. It returns nil if the settings disable it. It must be called before the core runs.
func watchGangs(cfg config.Config, c *core.Core, p *peers, log *logrus.Entry) *gangwatcher.Watcher {
	if !cfg.Gang.Enabled {
		return nil
	}
	checkInterval := cfg.Gang.ReportInterval / 2
	if checkInterval <= 0 {
		checkInterval = time.Second
	}
	watcher := gangwatcher.New(gangwatcher.Config{
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

// runGangWatcher runs the watcher in a goroutine until the context ends. The watcher may be nil.
func runGangWatcher(ctx context.Context, watcher *gangwatcher.Watcher) {
	if watcher != nil {
		go watcher.Run(ctx)
	}
}

// gangHandler returns the handler of the console's gang status. The watcher may be nil.
func gangHandler(watcher *gangwatcher.Watcher) http.Handler {
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
		_ = json.NewEncoder(w).Encode(status) // fails only if the caller has disconnected
	})
}

// shareGangFact publishes a fact about a part of a gang to the other members. It may be called on
// nil.
func (p *peers) shareGangFact(name string, fact []byte) {
	if p == nil {
		return
	}
	if m := p.currentMember(); m != nil {
		m.PublishGang(name, fact)
	}
}

// ApplyGang implements cluster.Dispatcher: it passes another member's fact about a part of a gang
// to the watcher.
func (p *peers) ApplyGang(fact []byte) {
	if p.gangWatcher != nil {
		p.gangWatcher.AddFact(fact)
	}
}
