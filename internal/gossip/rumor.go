package gossip

import (
	"time"

	"frosttide/internal/protocol"
)

const (
	// rumorInterval is the interval between exchanges of versions with a random neighbor, which repair the loss of
	// messages (anti-entropy).
	rumorInterval = 300 * time.Millisecond
	// hotRumorInterval takes its place for hotRumorRounds exchanges after a new version (rumor mongering).
	hotRumorInterval = 60 * time.Millisecond
	hotRumorRounds   = 3
	// fanout is the number of neighbors that a new version is sent to at once.
	fanout = 3
	// pullTimeout is how long a requested delta is awaited before another may be requested.
	pullTimeout = 250 * time.Millisecond
)

// disseminate sends the versions to some neighbors at once, except to the process that they came from, and makes the next
// periodic rumors hot.
func (m *Machine) disseminate(from string) {
	m.hotRounds, m.nextRumor = hotRumorRounds, min(m.nextRumor, m.now+hotRumorInterval)
	for _, n := range m.sample(fanout) {
		if n.GetAddress() != from {
			m.sendRumor(n.GetAddress(), m.rumor())
		}
	}
}

// sendPeriodicRumor sends the versions to a random neighbor.
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

// rumor returns the versions that this process has.
func (m *Machine) rumor() *protocol.Rumor {
	return &protocol.Rumor{ConfigVersion: m.config.Version, ConfigDigest: m.config.Digest, View: m.view}
}

func (m *Machine) sendRumor(to string, r *protocol.Rumor) {
	m.send(to, &protocol.Envelope{Body: &protocol.Envelope_Rumor{Rumor: r}})
}

// onRumor installs or requests what is newer at the sender, and replies if this process has anything newer. A reply gets no
// reply.
func (m *Machine) onRumor(from string, r *protocol.Rumor) {
	senderIsBehind := r.GetConfigVersion() < m.config.Version || r.GetView().GetEpoch() < m.view.GetEpoch()
	m.adoptView(r.GetView(), from)
	m.ObserveVersion(m.now, from, r.GetConfigVersion())
	if senderIsBehind && !r.GetReply() {
		answer := m.rumor()
		answer.Reply = true
		m.sendRumor(from, answer)
	}
}

// requestDelta asks a process for the items that its configuration has beyond the one here.
func (m *Machine) requestDelta(from string) { m.sendPull(from, &protocol.RumorPull{}) }

// requestFull asks a process for its configuration in full.
func (m *Machine) requestFull(from string) { m.sendPull(from, &protocol.RumorPull{Whole: true}) }

func (m *Machine) sendPull(to string, p *protocol.RumorPull) {
	m.pullDeadline = m.now + pullTimeout
	p.HaveVersion, p.HaveDigest = m.config.Version, m.config.Digest
	m.send(to, &protocol.Envelope{Body: &protocol.Envelope_RumorPull{RumorPull: p}})
}

// onPull sends a process the items that it lacks.
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

// onDelta installs a newer configuration. A delta that does not lead to the digest that it names is dropped: the
// configuration is requested in full then, or as a delta where it was a full one that failed.
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
