package simnet

import (
	"time"

	"frosttide/internal/protocol"
)

// process is a process as seen by the network and the clock.
type process struct {
	address     string
	incarnation int // increases with each start and each stop
	up          bool
	startedAt   time.Duration // zero point of its steady clock
	paused      bool
	inbox       []func() // work that arrived during a pause

	receive func(from string, e *protocol.Envelope)
	turn    func() // carries out the output of the process since the last turn
}

// tickInterval is the time between two ticks of a process of the control plane or a gateway; agents
// tick half as often.
const tickInterval = 20 * time.Millisecond

// start begins an incarnation of a process. Its steady clock starts at a random value of up to an
// hour.
func (sim *simulation) start(p *process) {
	p.incarnation++
	p.up, p.paused, p.inbox = true, false, nil
	p.startedAt = sim.now - time.Duration(sim.rng.Int64N(int64(time.Hour)))
}

// stop ends an incarnation of a process. Messages that were not delivered yet are lost.
func (sim *simulation) stop(p *process) {
	p.up, p.paused, p.inbox = false, false, nil
	p.incarnation++
}

// pause suspends a process for d; what arrives meanwhile is queued in its inbox. It has no effect
// on a process that is down or already paused.
func (sim *simulation) pause(p *process, d time.Duration) {
	if !p.up || p.paused {
		return
	}
	p.paused = true
	incarnation := p.incarnation
	sim.after(d, func() {
		if p.incarnation != incarnation {
			return
		}
		sim.recordFault()
		p.paused = false
		inbox := p.inbox
		p.inbox = nil
		for _, do := range inbox {
			if p.incarnation == incarnation {
				sim.execute(p, do)
			}
		}
	})
}

// clock returns the time of a process's steady clock.
func (sim *simulation) clock(p *process) time.Duration { return sim.now - p.startedAt }

// execute runs a function in a process, followed by a turn: now, or once the process resumes if it
// is paused.
func (sim *simulation) execute(p *process, do func()) {
	if p.paused {
		p.inbox = append(p.inbox, do)
		return
	}
	do()
	p.turn()
}

// repeat runs a function and a turn in a process at an interval until the process ends; the first
// time after a random part of the interval. It skips the times at which the process is paused.
func (sim *simulation) repeat(p *process, interval time.Duration, do func()) {
	incarnation := p.incarnation
	var next func()
	next = func() {
		if !p.up || p.incarnation != incarnation {
			return
		}
		if !p.paused {
			do()
			p.turn()
		}
		sim.after(interval, next)
	}
	sim.after(sim.randomDuration(0, interval), next)
}
