// Package members maintains a dispatcher's view of which dispatchers of the cluster are alive, by
// the SWIM protocol (Das, Gupta & Motivala 2002) as implemented by hashicorp/memberlist.
// Configured seeds are joined, and joined again after a partition; the others are learned by
// gossip, suspected when they do not respond, and removed when no member reaches them. Small
// updates travel to all members in the gossip packets.
//
// Package cluster is the only user. What the package learns it reports to a Sink, from
// memberlist's goroutines. All methods of Members are safe for concurrent use.
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
	// The intervals of probing and gossip: a failed member is detected after about
	// three probes, and an update reaches fifteen members after about three rounds.
	probeInterval       = 500 * time.Millisecond
	probeTimeout        = 200 * time.Millisecond
	gossipInterval      = 50 * time.Millisecond
	suspicionMultiplier = 3
	// streamTimeout bounds a whole exchange over TCP.
	streamTimeout = 2 * time.Second
	// MaxPacketSize is the size limit of a UDP packet, in bytes.
	MaxPacketSize = 1400
	// MaxUpdateSize is the size limit of one update in a packet, in bytes.
	MaxUpdateSize = 1200
	// rejoinInterval is the interval at which seeds and lost members that are not alive are tried
	// again. memberlist forgets the dead; without this, a partition that lasts longer than that
	// would be permanent.
	rejoinInterval = 2 * time.Second
	// leaveTimeout bounds how long a leaving member waits until others have learned of it.
	leaveTimeout = 500 * time.Millisecond
	// maxQueued is how many updates may be queued for gossip; more replace the oldest.
	maxQueued   = 512
	maxMetaSize = 500
)

// Meta is what a member publishes about itself. Unknown fields of newer builds are ignored.
type Meta struct {
	Site       string `json:"site,omitempty"`
	Build      string `json:"build,omitempty"`
	Epoch      uint64 `json:"epoch"`          // drawn at its start; higher than those before
	Disk       string `json:"disk,omitempty"` // ID of the disk that holds its log; empty for none
	Log        bool   `json:"log,omitempty"`  // its log has at least one entry
	KnownIndex uint64 `json:"knew,omitempty"` // index that the log had reached, as known at its start
	Draining   bool   `json:"drain,omitempty"`
	Stage      uint8  `json:"stage,omitempty"` // its rejoin stage (recovery/stage)
	Leaving    bool   `json:"goes,omitempty"`  // it is leaving; memberlist does not distinguish that from a failure
}

// Status is whether a member is alive, and how it ended otherwise.
type Status string

// The statuses of members.
const (
	Alive    Status = "alive"
	Dead     Status = "dead"
	Departed Status = "left"
)

// Info is a member as seen by this one.
type Info struct {
	Name   string `json:"name"`
	Addr   string `json:"address"`
	Status Status `json:"life"`
	// RTT is a bound that nearly every round trip to the member stays below, as probed from here;
	// 0 if unknown.
	RTT time.Duration `json:"trip,omitempty"`
	Meta
}

// Sink receives the events of the membership, from several goroutines. No method may block.
type Sink interface {
	Joined(Info)
	Changed(Info)
	Departed(Info)
	UpdateReceived(update []byte) // the sink owns the slice
	NameConflict(mine, other Info)
}

// Config configures a member.
type Config struct {
	Name  string
	Seeds []string // addresses to join
	Meta  Meta
}

// Members is one member's view of the cluster; New creates it.
type Members struct {
	log        *logrus.Entry
	cfg        Config
	sink       Sink
	memberlist *memberlist.Memberlist
	broadcasts *memberlist.TransmitLimitedQueue

	announceMu sync.Mutex // held while the metadata is announced

	mu       sync.Mutex
	meta     Meta
	alive    map[string]Info // by name; memberlist's own list may change while it is read
	departed map[string]Info // by name, at most maxDeparted
	// rtts are the round-trip estimates of the live members, by name.
	rtts map[string]*rttEstimate
}

// maxDeparted is how many departed members are remembered.
const maxDeparted = 64

// New starts the gossip on a port. The caller closes the port after Leave or Close.
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

// Run joins the seeds, at the start and after each partition, until ctx ends.
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
		wait = rejoinInterval/2 + rand.N(rejoinInterval) // spread, so that not all members try at once
	}
}

// join tries up to three of the seeds and lost members that are not alive.
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

// Alive returns the live members, including this one, ordered by name.
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

// All returns the live and the remembered departed members, ordered by name.
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

// Update changes the member's metadata and announces it to the others if it differs.
func (m *Members) Update(change func(*Meta)) {
	m.mu.Lock()
	previous := m.meta
	change(&m.meta)
	same := previous == m.meta
	m.mu.Unlock()
	if !same {
		m.announce(time.Millisecond) // with 0 memberlist waits without a bound until the update is sent
	}
}

// announce sends the member's metadata to the others and waits for that up to wait. Announcements
// are serialised, because memberlist reads the member's own entry outside its lock.
func (m *Members) announce(wait time.Duration) {
	m.announceMu.Lock()
	defer m.announceMu.Unlock()
	if err := m.memberlist.UpdateNode(wait); err != nil {
		m.log.WithError(err).Debug("the others hear of it later")
	}
}

// Broadcast gossips an update under a key; a later update under the same key replaces one that is
// still queued. It returns false for an update over MaxUpdateSize, which is not sent.
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

// Queued returns the number of updates that wait to be gossiped.
func (m *Members) Queued() int { return m.broadcasts.NumQueued() }

// Leave announces that the member is leaving, and ends its gossip. It takes up to leaveTimeout.
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

// Close ends the gossip without an announcement.
func (m *Members) Close() {
	if err := m.memberlist.Shutdown(); err != nil {
		m.log.WithError(err).Debug("gossip has ended already")
	}
}

// Join joins through an address that an operator names. Its error says why that failed.
func (m *Members) Join(addr string) error {
	if _, err := m.memberlist.Join([]string{addr}); err != nil {
		return fmt.Errorf("cluster: %w", err)
	}
	return nil
}
