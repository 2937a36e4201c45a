// Package members knows which dispatchers of a cluster are alive, by gossip: those named in
// the settings are joined and joined again after a cut, others are heard of, suspected when
// they are silent and taken out when nobody reaches them. It carries small messages to all
// in the gossip's own packets. Of what it learns it tells a sink, which must not block.
package members

import (
	"context"
	"fmt"
	stdlog "log"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"frosttide/internal/dispatcher/fleet/clusterport"
	"github.com/hashicorp/memberlist"
	"github.com/sirupsen/logrus"
)

const (
	// The pace of probing and gossip: a member that dies is known to be dead after about
	// three probes, a word is with all fifteen members after some three rounds.
	probeInterval       = 500 * time.Millisecond
	probeTimeout        = 200 * time.Millisecond
	gossipInterval      = 50 * time.Millisecond
	suspicionMultiplier = 3
	// streamTime bounds a whole exchange by TCP.
	streamTimeout = 2 * time.Second
	// Packet is the most bytes that go in a packet.
	MaxPacketSize = 1400
	// Word is the most bytes of one message in a packet.
	MaxUpdateSize = 1200
	// rejoinEvery is how often members named in the settings that are not alive are tried
	// anew. Guards against a cut that lasts longer than the dead are remembered.
	rejoinInterval = 2 * time.Second
	// leaveTime is how long a member that leaves waits for others to hear of it.
	leaveTimeout = 500 * time.Millisecond
	// waiting is how many words may wait to be gossiped; more push out the oldest.
	maxQueued   = 512
	maxMetaSize = 500
)

// Meta is what a member says of itself. Unknown fields of newer builds are passed over.
type Meta struct {
	Site       string `json:"site,omitempty"`
	Build      string `json:"build,omitempty"`
	Epoch      uint64 `json:"epoch"`          // drawn at its start, higher than before
	Disk       string `json:"disk,omitempty"` // names the log on its disk; empty for none
	Log        bool   `json:"log,omitempty"`  // it has a log that has begun
	KnownIndex uint64 `json:"knew,omitempty"` // how far it knew at its start that the log had gone
	Draining   bool   `json:"drain,omitempty"`
	Stage      uint8  `json:"stage,omitempty"` // how far it has come back (recovery/stage)
	Leaving    bool   `json:"goes,omitempty"`  // it has said farewell: memberlist does not tell
}

// Life is how a member does.
type Status string

// The lives of members.
const (
	Alive    Status = "alive"
	Dead     Status = "dead"
	Departed Status = "left"
)

// Info is a member as the others see it.
type Info struct {
	Name   string `json:"name"`
	Addr   string `json:"address"`
	Status Status `json:"life"`
	// Trip is what nearly every packet there and back takes at most, by probes from here; 0 where
	// none is known.
	RTT time.Duration `json:"trip,omitempty"`
	Meta
}

// Sink is told what happens.
type Sink interface {
	Joined(Info)
	Changed(Info)
	Departed(Info)
	UpdateReceived(update []byte) // its own copy
	NameConflict(mine, other Info)
}

// Config says who the member is.
type Config struct {
	Name  string
	Seeds []string // addresses
	Meta  Meta
}

// Members is one member's view of all. Make it with New.
type Members struct {
	log        *logrus.Entry
	cfg        Config
	sink       Sink
	memberlist *memberlist.Memberlist
	broadcasts *memberlist.TransmitLimitedQueue

	announceMu sync.Mutex // held by the one that tells the others

	mu       sync.Mutex
	meta     Meta
	alive    map[string]Info // who is alive, by name: memberlist's own list may change while it is read
	departed map[string]Info // the last ones, by name, bounded by remembered
	// trips are the ways to those who are alive, by name.
	rtts map[string]*rttEstimate
}

// remembered is how many members that are gone are still listed.
const maxDeparted = 64

// New starts the gossip on a port.
func New(cfg Config, port *clusterport.Port, sink Sink, log *logrus.Entry) (*Members, error) {
	m := &Members{log: log, cfg: cfg, sink: sink, meta: cfg.Meta, alive: map[string]Info{}, departed: map[string]Info{}, rtts: map[string]*rttEstimate{}}
	ip, n, err := port.Host()
	if err != nil {
		return nil, err
	}
	c := memberlist.DefaultLANConfig()
	c.Name, c.Transport = cfg.Name, newTransport(port)
	c.BindAddr, c.BindPort, c.AdvertiseAddr, c.AdvertisePort = ip.String(), n, ip.String(), n
	c.ProbeInterval, c.ProbeTimeout, c.GossipInterval, c.SuspicionMult = probeInterval, probeTimeout, gossipInterval, suspicionMultiplier
	c.PushPullInterval, c.TCPTimeout = 10*time.Second, streamTimeout
	c.UDPBufferSize, c.EnableCompression = MaxPacketSize, true
	c.Delegate, c.Events, c.Conflict = (*delegate)(m), (*events)(m), (*conflicts)(m)
	c.Ping = (*pings)(m)
	c.Logger = stdlog.New(debugWriter{log}, "", 0)
	c.DNSConfigPath = ""
	m.broadcasts = &memberlist.TransmitLimitedQueue{RetransmitMult: 3, NumNodes: m.count}
	if m.memberlist, err = memberlist.Create(c); err != nil {
		return nil, fmt.Errorf("cluster: %w", err)
	}
	return m, nil
}

