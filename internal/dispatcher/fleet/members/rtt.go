package members

import (
	"time"

	"github.com/hashicorp/memberlist"
)

// rttEstimate estimates the round-trip time to a member from memberlist's probes: the smoothed
// mean and the mean deviation, computed as TCP does (RFC 6298, sec. 2).
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

// bound returns a time that nearly every round trip stays below; 0 if none was measured.
func (t *rttEstimate) bound() time.Duration { return t.mean + 4*t.deviation }

// pings implements memberlist.PingDelegate.
type pings Members

// AckPayload returns nothing.
func (p *pings) AckPayload() []byte { return nil }

// NotifyPingComplete records the duration of a probe.
func (p *pings) NotifyPingComplete(n *memberlist.Node, duration time.Duration, _ []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.alive[n.Name]; !ok { // keeps the estimates to the live members
		return
	}
	t := p.rtts[n.Name]
	if t == nil {
		t = &rttEstimate{}
		p.rtts[n.Name] = t
	}
	t.observe(duration)
}

// withRTT returns a member's entry with its round-trip time. The caller holds the lock.
func (m *Members) withRTT(i Info) Info {
	if t := m.rtts[i.Name]; t != nil {
		i.RTT = t.bound()
	}
	return i
}
