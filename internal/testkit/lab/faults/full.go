package faults

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"
)

// tally counts a client's answers for each tenth of a second since the run began.
type tally struct {
	mu        sync.Mutex
	began     time.Time
	served    []int
	notServed []int // refused, failed or without an answer
}

const (
	tenth = 100 * time.Millisecond
	// maxTenths bounds a tally: an hour, far above any script. Later answers are not counted.
	maxTenths = 36_000
	// levelFor is over how many tenths of a second the baseline is measured, and fullFor for
	// how many the baseline must be reached again, in each second, to count as full service.
	levelFor = 30
	fullFor  = 50
	// fullShare is the share of the baseline that counts as full service.
	fullShare = 0.95
)

// note counts an answer that came now.
func (t *tally) note(served bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := int(time.Since(t.began) / tenth)
	if at >= maxTenths {
		return
	}
	counts := &t.notServed
	if served {
		counts = &t.served
	}
	for len(*counts) <= at {
		*counts = append(*counts, 0)
	}
	(*counts)[at]++
}

// count returns the answers in the tenths from (inclusive) to to (exclusive).
func (t *tally) count(from, to int) (served, other int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := func(of []int) (n int) {
		for _, x := range of[min(from, len(of)):min(to, len(of))] {
			n += x
		}
		return n
	}
	return sum(t.served), sum(t.notServed)
}

// servedIn returns the served jobs of all clients in the tenths from (inclusive) to to (exclusive),
// and their other jobs.
func (r *scriptRun) servedIn(from, to int) (served, other int) {
	for _, m := range r.fleet.members {
		if m.client != nil {
			s, o := m.client.tally.count(from, to)
			served, other = served+s, other+o
		}
	}
	return served, other
}

// measureLevel measures the baseline before a fault: the jobs served a second and the most jobs
// that reached one runner in a second.
func (r *scriptRun) measureLevel() error {
	// One second for clients to start and connect.
	from := int(time.Since(r.observer.began)/tenth) + 10
	if err := r.awaitElapsed(from + levelFor); err != nil {
		return err
	}
	served, _ := r.servedIn(from, from+levelFor)
	r.baselineRate = float64(served) / levelFor * 10
	r.baselinePeak = r.peak(from)
	r.baselineQueueFull = r.fleet.runners.rejectedJobs()
	if r.baselineRate == 0 {
		return errors.New("nothing is served")
	}
	r.logf("%.0f jobs a second are served, at most %d come to one runner in a second", r.baselineRate, r.baselinePeak)
	return nil
}

// awaitElapsed waits until the given tenth of a second of the run, as load has to last that long.
func (r *scriptRun) awaitElapsed(at int) error {
	return r.retryUntil(func() error {
		if int(time.Since(r.observer.began)/tenth) < at {
			return errors.New("the time has not passed")
		}
		return nil
	})
}

// awaitFullService waits until service is full again: the first second of five in each of which 95
// of 100 of the baseline are served. It logs how long that took from the last start of a process.
// It is an error if that took more than the bound in seconds, or if a runner got more than the
// given multiple of its baseline peak in a second.
func (r *scriptRun) awaitFullService(w []string) error {
	within, err := strconv.ParseFloat(w[0], 64)
	if err != nil {
		return err
	}
	times, err := strconv.ParseFloat(w[1], 64)
	if err != nil {
		return err
	}
	if r.baselineRate == 0 {
		return errors.New("there is no level; await level before the fault")
	}
	fault, start := int(r.faultAt.Sub(r.observer.began)/tenth), int(r.startAt.Sub(r.observer.began)/tenth)
	at := start
	err = r.retryUntil(func() error {
		now := int(time.Since(r.observer.began) / tenth)
		// Answers of the last two tenths may not be counted yet.
		for ; at+fullFor <= now-2; at++ {
			short := false
			for s := at; s < at+fullFor && !short; s += 10 {
				served, _ := r.servedIn(s, s+10)
				short = float64(served) < fullShare*r.baselineRate
			}
			if !short {
				return nil
			}
		}
		return fmt.Errorf("service is not full, %.0f jobs a second before", r.baselineRate)
	})
	if err != nil {
		return err
	}
	_, other := r.servedIn(fault, at)
	took, peak := float64(at-start)/10, r.peak(fault)
	r.logf("FULL %.1f s after the last start, %.1f s after the fault; %d jobs not served meanwhile, %d found a queue full; at most %d came to one runner in a second, %d before",
		took, float64(at-fault)/10, other, r.fleet.runners.rejectedJobs()-r.baselineQueueFull, peak, r.baselinePeak)
	if took > within {
		return fmt.Errorf("full service took %.1f s", took)
	}
	if float64(peak) > times*float64(r.baselinePeak) {
		return fmt.Errorf("%d jobs came to one runner in a second, %d before", peak, r.baselinePeak)
	}
	return nil
}

// CurveFrom and curveTo are how many tenths of a second before and after the fault Result.Curve
// covers.
const (
	CurveFrom = 20
	curveTo   = 120
)

// curve sets Result.Curve, if the script measured a baseline and then killed a process.
func (r *scriptRun) curve() {
	if r.baselineRate == 0 || r.faultAt.IsZero() {
		return
	}
	at := int(r.faultAt.Sub(r.observer.began) / tenth)
	for s := max(at-CurveFrom, 0); s < at+curveTo; s++ {
		served, _ := r.servedIn(s, s+1)
		r.result.Curve = append(r.result.Curve, float64(served)*10/r.baselineRate)
	}
}

// peak returns the most jobs that reached one runner within any second since the given tenth.
func (r *scriptRun) peak(from int) (most int) {
	since := r.observer.began.Add(time.Duration(from) * tenth)
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

// recordFault records the time of the first kill since the baseline was measured.
func (r *scriptRun) recordFault() {
	if r.faultAt.IsZero() {
		r.faultAt = time.Now()
	}
}
