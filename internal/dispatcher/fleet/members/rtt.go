package members

import (
	"time"

	"github.com/hashicorp/memberlist"
)

// rttEstimate estimates the round-trip time to a member from memberlist's probes. It keeps a
// smoothed mean and a mean deviation as TCP does (RFC 6298, sec. 2). The zero value has no samples.
type rttEstimate struct{ mean, deviation time.Duration }

// observe adds the duration of one probe.
func (t *rttEstimate) observe(d time.Duration) {
	d = max(d, 1)
	if t.mean == 0 {
		t.mean, t.deviation = d, d/2
		return
	}
	t.deviation += (max(t.mean-d, d-t.mean) - t.deviation) / 4
	t.mean += (d - t.mean) / 8
}

// upperBound returns a time that nearly all round trips stay below; 0 if there are no samples.
func (t *rttEstimate) upperBound() time.Duration { return t.mean + 4*t.deviation }

// pingDelegate implements memberlist.PingDelegate, which reports the durations of probes.
type pingDelegate Members

// AckPayload adds nothing to the acknowledgements of probes.
func (p *pingDelegate) AckPayload() []byte { return nil }

// NotifyPingComplete updates a live member's estimate with the duration of a probe.
func (p *pingDelegate) NotifyPingComplete(n *memberlist.Node, duration time.Duration, _ []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.alive[n.Name]; !ok { // estimates are kept for live members only
		return
	}
	estimate := p.rtts[n.Name]
	if estimate == nil {
		estimate = &rttEstimate{}
		p.rtts[n.Name] = estimate
	}
	estimate.observe(duration)
}

// withRTT returns a member's Info with its round-trip time. The caller holds m.mu.
func (m *Members) withRTT(i Info) Info {
	if estimate := m.rtts[i.Name]; estimate != nil {
		i.RTT = estimate.upperBound()
	}
	return i
}
