package main

import (
	"os"

	"frosttide/decision"
	"frosttide/internal/dispatcher/config"
	"frosttide/internal/dispatcher/ingress"
)

// reload rereads the configuration on each signal, also while the process drains, because open
// attempts may still need a worker. Signals in quick succession are coalesced into one reload,
// which reads the newest file. If the configuration is invalid, the previous one stays in force.
func (p *process) reload(src config.Source, signals <-chan os.Signal) {
	cfg := p.cfg
	for range signals {
		next, err := cfg.Reload(src)
		if err != nil {
			p.counts.Reloaded(false)
			p.log.WithError(err).Error("configuration not taken; the old one is kept")
			continue
		}
		p.log.WithField("discovery", next.Discovery).Info("configuration reread")
		next, waits := cfg.KeepStartOnly(next)
		if len(waits) > 0 {
			p.log.WithField("changed", waits).Warn("these changes wait for the next start")
		}
		p.applySettings(next)
		cfg = next
		p.counts.Reloaded(true) // after applySettings: the metric reports configurations in force
	}
}

// applySettings applies a configuration to the components. The core is updated before the front,
// because it must know the classes of all jobs that the front admits.
func (p *process) applySettings(cfg config.Config) {
	if p.stored != nil {
		p.stored.classes.Store(&cfg.Names.Classes)
	}
	if p.peers != nil {
		p.peers.applySettings(cfg)
	}
	p.core.ApplySettings(cfg.Module)
	p.counts.SetClasses(cfg.Names.Classes)
	p.front.SetClasses(ingressClasses(cfg))
	p.front.SetTenants(cfg.Names.Tenants)
	if p.gearman != nil {
		p.gearman.applySettings(cfg)
	}
	p.grace.Store(int64(shutdownGrace(cfg)))
	p.table.SetRules(cfg.Module.Rules.MaxRefreshInterval, cfg.Module.Rules.DrainGrace, cfg.Module.Instances)
	p.table.SetAddress(cfg.Discovery)
	if cfg.Discovery == "" {
		p.table.LoadFixed(cfg.KnownMembers)
	}
	configureLog(p.logger, cfg.Log)
	if !cfg.Telemetry.Equivalent(p.telemetry) {
		if err := p.exporter.Configure(cfg.Telemetry); err != nil {
			p.log.WithError(err).Error("telemetry settings rejected; the previous ones stay in force")
		} else {
			p.telemetry = cfg.Telemetry
		}
	}
}

// ingressClasses returns the ingress's view of the configured classes. The deduplication window of
// a keyed class is configured; for others it covers the client timeout and the longest
// Retry-After.
func ingressClasses(cfg config.Config) []ingress.Class {
	var classes []ingress.Class
	for i, class := range cfg.Module.Classes {
		window := class.ClientTimeout + cfg.Module.Limits.MaxRetryAfter
		if class.Effect == decision.Keyed {
			window = class.DedupWindow
		}
		classes = append(classes, ingress.Class{
			Name:        cfg.Names.Classes[i],
			Keyed:       class.Effect == decision.Keyed,
			Removed:     cfg.RemovedClasses[i],
			Value:       class.Value,
			DedupWindow: window,
		})
	}
	return classes
}
