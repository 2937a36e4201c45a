package members

import (
	"time"

	"github.com/hashicorp/memberlist"
)

// trip is how long a packet to another member and its answer take, as probes find it: mean and
// mean deviation, as TCP reckons them (RFC 6298).
type rttEstimate struct{ mean, deviation time.Duration }

func (t *rttEstimate) observe(d time.Duration) {
	d = max(d, 1)
	if t.mean == 0 {
		t.mean, t.deviation = d, d/2
		return
	}
	t.deviation += (max(t.mean-d, d-t.mean) - t.deviation) / 4
	t.mean += (d - t.mean) / 8
}

// within is what nearly every one takes at most; 0 where none is known.
func (t *rttEstimate) bound() time.Duration { return t.mean + 4*t.deviation }

// pings are the probes that memberlist makes anyway.
type pings Members

// AckPayload is not used.
func (p *pings) AckPayload() []byte { return nil }

// NotifyPingComplete tells how long one took.
func (p *pings) NotifyPingComplete(n *memberlist.Node, duration time.Duration, _ []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.alive[n.Name]; !ok { // bounded by who is alive
		return
	}
	t := p.rtts[n.Name]
	if t == nil {
		t = &rttEstimate{}
		p.rtts[n.Name] = t
	}
	t.observe(duration)
}

// far returns a member's entry with the way to it. The lock is held.
func (m *Members) withRTT(i Info) Info {
	if t := m.rtts[i.Name]; t != nil {
		i.RTT = t.bound()
	}
	return i
}
