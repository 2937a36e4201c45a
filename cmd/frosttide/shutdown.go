package main

import (
	"context"
	"time"

	"frosttide/internal/dispatcher/config"
)

const (
	// lingerTime is how long after SIGTERM clients may keep their connections: the
	// platform's front goes on sending new ones for a while, and the next dispatcher's
	// restart may begin before the last one is back, so that there is nowhere else to
	// go.
	lingerTime = 2 * time.Second
	// The platform ends the process no earlier than the longest client timeout, or
	// maxGrace if that is shorter, and graceMargin after SIGTERM. Every open request
	// has its response answerMargin before that.
	maxGrace     = 3 * time.Second
	graceMargin  = 700 * time.Millisecond
	answerMargin = 300 * time.Millisecond
	// exitMargin is how long before the platform ends the process the last state has to be
	// stored: the rest is for telemetry.
	exitMargin = 100 * time.Millisecond
	// drainMargin is how long before the platform ends the process it no longer waits for
	// clients to close connections on which everything is answered.
	drainMargin = 200 * time.Millisecond
	// closeMargin is how long before the last response connections are closed that
	// clients have not used since a newer process took over.
	closeMargin = time.Second
	// maxDelayFraction is the part of the grace that a signal may be taken to be late by: one
	// in so many.
	maxDelayFraction = 4
)

// shutdownGrace returns how long the process has to itself after SIGTERM.
func shutdownGrace(cfg config.Config) time.Duration {
	var longest time.Duration
	for i, class := range cfg.Module.Classes {
		if !cfg.RemovedClasses[i] {
			longest = max(longest, class.ClientTimeout)
		}
	}
	return min(longest, maxGrace) + graceMargin
}

// signalDelay returns how late a signal that is handled now may be handled: the process
// runs late on a busy machine, and the platform counts from when it sent the signal. It is
// bounded, as the drain needs most of the grace.
func (p *process) signalDelay() time.Duration {
	return min(p.wakeDelay.Longest(time.Now()), time.Duration(p.grace.Load())/maxDelayFraction)
}

// drain ends the service: it hands everything over to a newer process, or lets
// clients find another dispatcher, and returns when every request has its response
// and the state is stored, shortly before the end, at which the platform may end the
// process, at the latest. It fails if a request has no response then.
func (p *process) drain(ctx context.Context, end time.Time) error {
	deadline := end.Add(-answerMargin)
	if p.peers != nil {
		p.peers.announceDrain(p.link.SuccessorServes())
	}
	if p.gearman != nil {
		p.gearman.BeginShutdown(deadline)
	}
	if p.link.SuccessorServes() {
		p.listener.Close()
		p.front.HandOver(deadline.Add(-closeMargin), deadline)
		p.front.StopBy(deadline)
	} else {
		if p.roster != nil {
			p.roster.BeginShutdown()
		}
		p.front.StopBy(deadline)
		time.Sleep(lingerTime)
	}
	drainCtx, cancel := context.WithDeadline(ctx, end.Add(-drainMargin))
	defer cancel()
	err := p.front.Drain(drainCtx)
	if p.gearman != nil {
		p.gearman.drain(deadline)
	}
	if p.roster != nil {
		p.roster.Close(end.Add(-exitMargin))
	}
	if err != nil {
		return err
	}
	p.log.Info("frosttide has answered everything and ends")
	return nil
}
