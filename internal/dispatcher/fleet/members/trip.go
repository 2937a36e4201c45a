package members

import (
	"time"

	"github.com/hashicorp/memberlist"
)

// trip is how long a packet to another member and its answer take, as probes find it: mean and
// mean deviation, as TCP reckons them (RFC 6298).
type trip struct{ mean, dev time.Duration }

func (t *trip) took(d time.Duration) {
	d = max(d, 1)
	if t.mean == 0 {
		t.mean, t.dev = d, d/2
		return
	}
	t.dev += (max(t.mean-d, d-t.mean) - t.dev) / 4
	t.mean += (d - t.mean) / 8
}

// within is what nearly every one takes at most; 0 where none is known.
func (t *trip) within() time.Duration { return t.mean + 4*t.dev }

// pings are the probes that memberlist makes anyway.
type pings Members

// AckPayload is not used.
func (p *pings) AckPayload() []byte { return nil }

// NotifyPingComplete tells how long one took.
func (p *pings) NotifyPingComplete(n *memberlist.Node, took time.Duration, _ []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.here[n.Name]; !ok { // bounded by who is alive
		return
	}
	t := p.trips[n.Name]
	if t == nil {
		t = &trip{}
		p.trips[n.Name] = t
	}
	t.took(took)
}

// far returns a member's entry with the way to it. The lock is held.
func (m *Members) far(i Info) Info {
	if t := m.trips[i.Name]; t != nil {
		i.Trip = t.within()
	}
	return i
}
