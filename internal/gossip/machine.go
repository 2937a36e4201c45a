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
	// viewSize is how many others a process knows.
	viewSize = 8
	// shuffleSize is how many of them are exchanged at a time.
	shuffleSize = 4
	// shuffleFirst and shuffleEvery are how often that is done, at first and once the samples are mixed.
	shuffleFirst = 200 * time.Millisecond
	shuffleEvery = 2 * time.Second
	shuffleGrow  = 1.25
	// contactEvery is how many shuffles pass until one is done with a contact too.
	contactEvery = 4
	// rumorEvery is how often a random neighbor is told of the versions, so that what was lost on the way
	// arrives all the same.
	rumorEvery = 300 * time.Millisecond
	// retellEvery is how soon something new is told to further ones, retellTimes times.
	retellEvery = 60 * time.Millisecond
	retellTimes = 3
	// fanOut is how many neighbors are told of something new at once.
	fanOut = 3
	// startEvery is how often contacts are asked while nobody is known.
	startEvery = 150 * time.Millisecond
	// pullPatience is how long a delta is waited for until another is asked for.
	pullPatience = 250 * time.Millisecond
)

// Machine is a process's part in the gossip. It is not safe for concurrent use.
type Machine struct {
	cfg       Config
	rng       *rand.Rand
	now       time.Duration
	neighbors []*protocol.Neighbor
	shuffle   time.Duration // next
	pause     time.Duration // before it
	shuffles  int
	retell    int           // times that something new is still told soon
	rumor     time.Duration // next
	pulling   time.Duration // until when a delta is waited for
	sent      []*protocol.Neighbor
	config    *routeconfig.Table
	view      *protocol.View
	sends     []Send
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
		m.spread("")
	}
}

// SetView notes a view that this process has learned of.
func (m *Machine) SetView(now time.Duration, v *protocol.View) {
	m.now = now
	if v.GetEpoch() > m.view.GetEpoch() && view.Valid(v) {
		m.view = v
		m.spread("")
	}
}

