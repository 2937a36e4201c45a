package faults

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"
)

// tally counts a client's answers by tenths of a second since the run began.
type tally struct {
	mu     sync.Mutex
	began  time.Time
	served []int
	other  []int // refused, failed or not reached
}

const (
	tenth = 100 * time.Millisecond
	// mostTenths bounds a tally: an hour, far above any script. What comes later is not counted.
	mostTenths = 36_000
	// levelFor is over how long the level of service before a fault is taken, and fullFor how
	// long service has to be there again, in each second of it, to count as full.
	levelFor = 30
	fullFor  = 50
	// fullShare is the part of the level that has to be served.
	fullShare = 0.95
)

func (t *tally) note(served bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := int(time.Since(t.began) / tenth)
	if at >= mostTenths {
		return
	}
	of := &t.other
	if served {
		of = &t.served
	}
	for len(*of) <= at {
		*of = append(*of, 0)
	}
	(*of)[at]++
}

// count returns what was counted in tenths from one to before another.
func (t *tally) count(from, to int) (served, other int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := func(of []int) (n int) {
		for _, x := range of[min(from, len(of)):min(to, len(of))] {
			n += x
		}
		return n
	}
	return sum(t.served), sum(t.other)
}

// served returns the jobs of all members served in tenths of a second, and the others.
func (r *runner) servedIn(from, to int) (served, other int) {
	for _, m := range r.fleet.members {
		if m.client != nil {
			s, o := m.client.tally.count(from, to)
			served, other = served+s, other+o
		}
	}
	return served, other
}

// level takes the jobs a second that are served before a fault, and the most that came to one
// runner in a second.
func (r *runner) level() error {
	from := int(time.Since(r.watch.began)/tenth) + 10 // clients and connections have begun
	if err := r.passed(from + levelFor); err != nil {
		return err
	}
	served, _ := r.servedIn(from, from+levelFor)
	r.usual = float64(served) / levelFor * 10
	r.usualPeak = r.peak(from)
	r.fullBefore = r.fleet.runners.turnedAway()
	if r.usual == 0 {
		return errors.New("nothing is served")
	}
	r.line("%.0f jobs a second are served, at most %d come to one runner in a second", r.usual, r.usualPeak)
	return nil
}

// passed waits until a tenth of the run has passed: load has to go on for so long.
func (r *runner) passed(at int) error {
	return r.until(func() error {
		if int(time.Since(r.watch.began)/tenth) < at {
			return errors.New("the time has not passed")
		}
		return nil
	})
}

// full waits until service is full again, and says how long that took from the last process
// that was started: the first second of five in each of which 95 of 100 of the level are served. More
// seconds than the bound are an error, and so is a runner that got more than so many times
// its usual most in a second.
func (r *runner) full(w []string) error {
	within, err := strconv.ParseFloat(w[0], 64)
	if err != nil {
		return err
	}
	times, err := strconv.ParseFloat(w[1], 64)
	if err != nil {
		return err
	}
	if r.usual == 0 {
		return errors.New("there is no level; await level before the fault")
	}
	fault, start := int(r.faultAt.Sub(r.watch.began)/tenth), int(r.startAt.Sub(r.watch.began)/tenth)
	at := start
	err = r.until(func() error {
		now := int(time.Since(r.watch.began) / tenth)
		for ; at+fullFor <= now-2; at++ { // what was answered lately may not be counted yet
			short := false
			for s := at; s < at+fullFor && !short; s += 10 {
				served, _ := r.servedIn(s, s+10)
				short = float64(served) < fullShare*r.usual
			}
			if !short {
				return nil
			}
		}
		return fmt.Errorf("service is not full, %.0f jobs a second before", r.usual)
	})
	if err != nil {
		return err
	}
	_, other := r.servedIn(fault, at)
	took, peak := float64(at-start)/10, r.peak(fault)
	r.line("FULL %.1f s after the last start, %.1f s after the fault; %d jobs not served meanwhile, %d found a queue full; at most %d came to one runner in a second, %d before",
		took, float64(at-fault)/10, other, r.fleet.runners.turnedAway()-r.fullBefore, peak, r.usualPeak)
	if took > within {
		return fmt.Errorf("full service took %.1f s", took)
	}
	if float64(peak) > times*float64(r.usualPeak) {
		return fmt.Errorf("%d jobs came to one runner in a second, %d before", peak, r.usualPeak)
	}
	return nil
}

// CurveFrom and curveTo are how many tenths of a second of service before and after a fault a
// run's curve holds.
const (
	CurveFrom = 20
	curveTo   = 120
)

// curve keeps how service went around the fault.
func (r *runner) curve() {
	if r.usual == 0 || r.faultAt.IsZero() {
		return
	}
	at := int(r.faultAt.Sub(r.watch.began) / tenth)
	for s := max(at-CurveFrom, 0); s < at+curveTo; s++ {
		served, _ := r.servedIn(s, s+1)
		r.result.Curve = append(r.result.Curve, float64(served)*10/r.usual)
	}
}

// peak returns the most jobs that came to one runner within a second since a tenth.
func (r *runner) peak(from int) (most int) {
	since := r.watch.began.Add(time.Duration(from) * tenth)
	by := map[string][]time.Time{}
	for _, s := range r.fleet.runners.since(0) {
		if s.at.After(since) {
			by[s.runner] = append(by[s.runner], s.at)
		}
	}
	for _, times := range by {
		slices.SortFunc(times, time.Time.Compare)
		first := 0
		for i, at := range times {
			for at.Sub(times[first]) > time.Second {
				first++
			}
			most = max(most, i-first+1)
		}
	}
	return most
}

// fault takes down when a process is taken away.
func (r *runner) fault() {
	if r.faultAt.IsZero() {
		r.faultAt = time.Now()
	}
}
