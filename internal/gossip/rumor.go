package gossip

import (
	"time"

	"frosttide/internal/protocol"
)

const (
	// rumorInterval is the interval between rumors to a random neighbor, which repair the loss of
	// messages (anti-entropy).
	rumorInterval = 300 * time.Millisecond
	// hotRumorInterval replaces rumorInterval for hotRumorRounds rumors after a new version (rumor
	// mongering).
	hotRumorInterval = 60 * time.Millisecond
	hotRumorRounds   = 3
	// fanout is the number of neighbors to which a new version is sent immediately.
	fanout = 3
	// pullTimeout is the time after which a requested delta may be requested again.
	pullTimeout = 250 * time.Millisecond
)

// disseminate sends a rumor to up to fanout neighbors at once, except to the process that the new
// version came from, and shortens the interval of the next hotRumorRounds periodic rumors.
func (m *Machine) disseminate(from string) {
	m.hotRounds, m.nextRumor = hotRumorRounds, min(m.nextRumor, m.now+hotRumorInterval)
	for _, n := range m.sample(fanout) {
		if n.GetAddress() != from {
			m.sendRumor(n.GetAddress(), m.rumor())
		}
	}
}

// sendPeriodicRumor sends a rumor to a random neighbor and schedules the next one.
func (m *Machine) sendPeriodicRumor() {
	m.nextRumor = m.now + rumorInterval
	if m.hotRounds > 0 {
		m.hotRounds--
		m.nextRumor = m.now + hotRumorInterval
	}
	if to, ok := m.randomNeighbor(); ok {
		m.sendRumor(to, m.rumor())
	}
}

// rumor returns a rumor with the versions that this process has.
func (m *Machine) rumor() *protocol.Rumor {
	return &protocol.Rumor{ConfigVersion: m.config.Version, ConfigDigest: m.config.Digest, View: m.view}
}

func (m *Machine) sendRumor(to string, r *protocol.Rumor) {
	m.send(to, &protocol.Envelope{Body: &protocol.Envelope_Rumor{Rumor: r}})
}

// onRumor adopts the sender's view and requests its configuration where they are newer, and replies
// if this process has a newer one of either. A reply is not replied to.
func (m *Machine) onRumor(from string, r *protocol.Rumor) {
	senderIsBehind := r.GetConfigVersion() < m.config.Version || r.GetView().GetEpoch() < m.view.GetEpoch()
	m.adoptView(r.GetView(), from)
	m.ObserveVersion(m.now, from, r.GetConfigVersion())
	if senderIsBehind && !r.GetReply() {
		reply := m.rumor()
		reply.Reply = true
		m.sendRumor(from, reply)
	}
}

// requestDelta requests the items that changed since this process's version of the configuration.
func (m *Machine) requestDelta(from string) { m.sendPull(from, &protocol.RumorPull{}) }

// requestFull requests the full configuration.
func (m *Machine) requestFull(from string) { m.sendPull(from, &protocol.RumorPull{Whole: true}) }

func (m *Machine) sendPull(to string, p *protocol.RumorPull) {
	m.pullDeadline = m.now + pullTimeout
	p.HaveVersion, p.HaveDigest = m.config.Version, m.config.Digest
	m.send(to, &protocol.Envelope{Body: &protocol.Envelope_RumorPull{RumorPull: p}})
}

// onPull replies with the items that the sender lacks, or with the full configuration if the sender
// asked for it. It ignores a sender that is not behind.
func (m *Machine) onPull(from string, p *protocol.RumorPull) {
	if p.GetHaveVersion() >= m.config.Version {
		return
	}
	fromVersion := p.GetHaveVersion()
	if p.GetWhole() {
		fromVersion = 0
	}
	m.send(from, &protocol.Envelope{Body: &protocol.Envelope_ConfigDelta{ConfigDelta: m.config.DeltaSince(fromVersion)}})
}

// onDelta applies a delta and adopts the result if it is newer. A delta whose result does not have
// the digest that the delta names is dropped, and the full configuration is requested; if a full
// configuration failed, a delta is requested.
func (m *Machine) onDelta(from string, d *protocol.ConfigDelta) {
	m.pullDeadline = 0
	next, ok := m.config.ApplyDelta(d)
	switch {
	case ok:
		m.adoptConfig(next, from)
	case d.GetFrom() != 0:
		m.requestFull(from)
	default:
		m.requestDelta(from)
	}
}
