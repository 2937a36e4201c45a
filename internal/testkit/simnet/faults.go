package simnet

import (
	"fmt"
	"slices"
	"time"
)

// fault is a trouble that a play meets.
type fault struct {
	name string
	at   time.Duration
	do   func()
}

// kinds are the kinds of faults; each draws its particulars and returns what it is and how to begin it.
func (w *world) kinds() []func() (string, func()) {
	core := []func() (string, func()){
		w.killCore, w.powerCore, w.wipeCore, w.powerAll, w.killAll, w.wipeAndPowerAll, w.replaceCore, w.freezeCore, w.cutCore, w.cutCoreHalf, w.slowDisk, w.failDisk, w.stepClock,
		w.freezeHead, w.killHead, w.cutHead, w.cutHeadFromCore,
		w.cutHalves, w.resetLinks, w.slowLinks, w.lateMessages, w.doubledMessages, w.quota, w.replaceTwo,
	}
	if w.options.CoreOnly {
		return core
	}
	return append(core, w.killSide, w.freezeSide, w.cutSide, w.cutSideOneWay, w.killCarrier, w.crashRunner, w.restartRunner, w.drainRunner, w.leaveFirst, w.lateBeats)
}

// drawFaults draws the faults of a play.
func (w *world) drawFaults() (out []fault) {
	kinds := w.kinds()
	at := 4 * time.Second
	losses := []func() (string, func()){w.wipeCore, w.wipeAndPowerAll, w.replaceCore}
	for at < w.options.Length {
		at += w.between(0, 5*time.Second)
		draw := kinds[w.rng.IntN(len(kinds))]
		if w.rng.IntN(quietOneIn) == 0 { // losses for good are allowed only when all has been calm
			at += w.between(catchUp, quietMost)
			draw = losses[w.rng.IntN(len(losses))]
		}
		name, do := draw()
		out = append(out, fault{name: name, at: at, do: do})
	}
	return out
}

const (
	// longCut is for how long machines of the core are cut off or stand still at most.
	longCut = 20 * time.Second
	// quietOneIn is how seldom a fault is preceded by a quiet time, of at most quietMost.
	quietOneIn = 5
	quietMost  = 15 * time.Second
)

func (w *world) anyCore() *core { return w.cores[w.rng.IntN(len(w.cores))] }
func (w *world) anySide() *side { return w.sides[w.rng.IntN(len(w.sides))] }

// while has trouble last for a time and end by a function.
func (w *world) while(d time.Duration, end func()) {
	w.troubled()
	var keep func()
	until := w.now + d
	keep = func() {
		w.troubled()
		if w.now >= until {
			end()
			return
		}
		w.after(min(time.Second, until-w.now), keep)
	}
	w.after(min(time.Second, d), keep)
}

// back starts a machine of the core again after a time.
func (c *core) back(d time.Duration) {
	c.world.while(d, func() {
		if !c.up && !c.gone {
			c.begin()
		}
	})
}

func (w *world) killCore() (string, func()) {
	c, d := w.anyCore(), w.between(50*time.Millisecond, 4*time.Second)
	return fmt.Sprintf("%s is killed for %v", c.address, d), func() { c.kill(); c.back(d) }
}

func (w *world) powerCore() (string, func()) {
	c, d := w.anyCore(), w.between(time.Second, 4*time.Second)
	return fmt.Sprintf("%s loses power for %v", c.address, d), func() { c.powerOff(); c.back(d) }
}

func (w *world) powerAll() (string, func()) {
	d := w.between(500*time.Millisecond, 9*time.Second)
	return fmt.Sprintf("all of the core lose power for %v", d), func() {
		for _, c := range w.cores {
			c.powerOff()
			c.back(d + w.between(0, 300*time.Millisecond))
		}
	}
}

func (w *world) killAll() (string, func()) {
	d := w.between(50*time.Millisecond, time.Second)
	return fmt.Sprintf("all processes are killed for %v", d), func() {
		for _, c := range w.cores {
			c.kill()
			c.back(d)
		}
		for _, s := range w.sides {
			w.stop(s.process)
			w.after(d, func() { s.begin() })
		}
		for _, c := range w.carriers {
			w.stop(c.process)
			w.after(d, func() { c.begin() })
		}
	}
}

