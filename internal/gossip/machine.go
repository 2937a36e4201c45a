package gossip

import (
	"math/rand/v2"
	"time"

	"frosttide/internal/protocol"
	"frosttide/internal/routeconfig"
	"frosttide/internal/view"
)

// Config identifies a process.
type Config struct {
	Address  string   // internal address, host:port
	Role     string   // as in protocol.Hello
	Contacts []string // internal addresses of the seeds, which are contacted while nobody else is known
	Seed     uint64   // of the random choices; differs between processes
}

// rngStream separates the random choices of this package from those that others draw from the same seed.
const rngStream = 7

// Machine is the state machine of one process; see the package comment.
type Machine struct {
	cfg   Config
	rng   *rand.Rand
	now   time.Duration       // of the newest event, on the steady clock
	sends []protocol.Outbound // since the last TakeSends

	// Peer sampling.
	neighbors       []*protocol.Neighbor // the partial view
	offered         []*protocol.Neighbor // sent with the newest shuffle; the first to be replaced by its answer
	nextShuffle     time.Duration
	shuffleInterval time.Duration // between the last two shuffles
	shuffleCount    int

	// Dissemination.
	config       *routeconfig.Table
	view         *protocol.View // nil before the first
	nextRumor    time.Duration
	hotRounds    int           // rumors that remain to be sent at hotRumorInterval
	pullDeadline time.Duration // until which no further delta is requested
}

// New returns the machine of a process that knows its contacts only.
func New(cfg Config) *Machine {
	return &Machine{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, rngStream)), config: routeconfig.Empty()}
}

// Config returns the newest configuration that is known, the empty one before the first.
func (m *Machine) Config() *routeconfig.Table { return m.config }

// View returns the newest view that is known, nil before the first.
func (m *Machine) View() *protocol.View { return m.view }

// Neighbors returns the partial view. The caller does not change it.
func (m *Machine) Neighbors() []*protocol.Neighbor { return m.neighbors }

// SetContacts replaces the seeds. An empty list changes nothing.
func (m *Machine) SetContacts(contacts []string) {
	if len(contacts) > 0 {
		m.cfg.Contacts = contacts
	}
}

// TakeSends returns the messages that are to be sent since the last call.
func (m *Machine) TakeSends() []protocol.Outbound {
	out := m.sends
	m.sends = nil
	return out
}

// SetConfig announces a configuration that this process has from its source. One that is not newer changes nothing.
func (m *Machine) SetConfig(now time.Duration, t *routeconfig.Table) {
	m.now = now
	m.adoptConfig(t, "")
}

// SetView announces a view that this process has learned of otherwise than by gossip. One that is not newer, or not
// valid, changes nothing.
func (m *Machine) SetView(now time.Duration, v *protocol.View) {
	m.now = now
	m.adoptView(v, "")
}

// Tick advances the time and sends the messages that have become due.
func (m *Machine) Tick(now time.Duration) {
	m.now = now
	if now >= m.nextShuffle {
		m.beginShuffle()
	}
	if now >= m.nextRumor {
		m.sendPeriodicRumor()
	}
}

// Receive handles a gossip message from the process at an internal address. Messages of other kinds are ignored.
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

// ObserveVersion records that another process has a version of the configuration, and requests a delta if it is newer.
func (m *Machine) ObserveVersion(now time.Duration, from string, version uint64) {
	m.now = now
	if version <= m.config.Version || now < m.pullDeadline {
		return
	}
	m.requestDelta(from)
}

// adoptConfig installs a configuration if it is newer, and disseminates it to processes other than its sender.
func (m *Machine) adoptConfig(t *routeconfig.Table, from string) {
	if t.Version > m.config.Version {
		m.config = t
		m.disseminate(from)
	}
}

// adoptView installs a view if it is newer and valid, and disseminates it to processes other than its sender.
func (m *Machine) adoptView(v *protocol.View, from string) {
	if v.GetEpoch() > m.view.GetEpoch() && view.Valid(v) {
		m.view = v
		m.disseminate(from)
	}
}

func (m *Machine) send(to string, e *protocol.Envelope) {
	m.sends = append(m.sends, protocol.Outbound{To: to, Message: e})
}
