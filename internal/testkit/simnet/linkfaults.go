package simnet

import (
	"fmt"
	"slices"
	"time"
)

// cutHalves cuts the core into two parts, whatever is to be borne; everybody else reaches both.
func (w *world) cutHalves() (string, func()) {
	d, order := w.between(time.Second, longCut), w.rng.Perm(len(w.cores))
	most := 1 + w.rng.IntN(len(w.cores)-1)
	return fmt.Sprintf("the core is cut into %d and %d for %v", most, len(w.cores)-most, d), func() {
		w.while(d, func() {})
		for _, a := range order[:most] {
			for _, b := range order[most:] {
				if a < len(w.cores) && b < len(w.cores) { // a machine may have come or gone since the order was drawn
					w.cut(w.cores[a].address, w.cores[b].address, d)
					w.cut(w.cores[b].address, w.cores[a].address, d)
				}
			}
		}
	}
}

// resetLinks breaks all links of a machine of the core, some times.
func (w *world) resetLinks() (string, func()) {
	c, times := w.anyCore(), 1+w.rng.IntN(12)
	return fmt.Sprintf("the links of %s are reset %d times", c.address, times), func() {
		var again func()
		again = func() {
			w.troubled()
			for address := range w.processes {
				w.reset(c.address, address)
			}
			if times--; times > 0 {
				w.after(w.between(time.Millisecond, 700*time.Millisecond), again)
			}
		}
		again()
	}
}

// slowLinks gives the links of the core a bandwidth.
func (w *world) slowLinks() (string, func()) {
	megabits, d := []int{1, 4, 16, 100}[w.rng.IntN(4)], w.between(3*time.Second, 20*time.Second)
	return fmt.Sprintf("the links of the core carry %d Mbit/s for %v", megabits, d), func() {
		const bytesPerMegabit = 1_000_000 / 8
		w.network.rate = megabits * bytesPerMegabit
		w.while(d, func() { w.network.rate = 0 })
	}
}

func (w *world) lateMessages() (string, func()) {
	d := w.between(time.Second, 8*time.Second)
	return fmt.Sprintf("messages come up to %v late for %v", lateDelay, d), func() {
		w.network.lateUntil = w.now + d
		w.while(d, func() {})
	}
}

func (w *world) doubledMessages() (string, func()) {
	d := w.between(time.Second, 8*time.Second)
	return fmt.Sprintf("messages come twice for %v", d), func() {
		w.network.doubledUntil = w.now + d
		w.while(d, func() {})
	}
}

// quota has a machine of the core run at full speed until its share is spent, and then not for the rest of each
// tenth of a second.
func (w *world) quota() (string, func()) {
	const period = 100 * time.Millisecond
	c, d, spent := w.anyCore(), w.between(time.Second, 10*time.Second), w.between(10*time.Millisecond, 80*time.Millisecond)
	return fmt.Sprintf("%s runs for %v of each %v for %v", c.address, spent, period, d), func() {
		until := w.now + d
		w.while(d, func() {})
		var again func()
		again = func() {
			if w.now >= until {
				return
			}
			w.after(spent, func() { w.freeze(c.process, period-spent) })
			w.after(period, again)
		}
		again()
	}
}

// replaceTwo replaces two machines of the core one after the other, the second once the first one's successor has
// had the time to catch up.
func (w *world) replaceTwo() (string, func()) {
	first, replaceFirst := w.replaceCore()
	second, replaceSecond := w.replaceCore()
	return fmt.Sprintf("in a row: %s; %s", first, second), func() {
		replaceFirst()
		w.after(replaceSpan+catchUp, replaceSecond)
	}
}

// replaceSpan is how long a replacement takes at most until the new machine has started.
const replaceSpan = 3 * time.Second

// watchEvery is how often each machine of the core is asked what an operator may ask.
const watchEvery = 300 * time.Millisecond

// watch asks every machine of the core for the configuration and the state of the placement role, cut off or not:
// none may answer with an older version than was acknowledged before it was asked.
func (w *world) watch() {
	for _, c := range slices.Clone(w.cores) {
		if c.up {
			w.operator.readAt(c)
			w.operator.statusAt(c)
		}
	}
	if w.now < w.options.Length {
		w.after(watchEvery, w.watch)
	}
}