func (w *world) freezeCore() (string, func()) {
	c, d := w.anyCore(), w.between(500*time.Millisecond, 5*time.Second)
	return fmt.Sprintf("%s stands still for %v", c.address, d), func() { w.while(d, func() {}); w.freeze(c.process, d) }
}

// head returns the machine that serves, or any where none does.
func (w *world) head() *core {
	best := w.cores[0]
	for _, c := range w.cores {
		if c.up && c.member.Replica().Serving() && (!best.up || !best.member.Replica().Serving() || c.member.Replica().Epoch() > best.member.Replica().Epoch()) {
			best = c
		}
	}
	return best
}

func (w *world) freezeHead() (string, func()) {
	d := w.between(500*time.Millisecond, longCut)
	return fmt.Sprintf("the head stands still for %v", d), func() { w.while(d, func() {}); w.freeze(w.head().process, d) }
}

func (w *world) killHead() (string, func()) {
	d := w.between(50*time.Millisecond, 4*time.Second)
	return fmt.Sprintf("the head is killed for %v", d), func() { c := w.head(); c.kill(); c.back(d) }
}

// cutAll cuts a process from others, both ways or one way.
func (w *world) cutAll(address string, others []string, d time.Duration, in, out bool) {
	w.while(d, func() {})
	for _, other := range others {
		if other == address {
			continue
		}
		if out {
			w.cut(address, other, d)
		}
		if in {
			w.cut(other, address, d)
		}
	}
}

func (w *world) coreAddresses() (out []string) {
	for _, c := range w.cores {
		out = append(out, c.address)
	}
	return out
}

func (w *world) cutCore() (string, func()) {
	c, d := w.anyCore(), w.between(time.Second, longCut)
	return fmt.Sprintf("%s is cut from the core for %v", c.address, d), func() { w.cutAll(c.address, w.coreAddresses(), d, true, true) }
}

func (w *world) cutCoreHalf() (string, func()) {
	c, d := w.anyCore(), w.between(time.Second, longCut)
	in := w.rng.IntN(2) == 0
	return fmt.Sprintf("%s is cut one way (in: %v) from the core for %v", c.address, in, d), func() { w.cutAll(c.address, w.coreAddresses(), d, in, !in) }
}

func (w *world) cutHeadFromCore() (string, func()) {
	d := w.between(time.Second, longCut)
	return fmt.Sprintf("the head is cut from the core for %v", d), func() { w.cutAll(w.head().address, w.coreAddresses(), d, true, true) }
}

func (w *world) cutHead() (string, func()) {
	d := w.between(time.Second, 7*time.Second)
	return fmt.Sprintf("the head is cut from all for %v", d), func() {
		var all []string
		for address := range w.processes {
			all = append(all, address)
		}
		w.cutAll(w.head().address, all, d, true, true)
	}
}

func (w *world) slowDisk() (string, func()) {
	c, d, slow := w.anyCore(), w.between(time.Second, 6*time.Second), w.between(50*time.Millisecond, 3*time.Second)
	return fmt.Sprintf("the disk of %s is %v slower for %v", c.address, slow, d), func() {
		c.slow = slow
		w.while(d, func() { c.slow = 0 })
	}
}

func (w *world) failDisk() (string, func()) {
	c, d := w.anyCore(), w.between(time.Second, 6*time.Second)
	return fmt.Sprintf("the disk of %s refuses writes for %v", c.address, d), func() {
		c.failing = true
		w.while(d, func() { c.failing = false })
	}
}

// stepClock has the time of day of one machine, or of all of the core, jump by seconds or by an hour, and back.
func (w *world) stepClock() (string, func()) {
	c, d, by := w.anyCore(), w.between(time.Second, 20*time.Second), w.between(-30*time.Second, 30*time.Second)
	if w.rng.IntN(3) == 0 {
		by = time.Hour
	}
	all, who := w.rng.IntN(3) == 0, c.address
	if all {
		who = "all of the core"
	}
	return fmt.Sprintf("the time of day of %s is %v off for %v", who, by, d), func() {
		cores := []*core{c}
		if all { // whoever is part of it by then
			cores = slices.Clone(w.cores)
		}
		for _, c := range cores {
			c.clock = by
			w.while(d, func() { c.clock = 0 })
		}
	}
}

