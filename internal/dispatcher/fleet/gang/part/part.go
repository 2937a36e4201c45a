// Package part is one part of a gang job at one worker: how fast it goes, fair to its size, by
// what the worker tells of it. It is pure: no I/O, no clock.
package part

import "time"

// window is over how many reports the pace is taken: what a worker does now counts, not what
// it did at first.
const window = 3

// Part is an attempt of a part. The zero value has not been sent.
type Part struct {
	Worker  string
	Work    float64 // seconds that it is expected to take at a usual worker, by its hint; 1 for no hint
	Attempt int

	sent, started, ended time.Duration
	begun, over, served  bool
	seen                 [window + 1]mark // the last reports, the start among them, the newest last
	n                    int
	Odd                  int // reports that were passed over
	Told                 int // reports that counted
}

// mark is a share done at a time.
type mark struct {
	at    time.Duration
	share float64
}

// Send has the part go to a worker anew. What is told of an earlier attempt counts no more.
func (p *Part) Send(worker string, attempt int, at time.Duration) {
	*p = Part{Worker: worker, Work: p.Work, Attempt: attempt, sent: at, Odd: p.Odd}
}

// Start takes in that the worker began it.
func (p *Part) Start(attempt int, at time.Duration) {
	if attempt != p.Attempt || p.begun || p.over || p.Worker == "" {
		p.Odd++
		return
	}
	p.begun, p.started = true, at
	p.note(mark{at, 0})
}

// Report takes in a share that is done. One of an earlier attempt, one that is late or lies
// behind what was told before, or no share at all, is passed over.
func (p *Part) Report(attempt int, share float64, at time.Duration) {
	last := p.seen[max(p.n-1, 0)]
	if attempt != p.Attempt || p.over || p.Worker == "" || !(share >= 0 && share <= 1) || p.n > 0 && (at < last.at || share < last.share) {
		p.Odd++
		return
	}
	if !p.begun { // the word of its start was lost
		p.begun, p.started = true, p.sent
		p.note(mark{p.sent, 0})
	}
	p.note(mark{at, share})
	p.Told++
}

func (p *Part) note(m mark) {
	if p.n == len(p.seen) {
		copy(p.seen[:], p.seen[1:])
		p.n--
	}
	p.seen[p.n] = m
	p.n++
}

// End takes in that the attempt is over.
func (p *Part) End(attempt int, served bool, at time.Duration) {
	if attempt != p.Attempt || p.over {
		p.Odd++
		return
	}
	p.over, p.served, p.ended = true, served, at
}

// Over tells whether it is over, and whether it was served.
func (p *Part) Over() (over, served bool) { return p.over, p.served }

// Running tells whether a worker has begun it and it is not over.
func (p *Part) Running() bool { return p.begun && !p.over }

// Waits tells whether it has been sent and no worker has begun it.
func (p *Part) Waits() bool { return p.Worker != "" && !p.begun && !p.over }

// Waited returns how long it waited before it began, or has waited by now.
func (p *Part) Waited(now time.Duration) time.Duration {
	if p.begun {
		return p.started - p.sent
	}
	return now - p.sent
}

// Took returns how long it ran, once it was served.
func (p *Part) Took() time.Duration { return p.ended - p.started }

// Share returns what is done by the last report.
func (p *Part) Share() float64 {
	if p.n == 0 {
		return 0
	}
	return p.seen[p.n-1].share
}

// Speed returns the work that it does in a second, 1 for a usual worker and a good hint. Bound
// is set where it does no more than that, and may do less: nothing was told for longer than
// reports are apart, or nothing is told at all but starts and ends. Every is how far apart
// reports are, 0 for none. It is false where nothing can be said.
func (p *Part) Speed(now, every time.Duration) (v float64, bound, ok bool) {
	switch {
	case p.over && p.served && p.ended > p.started:
		return p.Work / (p.ended - p.started).Seconds(), false, true
	case !p.Running() || now <= p.started:
		return 0, false, false
	}
	first, last := p.seen[0], p.seen[p.n-1]
	most := p.Work * (1 - first.share) / (now - first.at).Seconds() // all that was left might be done by now
	if p.Told == 0 {
		return most, true, true
	}
	if last.at <= first.at {
		return most, true, true
	}
	v = p.Work * (last.share - first.share) / (last.at - first.at).Seconds()
	if every > 0 && now-last.at > every*3/2 {
		return min(v, most), true, true
	}
	return v, false, true
}

// Silent tells whether a worker that tells of progress has said nothing for far too long.
func (p *Part) Silent(now, every time.Duration) bool {
	return every > 0 && p.Running() && p.n > 0 && now-p.seen[p.n-1].at > every*5/2
}

// Left returns how long it is likely to take yet at a speed.
func (p *Part) Left(now time.Duration, v float64) time.Duration {
	if p.over {
		return 0
	}
	left := p.Work * (1 - p.Share())
	if p.n > 0 { // what was done since the last report
		left -= v * (now - p.seen[p.n-1].at).Seconds()
	}
	return time.Duration(max(left, 0) / max(v, 1e-3) * float64(time.Second))
}
