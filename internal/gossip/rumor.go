package gossip

import (
	"time"

	"frosttide/internal/protocol"
)

const (
	// rumorInterval is the pause between exchanges of versions with a random neighbor, so that what was lost on the way
	// arrives all the same.
	rumorInterval = 300 * time.Millisecond
	// hotRumorInterval takes its place for hotRumorRounds exchanges after something new.
	hotRumorInterval = 60 * time.Millisecond
	hotRumorRounds   = 3
	// fanout is the number of neighbors that get something new at once.
	fanout = 3
	// pullTimeout is after how long without a delta another may be requested.
	pullTimeout = 250 * time.Millisecond
)

// disseminate sends the versions to some neighbors at once, but not to the one that they came from, and has the next
// periodic rumors follow soon.
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

// onRumor takes over what is newer there, and answers with what is newer here. An answer is not answered.
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

// requestDelta asks a process for what its configuration has beyond the one here.
func (m *Machine) requestDelta(from string) { m.sendPull(from, &protocol.RumorPull{}) }

// requestFull asks a process for its configuration in full.
func (m *Machine) requestFull(from string) { m.sendPull(from, &protocol.RumorPull{Whole: true}) }

func (m *Machine) sendPull(to string, p *protocol.RumorPull) {
	m.pullDeadline = m.now + pullTimeout
	p.HaveVersion, p.HaveDigest = m.config.Version, m.config.Digest
	m.send(to, &protocol.Envelope{Body: &protocol.Envelope_RumorPull{RumorPull: p}})
}

// onPull sends a process what it lacks.
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

// onDelta takes over a newer configuration. A delta that does not lead to the digest that it names is dropped, and the
// configuration requested in full; where it was a full one already, the sender has changed meanwhile, and a delta is
// requested again.
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
