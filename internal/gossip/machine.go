// Package gossip spreads the newest configuration and the newest view to all processes. Each keeps a
// small random sample of the others, shuffled with one of them from time to time, tells random ones of
// it which versions it has, by digest, and gets from them what it lacks. It is a pure state machine.
package gossip

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"frosttide/internal/protocol"
	"frosttide/internal/routeconfig"
	"frosttide/internal/view"
)

// Config says who a process is.
type Config struct {
	Address  string // internal address
	Role     string
	Contacts []string // processes to begin with
	Seed     uint64
}

// Send is a message to the process at an internal address.
type Send struct {
	To      string
	Message *protocol.Envelope
}

const (
	// partialViewSize is how many others a process knows.
	partialViewSize = 8
	// shuffleSize is how many of them are exchanged at a time.
	shuffleSize = 4
	// minShuffleInterval and shuffleEvery are how often that is done, at first and once the samples are mixed.
	minShuffleInterval    = 200 * time.Millisecond
	maxShuffleInterval    = 2 * time.Second
	shuffleIntervalGrowth = 1.25
	// shufflesPerContact is how many shuffles pass until one is done with a contact too.
	shufflesPerContact = 4
	// rumorInterval is how often a random neighbor is told of the versions, so that what was lost on the way
	// arrives all the same.
	rumorInterval = 300 * time.Millisecond
	// hotRumorInterval is how soon something new is told to further ones, retellTimes times.
	hotRumorInterval = 60 * time.Millisecond
	hotRumorRounds   = 3
	// fanout is how many neighbors are told of something new at once.
	fanout = 3
	// bootstrapInterval is how often contacts are asked while nobody is known.
	bootstrapInterval = 150 * time.Millisecond
	// pullTimeout is how long a delta is waited for until another is asked for.
	pullTimeout = 250 * time.Millisecond
)

// Machine is a process's part in the gossip. It is not safe for concurrent use.
type Machine struct {
	cfg             Config
	rng             *rand.Rand
	now             time.Duration
	neighbors       []*protocol.Neighbor
	nextShuffle     time.Duration // next
	shuffleInterval time.Duration // before it
	shuffleCount    int
	hotRounds       int           // times that something new is still told soon
	nextRumor       time.Duration // next
	pullDeadline    time.Duration // until when a delta is waited for
	offered         []*protocol.Neighbor
	config          *routeconfig.Table
	view            *protocol.View
	sends           []Send
}

// New returns a process that knows its contacts only.
func New(cfg Config) *Machine {
	return &Machine{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 7)), config: routeconfig.Empty()}
}

// Config returns the newest configuration that has arrived.
func (m *Machine) Config() *routeconfig.Table { return m.config }

// View returns the newest view that has arrived, nil before any has.
func (m *Machine) View() *protocol.View { return m.view }

// Neighbors returns the sample of other processes.
func (m *Machine) Neighbors() []*protocol.Neighbor { return m.neighbors }

// SetContacts replaces the processes to begin with.
func (m *Machine) SetContacts(contacts []string) {
	if len(contacts) > 0 {
		m.cfg.Contacts = contacts
	}
}

// TakeSends returns the messages to be sent since the last call.
func (m *Machine) TakeSends() []Send {
	out := m.sends
	m.sends = nil
	return out
}

// SetConfig notes a configuration that this process has from its source.
func (m *Machine) SetConfig(now time.Duration, t *routeconfig.Table) {
	m.now = now
	if t.Version > m.config.Version {
		m.config = t
		m.disseminate("")
	}
}

// SetView notes a view that this process has learned of.
func (m *Machine) SetView(now time.Duration, v *protocol.View) {
	m.now = now
	if v.GetEpoch() > m.view.GetEpoch() && view.Valid(v) {
		m.view = v
		m.disseminate("")
	}
}

