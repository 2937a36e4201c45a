package faults

import (
	"os"
	"path/filepath"
	"sync"
	"time"
)

const (
	// operatorAnswerTime is within which an order must succeed on fast disks with a majority up
	// (docs/daily.md).
	operatorAnswerTime = time.Second
	// syncsOfAnOrder is how many sequential disk syncs an order may wait for: those of the log
	// at the leader and at a follower, and of the two files in which a member stores the
	// exclusions.
	syncsOfAnOrder = 10
	// soundSyncTime is what a sync on a fast disk takes at most. The syncs of an order then
	// take at most half of operatorAnswerTime.
	soundSyncTime = operatorAnswerTime / 2 / syncsOfAnOrder
	// probeInterval is the pause between the probe's syncs.
	probeInterval = 10 * time.Millisecond
)

// diskProbe continuously writes and syncs a few bytes beside the members' folders. It distinguishes
// a slow member from a slow disk or machine, as it waits for both like the members do.
type diskProbe struct {
	file    *os.File
	ended   chan struct{}
	stopped sync.WaitGroup

	mu      sync.Mutex
	began   time.Time // start of the current sync
	samples []syncSample
}

// syncSample is the duration of a sync, including the part of the pause before it that exceeded
// probeInterval.
type syncSample struct {
	end  time.Time
	took time.Duration
}

// startDiskProbe starts a probe in a folder. The caller must call stop.
func startDiskProbe(dir string) (*diskProbe, error) {
	file, err := os.Create(filepath.Join(dir, "probe"))
	if err != nil {
		return nil, err
	}
	p := &diskProbe{file: file, ended: make(chan struct{}), began: time.Now()}
	p.stopped.Go(p.run)
	return p, nil
}

// run syncs until stop is called.
func (p *diskProbe) run() {
	var block [200]byte
	for {
		if _, err := p.file.WriteAt(block[:], 0); err != nil {
			return
		}
		if err := p.file.Sync(); err != nil {
			return
		}
		p.record(time.Now())
		select {
		case <-p.ended:
			return
		case <-time.After(probeInterval):
		}
	}
}

// record adds a sample for the sync that has just ended. The next one counts from the end of the
// pause, so that a late wake-up counts as slow.
func (p *diskProbe) record(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.samples = append(p.samples, syncSample{now, now.Sub(p.began)})
	p.began = now.Add(probeInterval)
}

// slowestSince returns the duration of the slowest sync that ended after from or is still in
// progress.
func (p *diskProbe) slowestSince(from time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	slowest := time.Since(p.began)
	for i := len(p.samples) - 1; i >= 0 && p.samples[i].end.After(from); i-- {
		slowest = max(slowest, p.samples[i].took)
	}
	return slowest
}

// stop ends the probe and waits for its goroutine.
func (p *diskProbe) stop() {
	close(p.ended)
	p.stopped.Wait()
	p.file.Close()
}

// requireSoon records a violation if the first request of a call failed although all syncs since
// began were fast. Retried calls prove that a call has one effect; this check proves that the first
// request is enough.
func (r *scriptRun) requireSoon(what string, began time.Time, answer error) {
	if answer == nil {
		return
	}
	if slowest := r.probe.slowestSince(began); slowest <= soundSyncTime {
		r.failf("%s was not answered yes at its first sending, after %d ms, on a sound disk (slowest sync %.1f ms): %s",
			what, time.Since(began).Milliseconds(), float64(slowest)/float64(time.Millisecond), answer)
	}
}