// Run joins those named in the settings, now and after each cut, until the context ends.
func (m *Members) Run(ctx context.Context) {
	wait := time.Duration(0)
	for {
		t := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
		m.join()
		wait = rejoinInterval/2 + rand.N(rejoinInterval) // so that all don't try at once
	}
}

// join tries the seeds that are not alive, and members that have been lost.
func (m *Members) join() {
	alive := map[string]bool{}
	m.mu.Lock()
	for _, i := range m.alive {
		alive[i.Addr] = true
	}
	candidates := slices.Clone(m.cfg.Seeds)
	for _, i := range m.departed {
		if i.Status == Dead && !slices.Contains(candidates, i.Addr) {
			candidates = append(candidates, i.Addr)
		}
	}
	m.mu.Unlock()
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	tried := 0
	for _, addr := range candidates {
		if alive[addr] || tried == 3 {
			continue
		}
		tried++
		if _, err := m.memberlist.Join([]string{addr}); err != nil {
			m.log.WithError(err).WithField("addr", addr).Debug("member not reached")
		}
	}
}

func (m *Members) count() int { return max(m.memberlist.NumMembers(), 1) }

// Alive returns who is alive, the member itself included, ordered by name.
func (m *Members) Alive() []Info {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]Info, 0, len(m.alive))
	for _, i := range m.alive {
		out = append(out, m.withRTT(i))
	}
	slices.SortFunc(out, func(a, b Info) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// All returns who is alive and those who are gone, as far as they are remembered.
func (m *Members) All() []Info {
	out := m.Alive()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, i := range m.departed {
		if !slices.ContainsFunc(out, func(o Info) bool { return o.Name == i.Name }) {
			out = append(out, i)
		}
	}
	slices.SortFunc(out, func(a, b Info) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Update changes what the member says of itself and tells the others.
func (m *Members) Update(change func(*Meta)) {
	m.mu.Lock()
	previous := m.meta
	change(&m.meta)
	same := previous == m.meta
	m.mu.Unlock()
	if !same {
		m.announce(time.Millisecond) // with 0 memberlist would wait until the word has gone out, for ever if need be
	}
}

// retell has the others hear what the member says of itself, and waits for that so long. Guards
// memberlist, which reads the member's own entry beside its lock, from two that tell at once.
func (m *Members) announce(wait time.Duration) {
	m.announceMu.Lock()
	defer m.announceMu.Unlock()
	if err := m.memberlist.UpdateNode(wait); err != nil {
		m.log.WithError(err).Debug("the others hear of it later")
	}
}

// Say gossips a word under a key; a later one under the same key takes its place. A word
// that is too long is not said and false is returned.
func (m *Members) Broadcast(key string, update []byte) bool {
	if len(update) > MaxUpdateSize {
		return false
	}
	m.broadcasts.QueueBroadcast(&broadcast{key: key, update: update})
	if m.broadcasts.NumQueued() > maxQueued+maxQueued/8 {
		m.broadcasts.Prune(maxQueued)
	}
	return true
}

// Waiting returns how many words wait to be gossiped.
func (m *Members) Queued() int { return m.broadcasts.NumQueued() }

// Leave tells the others that the member goes, and ends its gossip. It takes up to leaveTime.
func (m *Members) Leave() {
	m.mu.Lock()
	m.meta.Leaving = true
	m.mu.Unlock()
	m.announce(leaveTimeout / 2)
	if err := m.memberlist.Leave(leaveTimeout / 2); err != nil {
		m.log.WithError(err).Debug("the others may not have heard that this member leaves")
	}
	m.Close()
}

// Close ends the gossip without a word.
func (m *Members) Close() {
	if err := m.memberlist.Shutdown(); err != nil {
		m.log.WithError(err).Debug("gossip has ended already")
	}
}

// Join tries an address that an operator names.
func (m *Members) Join(addr string) error {
	if _, err := m.memberlist.Join([]string{addr}); err != nil {
		return fmt.Errorf("cluster: %w", err)
	}
	return nil
}