func (w *world) killSide() (string, func()) {
	s, d := w.anySide(), w.between(50*time.Millisecond, 5*time.Second)
	return fmt.Sprintf("%s is killed for %v", s.address, d), func() {
		w.stop(s.process)
		w.while(d, func() {
			if !s.up {
				s.begin()
			}
		})
	}
}

func (w *world) freezeSide() (string, func()) {
	s, d := w.anySide(), w.between(500*time.Millisecond, 20*time.Second)
	return fmt.Sprintf("%s stands still for %v", s.address, d), func() { w.while(d, func() {}); w.freeze(s.process, d) }
}

func (w *world) cutSide() (string, func()) {
	s, d := w.anySide(), w.between(time.Second, 25*time.Second)
	return fmt.Sprintf("%s is cut from the core for %v", s.address, d), func() { w.cutAll(s.address, w.coreAddresses(), d, true, true) }
}

func (w *world) cutSideOneWay() (string, func()) {
	s, d := w.anySide(), w.between(time.Second, 25*time.Second)
	in := w.rng.IntN(2) == 0
	return fmt.Sprintf("%s is cut one way (in: %v) from the core for %v", s.address, in, d), func() { w.cutAll(s.address, w.coreAddresses(), d, in, !in) }
}

func (w *world) killCarrier() (string, func()) {
	c, d := w.carriers[w.rng.IntN(len(w.carriers))], w.between(50*time.Millisecond, 3*time.Second)
	return fmt.Sprintf("%s is killed for %v", c.address, d), func() {
		w.stop(c.process)
		w.while(d, func() {
			if !c.up {
				c.begin()
			}
		})
	}
}

func (w *world) crashRunner() (string, func()) {
	s, d := w.anySide(), w.between(100*time.Millisecond, 9*time.Second)
	return fmt.Sprintf("the runner at %s crashes for %v", s.address, d), func() {
		s.runner.crash()
		life := s.lives
		w.while(d, func() {
			if s.lives == life {
				s.newRunner()
			}
		})
	}
}

func (w *world) restartRunner() (string, func()) {
	s := w.anySide()
	return fmt.Sprintf("the runner at %s crashes and is back at once", s.address), func() {
		w.troubled()
		s.runner.crash()
		s.newRunner()
	}
}

func (w *world) drainRunner() (string, func()) {
	s, d := w.anySide(), w.between(2*time.Second, 6*time.Second)
	return fmt.Sprintf("the runner at %s drains for %v and leaves", s.address, d), func() {
		r := s.runner
		r.draining = true
		w.after(d, func() {
			if !r.up {
				return
			}
			if s.up {
				w.run(s.process, func() { s.node.Machine.Leave(w.clock(s.process), r.id) })
			}
			r.crash()
			w.after(w.between(500*time.Millisecond, 3*time.Second), func() {
				if s.runner == r {
					s.newRunner()
				}
			})
		})
	}
}

// leaveFirst has a runner take its leave without having drained, run on and end.
func (w *world) leaveFirst() (string, func()) {
	s, d := w.anySide(), w.between(100*time.Millisecond, 9*time.Second)
	late := w.rng.IntN(2) == 0
	return fmt.Sprintf("the runner at %s takes its leave, runs on for %v (late beats: %v) and ends", s.address, d, late), func() {
		r := s.runner
		if !r.up {
			return
		}
		if s.up {
			w.run(s.process, func() { s.node.Machine.Leave(w.clock(s.process), r.id) })
		}
		if late {
			r.lateUntil = w.now + d
		}
		w.while(d, func() {
			if !r.up {
				return
			}
			r.crash()
			w.after(w.between(500*time.Millisecond, 3*time.Second), func() {
				if s.runner == r {
					s.newRunner()
				}
			})
		})
	}
}

// lateBeats has a runner's beats come seconds late.
func (w *world) lateBeats() (string, func()) {
	s, d := w.anySide(), w.between(time.Second, 8*time.Second)
	return fmt.Sprintf("the beats of the runner at %s come up to %v late for %v", s.address, lateMost, d), func() {
		s.runner.lateUntil = w.now + d
		w.while(d, func() {})
	}
}