// Tick lets time pass.
func (m *Machine) Tick(now time.Duration) {
	m.now = now
	if now >= m.nextShuffle {
		m.beginShuffle()
	}
	if now >= m.nextRumor {
		m.nextRumor = now + rumorInterval
		if m.hotRounds > 0 {
			m.hotRounds--
			m.nextRumor = now + hotRumorInterval
		}
		if n := m.randomNeighbor(""); n != "" {
			m.sendRumor(n, false)
		}
	}
}

func (m *Machine) send(to string, e *protocol.Envelope) {
	m.sends = append(m.sends, Send{To: to, Message: e})
}

// beginShuffle exchanges a part of the sample with the neighbor that has been known for longest, which is
// dropped: where it lives, it comes back by others.
func (m *Machine) beginShuffle() {
	for _, n := range m.neighbors {
		n.Age++
	}
	m.shuffleCount++
	if len(m.neighbors) == 0 || m.shuffleCount%shufflesPerContact == 0 {
		m.shuffleWithSeed()
	}
	if len(m.neighbors) == 0 {
		m.nextShuffle = m.now + bootstrapInterval
		return
	}
	m.shuffleInterval = min(maxShuffleInterval, max(minShuffleInterval, time.Duration(float64(m.shuffleInterval)*shuffleIntervalGrowth)))
	m.nextShuffle = m.now + m.shuffleInterval
	oldest := slices.MaxFunc(m.neighbors, func(a, b *protocol.Neighbor) int { return cmp.Compare(a.GetAge(), b.GetAge()) })
	m.removeNeighbor(oldest.GetAddress())
	m.offered = m.sample(shuffleSize - 1)
	m.sendShuffle(oldest.GetAddress(), append([]*protocol.Neighbor{m.self()}, m.offered...), false)
}

// shuffleWithSeed keeps samples that began at different contacts, or were cut from each other, from
// staying apart.
func (m *Machine) shuffleWithSeed() {
	if len(m.cfg.Contacts) == 0 {
		return
	}
	if to := m.cfg.Contacts[m.rng.IntN(len(m.cfg.Contacts))]; to != m.cfg.Address {
		m.sendShuffle(to, append([]*protocol.Neighbor{m.self()}, m.sample(shuffleSize-1)...), false)
	}
}

func (m *Machine) self() *protocol.Neighbor {
	return &protocol.Neighbor{Address: m.cfg.Address, Role: m.cfg.Role}
}

func (m *Machine) sendShuffle(to string, neighbors []*protocol.Neighbor, reply bool) {
	cloned := make([]*protocol.Neighbor, len(neighbors))
	for i, n := range neighbors {
		cloned[i] = &protocol.Neighbor{Address: n.GetAddress(), Role: n.GetRole(), Age: n.GetAge()}
	}
	m.send(to, &protocol.Envelope{Body: &protocol.Envelope_Shuffle{Shuffle: &protocol.Shuffle{Neighbors: cloned, Reply: reply}}})
}

// sample returns random neighbors.
func (m *Machine) sample(limit int) []*protocol.Neighbor {
	out := slices.Clone(m.neighbors)
	m.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(limit, len(out))]
}

func (m *Machine) removeNeighbor(address string) {
	m.neighbors = slices.DeleteFunc(m.neighbors, func(n *protocol.Neighbor) bool { return n.GetAddress() == address })
}

// Receive handles a message of the gossip.
func (m *Machine) Receive(now time.Duration, from string, e *protocol.Envelope) {
	m.now = now
	switch body := e.GetBody().(type) {
	case *protocol.Envelope_Shuffle:
		m.onShuffle(from, body.Shuffle)
	case *protocol.Envelope_Rumor:
		m.onRumor(from, body.Rumor)
	case *protocol.Envelope_RumorPull:
		m.onPull(from, body.RumorPull)
	case *protocol.Envelope_ConfigDelta:
		m.onDelta(from, body.ConfigDelta)
	}
}

func (m *Machine) onShuffle(from string, s *protocol.Shuffle) {
	replaceable := m.offered
	if !s.GetReply() {
		replaceable = m.sample(shuffleSize)
		m.sendShuffle(from, replaceable, true)
	}
	wasIsolated := len(m.neighbors) == 0
	m.mergeNeighbors(s.GetNeighbors(), replaceable)
	if wasIsolated {
		m.mergeNeighbors([]*protocol.Neighbor{{Address: from}}, nil)
		m.sendRumor(from, false)
	}
}

