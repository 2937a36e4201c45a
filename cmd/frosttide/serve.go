package main

import (
	"context"
	"net"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"frosttide/internal/dispatcher/config"
	"frosttide/internal/dispatcher/egress"
	"frosttide/internal/dispatcher/handover"
	"frosttide/internal/dispatcher/settings"
)

// dialRunner opens connections to workers; nil selects net.Dialer. Tests replace it to make
// dialing fail or block.
var dialRunner egress.Dial

// openListener opens the listener for clients. Tests replace it to make connections fail.
var openListener = net.Listen

// serve runs a dispatcher until a signal stops it. On failure it logs the error and returns
// errReported.
func serve(s signals, src config.Source) error {
	logger := logrus.New()
	configureLog(logger, settings.Log{Level: "info", Format: "text"})
	cfg, err := config.Load(src)
	if err == nil {
		configureLog(logger, cfg.Log)
		err = run(logger, cfg, src, s)
	} else {
		err = errors.Wrap(err, "configuration")
	}
	if err == nil {
		return nil
	}
	for line := range strings.SplitSeq(err.Error(), "\n") { // one line for each invalid setting
		logger.WithField("error", line).Error("frosttide ends")
	}
	return errReported
}

// configureLog sets the logger's level and format.
func configureLog(logger *logrus.Logger, l settings.Log) {
	if level, err := logrus.ParseLevel(l.Level); err == nil { // config.Load has validated the level
		logger.SetLevel(level)
	}
	logger.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: time.RFC3339Nano})
	if l.Format == "json" {
		logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	}
}

// run creates the dispatcher's process, serves until a signal stops it, and drains.
func run(logger *logrus.Logger, cfg config.Config, src config.Source, s signals) error {
	limitResources(cfg.Limits, 1)
	p := newProcess(logger, cfg)
	defer p.close()
	for _, w := range cfg.Warnings {
		p.log.Warn(w)
	}
	if err := p.wire(); err != nil {
		return err
	}
	older := p.takeOver()
	ctx, cancel := context.WithCancel(context.Background())
	p.onClose(cancel)
	if err := p.start(ctx, older); err != nil {
		return err
	}
	served := p.serve()
	p.grace.Store(int64(shutdownGrace(p.cfg)))
	go p.reload(src, s.reloads)
	go p.wakeDelay.Run(ctx)
	p.announce()
	select {
	case err := <-served:
		return err
	case sig := <-s.stop:
		delay := p.signalDelay()
		p.ready.Store(false)
		p.log.WithFields(logrus.Fields{"signal": sig.String(), "delay": delay.Round(time.Millisecond).String()}).Info("frosttide drains")
		p.exporter.FlushNow()
		return p.drain(ctx, time.Now().Add(time.Duration(p.grace.Load())-delay))
	}
}

// takeOver fetches the state of the older process of this dispatcher that shares the listening
// socket. It returns the zero State if there is none.
func (p *process) takeOver() handover.State {
	if p.cfg.ListenFD > 0 {
		if state := p.link.Dial(); state != nil {
			return *state
		}
	}
	return handover.State{}
}

// start starts the components, from the worker list to the cluster member, and returns once jobs
// may be accepted. The components' goroutines end with the context.
func (p *process) start(ctx context.Context, older handover.State) error {
	if p.roster == nil {
		p.table.Resume(older.Discovery, older.List, p.cfg.KnownMembers, p.core)
	} else {
		p.stored.start(p.roster, older, p.cfg.Seed)
		p.table.Resume(older.Discovery, older.List, p.cfg.KnownMembers, p.roster)
		p.roster.Start()
		go p.roster.Run(ctx)
	}
	if p.gearman != nil {
		go p.gearman.Run(ctx)
	}
	gate := discoveryGate{
		table: p.table,
		core:  p.core,
		rules: p.table.Rules(),
		stale: p.cfg.Discovery != "" && p.roster == nil && len(older.List) == 0,
	}
	gate.prepare()
	go p.table.Run(ctx)
	runGangWatcher(ctx, p.gangs)
	go p.core.Run(ctx)
	if p.peers != nil {
		if err := p.peers.start(p.core, p.table, p.link, p.roster, p.stored); err != nil {
			return err
		}
		p.onClose(p.peers.leave)
		go p.peers.shareWorkerHealth(ctx)
	}
	gate.await(ctx)
	return nil
}

// serve serves clients in a goroutine. The channel receives the error with which serving ends.
func (p *process) serve() <-chan error {
	served := make(chan error, 1)
	go func() { served <- p.front.Serve(p.listener) }()
	return served
}

// announce tells an older process, the console and the log that this process is serving.
func (p *process) announce() {
	if p.cfg.ListenFD > 0 {
		if err := p.link.Serve(); err != nil {
			p.log.WithError(err).Warn("no newer process will take over the state")
		}
		p.link.AnnounceReady()
	}
	p.ready.Store(true)
	p.log.WithField("listen", p.cfg.Listen).Info("frosttide serves")
}
