package simnet

import (
	"time"

	"frosttide/internal/protocol"
)

// process is a process as the network and the clock know it.
type process struct {
	address     string
	incarnation int // rises with each start and each end
	up          bool
	startedAt   time.Duration // origin of its steady clock
	paused      bool
	inbox       []func() // what has arrived while it is paused

	receive func(from string, e *protocol.Envelope)
	turn    func() // carries out what the process has decided since the last turn
}

// tickInterval is how often processes are told of the time.
const tickInterval = 20 * time.Millisecond

// start begins an incarnation of a process, whose steady clock begins anywhere within an hour.
func (sim *simulation) start(p *process) {
	p.incarnation++
	p.up, p.paused, p.inbox = true, false, nil
	p.startedAt = sim.now - time.Duration(sim.rng.Int64N(int64(time.Hour)))
}

// stop ends an incarnation of a process. What has not been delivered to it is lost.
func (sim *simulation) stop(p *process) {
	p.up, p.paused, p.inbox = false, false, nil
	p.incarnation++
}

// pause has a process do nothing for a time; what arrives meanwhile waits. It has no effect on one that is down or
// paused.
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

// clock returns the steady clock of a process.
func (sim *simulation) clock(p *process) time.Duration { return sim.now - p.startedAt }

// execute has a process do something now or, if it is paused, once it goes on.
func (sim *simulation) execute(p *process, do func()) {
	if p.paused {
		p.inbox = append(p.inbox, do)
		return
	}
	do()
	p.turn()
}

// repeat has a process do something at an interval, the first time within it, until the process ends. A paused
// process misses its turns.
func (sim *simulation) repeat(p *process, interval time.Duration, do func()) {
	incarnation := p.incarnation
	var again func()
	again = func() {
		if !p.up || p.incarnation != incarnation {
			return
		}
		if !p.paused {
			do()
			p.turn()
		}
		sim.after(interval, again)
	}
	sim.after(sim.randomDuration(0, interval), again)
}
