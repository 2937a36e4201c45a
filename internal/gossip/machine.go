package gossip

import (
	"math/rand/v2"
	"time"

	"frosttide/internal/protocol"
	"frosttide/internal/routeconfig"
	"frosttide/internal/view"
)

// Config identifies a process and the seeds that it contacts first.
type Config struct {
	Address  string   // internal address, host:port
	Role     string   // as in protocol.Hello
	Contacts []string // internal addresses of the seeds, contacted while the partial view is empty
	Seed     uint64   // of the random number generator; differs between processes
}

// rngStream is the generator's second seed word, so that other packages that use the same seed draw
// different numbers.
const rngStream = 7

// Machine is the state machine of one process; see the package comment.
type Machine struct {
	cfg   Config
	rng   *rand.Rand
	now   time.Duration       // time of the current call, on the host's monotonic clock
	sends []protocol.Outbound // messages queued since the last TakeSends

	// Peer sampling.
	neighbors       []*protocol.Neighbor // the partial view
	offered         []*protocol.Neighbor // sent with the last shuffle; its reply replaces them first
	nextShuffle     time.Duration
	shuffleInterval time.Duration // current interval between shuffles
	shuffleCount    int

	// Dissemination.
	config       *routeconfig.Table
	view         *protocol.View // nil before the first
	nextRumor    time.Duration
	hotRounds    int           // number of rumors still to be sent at hotRumorInterval
	pullDeadline time.Duration // no further delta is requested before it
}

// New returns the machine of a process, with an empty partial view and an empty configuration.
func New(cfg Config) *Machine {
	return &Machine{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, rngStream)), config: routeconfig.Empty()}
}

// Config returns the newest known configuration, which is empty until the first one is adopted.
func (m *Machine) Config() *routeconfig.Table { return m.config }

// View returns the newest known view, nil before the first.
func (m *Machine) View() *protocol.View { return m.view }

// Neighbors returns the partial view. The caller must not modify it.
func (m *Machine) Neighbors() []*protocol.Neighbor { return m.neighbors }

// SetContacts replaces the seeds. An empty list is ignored.
func (m *Machine) SetContacts(contacts []string) {
	if len(contacts) > 0 {
		m.cfg.Contacts = contacts
	}
}

// TakeSends returns the messages to be sent that were queued since the last call.
func (m *Machine) TakeSends() []protocol.Outbound {
	out := m.sends
	m.sends = nil
	return out
}

// SetConfig adopts and disseminates a configuration that this process obtained from its source
// rather than by gossip. One that is not newer is ignored.
func (m *Machine) SetConfig(now time.Duration, t *routeconfig.Table) {
	m.now = now
	m.adoptConfig(t, "")
}

// SetView adopts and disseminates a view that this process learned of by other means than gossip.
// One that is not newer, or not valid, is ignored.
func (m *Machine) SetView(now time.Duration, v *protocol.View) {
	m.now = now
	m.adoptView(v, "")
}

// Tick advances the time and queues the shuffle and the rumor that are due.
func (m *Machine) Tick(now time.Duration) {
	m.now = now
	if now >= m.nextShuffle {
		m.beginShuffle()
	}
	if now >= m.nextRumor {
		m.sendPeriodicRumor()
	}
}

// Receive handles a gossip message from the process at an internal address. Messages of other kinds
// are ignored.
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

// ObserveVersion handles the information that another process has a version of the configuration:
// it requests a delta if that is newer and no other delta is pending.
func (m *Machine) ObserveVersion(now time.Duration, from string, version uint64) {
	m.now = now
	if version <= m.config.Version || now < m.pullDeadline {
		return
	}
	m.requestDelta(from)
}

// adoptConfig installs a configuration if it is newer, and disseminates it to neighbors other than
// its sender.
func (m *Machine) adoptConfig(t *routeconfig.Table, from string) {
	if t.Version > m.config.Version {
		m.config = t
		m.disseminate(from)
	}
}

// adoptView installs a view if it is newer and valid, and disseminates it to neighbors other than
// its sender.
func (m *Machine) adoptView(v *protocol.View, from string) {
	if v.GetEpoch() > m.view.GetEpoch() && view.Valid(v) {
		m.view = v
		m.disseminate(from)
	}
}

func (m *Machine) send(to string, e *protocol.Envelope) {
	m.sends = append(m.sends, protocol.Outbound{To: to, Message: e})
}
