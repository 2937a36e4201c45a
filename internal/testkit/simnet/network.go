package simnet

import (
	"time"

	"google.golang.org/protobuf/proto"

	"frosttide/internal/protocol"
)

// network is what ails the network at a moment. Links carry messages in order; a link that is reset loses what is on
// its way, and what is sent afterwards arrives by the next one.
type network struct {
	resets       map[link]time.Duration // when a link was last reset
	free         map[link]time.Duration // when a link with a bandwidth is free again
	rate         int                    // bytes a second that each way between two machines of the core carries, 0 for no bound
	doubledUntil time.Duration          // until when messages arrive twice
	lateUntil    time.Duration          // until when messages arrive up to lateDelay late
}

const (
	leastDelay = 300 * time.Microsecond
	mostDelay  = 2500 * time.Microsecond
	// holdLimit is how long a cut may hold messages up until their link is given up and they are lost.
	holdLimit = 1200 * time.Millisecond
	// lateDelay is how late messages are at most while they come late.
	lateDelay = 400 * time.Millisecond
	// secondAfter is within how long the second of doubled messages comes.
	secondAfter = 300 * time.Millisecond
)

func newNetwork() network {
	return network{resets: make(map[link]time.Duration), free: make(map[link]time.Duration)}
}

// send carries a message to another process.
func (w *world) send(from *process, to string, e *protocol.Envelope) {
	target := w.processes[to]
	if target == nil {
		return
	}
	l := link{from.address, to}
	delay := w.between(leastDelay, mostDelay)
	if until, cut := w.cuts[l]; cut && until > w.now {
		if until-w.now > holdLimit || w.rng.IntN(2) == 0 {
			return
		}
		delay += until - w.now
	}
	if w.now < w.network.lateUntil {
		delay += w.between(0, lateDelay)
	}
	if w.network.rate > 0 && w.isCore(from.address) && w.isCore(to) {
		took := time.Duration(float64(proto.Size(e)) / float64(w.network.rate) * float64(time.Second))
		w.network.free[l] = max(w.network.free[l], w.now) + took
		delay += w.network.free[l] - w.now
	}
	at := max(w.now+delay, w.arrives[l]+1)
	w.arrives[l] = at
	w.deliver(l, target, at, e)
	if w.now < w.network.doubledUntil {
		w.deliver(l, target, at+w.between(0, secondAfter), e)
	}
}

// deliver has a message arrive, unless its link is reset or the other process ends before.
func (w *world) deliver(l link, target *process, at time.Duration, e *protocol.Envelope) {
	life, sent := target.life, w.now
	w.after(at-w.now, func() {
		reset, ok := w.network.resets[l]
		if !target.up || target.life != life || ok && reset >= sent {
			return
		}
		w.run(target, func() { target.receive(l.from, e) })
	})
}

func (w *world) isCore(address string) bool {
	for _, c := range w.cores {
		if c.address == address {
			return true
		}
	}
	return false
}

// reset breaks the links between two processes.
func (w *world) reset(a, b string) {
	w.network.resets[link{a, b}], w.network.resets[link{b, a}] = w.now, w.now
}

// cut cuts one way between two processes for a time.
func (w *world) cut(from, to string, d time.Duration) {
	w.cuts[link{from, to}] = max(w.cuts[link{from, to}], w.now+d)
}
