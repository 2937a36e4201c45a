package main

import (
	"context"
	"time"

	"frosttide/internal/dispatcher/config"
)

const (
	// lingerTime is how long connections are still accepted after SIGTERM. The platform's load
	// balancer keeps sending new connections for a while, and in a rolling restart the next
	// dispatcher may stop before the previous one is back, so that no other dispatcher is
	// available.
	lingerTime = 2 * time.Second
	// The platform kills the process no earlier than min(longest client timeout, maxGrace) +
	// graceMargin after SIGTERM. Every open request is answered answerMargin before that.
	maxGrace     = 3 * time.Second
	graceMargin  = 700 * time.Millisecond
	answerMargin = 300 * time.Millisecond
	// exitMargin is how long before the platform kills the process the last state has to be
	// stored. The remaining time is for flushing telemetry.
	exitMargin = 100 * time.Millisecond
	// drainMargin is how long before the platform kills the process it stops waiting for clients
	// to close idle connections.
	drainMargin = 200 * time.Millisecond
	// closeMargin is how long before the deadline of the last response the process closes
	// connections that clients have not used since a newer process took over.
	closeMargin = time.Second
	// maxDelayFraction bounds the assumed delivery delay of a signal: at most 1/maxDelayFraction
	// of the grace period.
	maxDelayFraction = 4
)

// shutdownGrace returns the time between SIGTERM and the earliest SIGKILL by the platform.
func shutdownGrace(cfg config.Config) time.Duration {
	var longest time.Duration
	for i, class := range cfg.Module.Classes {
		if !cfg.RemovedClasses[i] {
			longest = max(longest, class.ClientTimeout)
		}
	}
	return min(longest, maxGrace) + graceMargin
}

// signalDelay returns an upper estimate of the delay between the sending and the handling of a
// signal that is handled now. The process may be scheduled late on a busy machine, while the
// platform's grace period starts when it sends the signal. The estimate is bounded because the
// drain needs most of the grace period.
func (p *process) signalDelay() time.Duration {
	return min(p.wakeDelay.Longest(time.Now()), time.Duration(p.grace.Load())/maxDelayFraction)
}

// drain stops serving. It hands open connections over to a newer process if there is one;
// otherwise it makes clients reconnect to another dispatcher. It returns once every request is
// answered and the state is stored, at the latest shortly before end, when the platform may kill
// the process. It fails if a request is still unanswered then.
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