// mergeNeighbors takes others into the sample, in place of those that were given away where it is full.
func (m *Machine) mergeNeighbors(received, replaceable []*protocol.Neighbor) {
	for _, o := range received {
		if o.GetAddress() == m.cfg.Address || slices.ContainsFunc(m.neighbors, func(n *protocol.Neighbor) bool { return n.GetAddress() == o.GetAddress() }) {
			continue
		}
		if len(m.neighbors) >= partialViewSize && len(replaceable) > 0 {
			m.removeNeighbor(replaceable[0].GetAddress())
			replaceable = replaceable[1:]
		}
		if len(m.neighbors) >= partialViewSize {
			at := m.rng.IntN(len(m.neighbors))
			m.neighbors = slices.Delete(m.neighbors, at, at+1)
		}
		m.neighbors = append(m.neighbors, o)
	}
}

// randomNeighbor returns a random neighbor other than one, empty where there is none.
func (m *Machine) randomNeighbor(except string) string {
	for range 4 {
		if len(m.neighbors) == 0 {
			return ""
		}
		if n := m.neighbors[m.rng.IntN(len(m.neighbors))]; n.GetAddress() != except {
			return n.GetAddress()
		}
	}
	return ""
}

// disseminate tells some neighbors of something new.
func (m *Machine) disseminate(except string) {
	m.hotRounds, m.nextRumor = hotRumorRounds, min(m.nextRumor, m.now+hotRumorInterval)
	for _, n := range m.sample(fanout) {
		if n.GetAddress() != except {
			m.sendRumor(n.GetAddress(), false)
		}
	}
}

func (m *Machine) sendRumor(to string, reply bool) {
	m.send(to, &protocol.Envelope{Body: &protocol.Envelope_Rumor{Rumor: &protocol.Rumor{
		ConfigVersion: m.config.Version, ConfigDigest: m.config.Digest, View: m.view, Reply: reply}}})
}

func (m *Machine) onRumor(from string, r *protocol.Rumor) {
	behind := r.GetConfigVersion() < m.config.Version || r.GetView().GetEpoch() < m.view.GetEpoch()
	if r.GetView().GetEpoch() > m.view.GetEpoch() && view.Valid(r.GetView()) {
		m.view = r.GetView()
		m.disseminate(from)
	}
	m.ObserveVersion(m.now, from, r.GetConfigVersion())
	if behind && !r.GetReply() {
		m.sendRumor(from, true)
	}
}

// ObserveVersion notes that another process has a version of the configuration.
func (m *Machine) ObserveVersion(now time.Duration, from string, version uint64) {
	m.now = now
	if version <= m.config.Version || now < m.pullDeadline {
		return
	}
	m.requestDelta(from, false)
}

func (m *Machine) requestDelta(from string, full bool) {
	m.pullDeadline = m.now + pullTimeout
	m.send(from, &protocol.Envelope{Body: &protocol.Envelope_RumorPull{RumorPull: &protocol.RumorPull{
		HaveVersion: m.config.Version, HaveDigest: m.config.Digest, Whole: full}}})
}

func (m *Machine) onPull(from string, p *protocol.RumorPull) {
	if p.GetHaveVersion() >= m.config.Version {
		return
	}
	since := p.GetHaveVersion()
	if p.GetWhole() {
		since = 0
	}
	m.send(from, &protocol.Envelope{Body: &protocol.Envelope_ConfigDelta{ConfigDelta: m.config.DeltaSince(since)}})
}

func (m *Machine) onDelta(from string, d *protocol.ConfigDelta) {
	m.pullDeadline = 0
	next, ok := m.config.ApplyDelta(d)
	if !ok {
		m.requestDelta(from, d.GetFrom() != 0)
		return
	}
	if next.Version > m.config.Version {
		m.config = next
		m.disseminate(from)
	}
}