// Tick lets time pass.
func (m *Machine) Tick(now time.Duration) {
	m.now = now
	if now >= m.shuffle {
		m.beginShuffle()
	}
	if now >= m.rumor {
		m.rumor = now + rumorEvery
		if m.retell > 0 {
			m.retell--
			m.rumor = now + retellEvery
		}
		if n := m.random(""); n != "" {
			m.tell(n, false)
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
	m.shuffles++
	if len(m.neighbors) == 0 || m.shuffles%contactEvery == 0 {
		m.shuffleWithContact()
	}
	if len(m.neighbors) == 0 {
		m.shuffle = m.now + startEvery
		return
	}
	m.pause = min(shuffleEvery, max(shuffleFirst, time.Duration(float64(m.pause)*shuffleGrow)))
	m.shuffle = m.now + m.pause
	oldest := slices.MaxFunc(m.neighbors, func(a, b *protocol.Neighbor) int { return cmp.Compare(a.GetAge(), b.GetAge()) })
	m.drop(oldest.GetAddress())
	m.sent = m.sample(shuffleSize - 1)
	m.sendShuffle(oldest.GetAddress(), append([]*protocol.Neighbor{m.self()}, m.sent...), false)
}

// shuffleWithContact keeps samples that began at different contacts, or were cut from each other, from
// staying apart.
func (m *Machine) shuffleWithContact() {
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
	copies := make([]*protocol.Neighbor, len(neighbors))
	for i, n := range neighbors {
		copies[i] = &protocol.Neighbor{Address: n.GetAddress(), Role: n.GetRole(), Age: n.GetAge()}
	}
	m.send(to, &protocol.Envelope{Body: &protocol.Envelope_Shuffle{Shuffle: &protocol.Shuffle{Neighbors: copies, Reply: reply}}})
}

// sample returns random neighbors.
func (m *Machine) sample(most int) []*protocol.Neighbor {
	out := slices.Clone(m.neighbors)
	m.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(most, len(out))]
}

func (m *Machine) drop(address string) {
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
	given := m.sent
	if !s.GetReply() {
		given = m.sample(shuffleSize)
		m.sendShuffle(from, given, true)
	}
	wasAlone := len(m.neighbors) == 0
	m.merge(s.GetNeighbors(), given)
	if wasAlone {
		m.merge([]*protocol.Neighbor{{Address: from}}, nil)
		m.tell(from, false)
	}
}

// merge takes others into the sample, in place of those that were given away where it is full.
func (m *Machine) merge(others, given []*protocol.Neighbor) {
	for _, o := range others {
		if o.GetAddress() == m.cfg.Address || slices.ContainsFunc(m.neighbors, func(n *protocol.Neighbor) bool { return n.GetAddress() == o.GetAddress() }) {
			continue
		}
		if len(m.neighbors) >= viewSize && len(given) > 0 {
			m.drop(given[0].GetAddress())
			given = given[1:]
		}
		if len(m.neighbors) >= viewSize {
			at := m.rng.IntN(len(m.neighbors))
			m.neighbors = slices.Delete(m.neighbors, at, at+1)
		}
		m.neighbors = append(m.neighbors, o)
	}
}

// random returns a random neighbor other than one, empty where there is none.
func (m *Machine) random(but string) string {
	for range 4 {
		if len(m.neighbors) == 0 {
			return ""
		}
		if n := m.neighbors[m.rng.IntN(len(m.neighbors))]; n.GetAddress() != but {
			return n.GetAddress()
		}
	}
	return ""
}

// spread tells some neighbors of something new.
func (m *Machine) spread(but string) {
	m.retell, m.rumor = retellTimes, min(m.rumor, m.now+retellEvery)
	for _, n := range m.sample(fanOut) {
		if n.GetAddress() != but {
			m.tell(n.GetAddress(), false)
		}
	}
}

func (m *Machine) tell(to string, reply bool) {
	m.send(to, &protocol.Envelope{Body: &protocol.Envelope_Rumor{Rumor: &protocol.Rumor{
		ConfigVersion: m.config.Version, ConfigDigest: m.config.Digest, View: m.view, Reply: reply}}})
}

func (m *Machine) onRumor(from string, r *protocol.Rumor) {
	behind := r.GetConfigVersion() < m.config.Version || r.GetView().GetEpoch() < m.view.GetEpoch()
	if r.GetView().GetEpoch() > m.view.GetEpoch() && view.Valid(r.GetView()) {
		m.view = r.GetView()
		m.spread(from)
	}
	m.Hear(m.now, from, r.GetConfigVersion())
	if behind && !r.GetReply() {
		m.tell(from, true)
	}
}

// Hear notes that another process has a version of the configuration.
func (m *Machine) Hear(now time.Duration, from string, version uint64) {
	m.now = now
	if version <= m.config.Version || now < m.pulling {
		return
	}
	m.pull(from, false)
}

func (m *Machine) pull(from string, whole bool) {
	m.pulling = m.now + pullPatience
	m.send(from, &protocol.Envelope{Body: &protocol.Envelope_RumorPull{RumorPull: &protocol.RumorPull{
		HaveVersion: m.config.Version, HaveDigest: m.config.Digest, Whole: whole}}})
}

func (m *Machine) onPull(from string, p *protocol.RumorPull) {
	if p.GetHaveVersion() >= m.config.Version {
		return
	}
	since := p.GetHaveVersion()
	if p.GetWhole() {
		since = 0
	}
	m.send(from, &protocol.Envelope{Body: &protocol.Envelope_ConfigDelta{ConfigDelta: m.config.Since(since)}})
}

func (m *Machine) onDelta(from string, d *protocol.ConfigDelta) {
	m.pulling = 0
	next, ok := m.config.Follow(d)
	if !ok {
		m.pull(from, d.GetFrom() != 0)
		return
	}
	if next.Version > m.config.Version {
		m.config = next
		m.spread(from)
	}
}
