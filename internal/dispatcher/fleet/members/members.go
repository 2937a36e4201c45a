// Package members maintains a dispatcher's view of which dispatchers of the cluster are alive,
// using the SWIM protocol (Das, Gupta & Motivala 2002) as implemented by hashicorp/memberlist. A
// member joins the configured seeds, and joins them again after a partition. It learns of the other
// members by gossip, suspects those that do not respond to probes, and removes those that no member
// reaches. Small updates are piggybacked on the gossip packets to all members.
//
// Package cluster runs the membership and receives its events through a Sink, on memberlist's
// goroutines. All methods of Members are safe for concurrent use.
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
	// Timing of probes and gossip: a failed member is detected after about three probes, and an
	// update reaches fifteen members after about three gossip rounds.
	probeInterval       = 500 * time.Millisecond
	probeTimeout        = 200 * time.Millisecond
	gossipInterval      = 50 * time.Millisecond
	suspicionMultiplier = 3
	// streamTimeout limits a whole exchange over TCP.
	streamTimeout = 2 * time.Second
	// MaxPacketSize is the maximum size of a UDP gossip packet, in bytes.
	MaxPacketSize = 1400
	// MaxUpdateSize is the maximum size of one update given to Broadcast, in bytes.
	MaxUpdateSize = 1200
	// rejoinInterval is the mean interval at which the member tries to join seeds and failed
	// members that are not alive. memberlist forgets dead members; without these attempts, a
	// partition that outlasts that would be permanent.
	rejoinInterval = 2 * time.Second
	// leaveTimeout limits how long a leaving member waits for its announcements to be sent.
	leaveTimeout = 500 * time.Millisecond
	// maxQueued is the number of updates to which the gossip queue is cut back, oldest first, once
	// it exceeds that number by an eighth.
	maxQueued = 512
	// maxMetaSize is the maximum size of a member's encoded metadata, in bytes.
	maxMetaSize = 500
)

// Meta is the metadata that a member publishes about itself by gossip. Unknown fields of newer
// builds are ignored.
type Meta struct {
	Site       string `json:"site,omitempty"`
	Build      string `json:"build,omitempty"`
	Epoch      uint64 `json:"epoch"`           // incarnation number, increases with each start
	Disk       string `json:"disk,omitempty"`  // ID of the disk that holds its log; empty for none
	Log        bool   `json:"log,omitempty"`   // its log has at least one entry
	KnownIndex uint64 `json:"knew,omitempty"`  // log index that it knew of at its start
	Draining   bool   `json:"drain,omitempty"` // it accepts no more jobs
	Stage      uint8  `json:"stage,omitempty"` // rejoin stage, see package recovery/stage
	Leaving    bool   `json:"goes,omitempty"`  // leaving; memberlist reports that as a failure
}

// Status says whether a member is alive, and if not, whether it failed or left.
type Status string

// The statuses of members.
const (
	Alive    Status = "alive"
	Dead     Status = "dead" // failed: no member reaches it, and it had not announced its departure
	Departed Status = "left" // left after announcing its departure
)

// Info describes a member as seen by this one.
type Info struct {
	Name   string `json:"name"`
	Addr   string `json:"address"`
	Status Status `json:"life"`
	// RTT is an upper bound of nearly all round-trip times to the member, estimated from this
	// member's probes; 0 if unknown.
	RTT time.Duration `json:"trip,omitempty"`
	Meta
}

// Sink receives the membership events. Its methods are called from several goroutines and must not
// block.
type Sink interface {
	Joined(Info)                   // a member is new or has returned, also this member itself
	Changed(Info)                  // a member has published other metadata
	Departed(Info)                 // a member has failed or left; see Info.Status
	UpdateReceived(update []byte)  // an update was received; the sink owns the slice
	NameConflict(mine, other Info) // a member at another address uses a name that is in use
}

// Config configures a member.
type Config struct {
	Name  string   // unique in the cluster
	Seeds []string // addresses of members to join
	Meta  Meta     // metadata published from the start
}

// Members is this member's view of the cluster. Use New to create one.
type Members struct {
	log        *logrus.Entry
	cfg        Config
	sink       Sink
	memberlist *memberlist.Memberlist
	broadcasts *memberlist.TransmitLimitedQueue

	announceMu sync.Mutex // serialises announcements of the metadata

	mu       sync.Mutex
	meta     Meta
	alive    map[string]Info // by name; memberlist's own list may change while it is read
	departed map[string]Info // by name, at most maxDeparted
	// rtts are the round-trip estimates of the live members, by name.
	rtts map[string]*rttEstimate
}

// maxDeparted is the maximum number of failed and departed members that are remembered.
const maxDeparted = 64

// New starts gossip on a port; Run joins the other members. The caller closes the port after Leave
// or Close. An error says that the port's address is not numeric or that memberlist cannot start.
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
	c.Delegate, c.Events, c.Conflict = (*delegate)(m), (*eventDelegate)(m), (*conflictDelegate)(m)
	c.Ping = (*pingDelegate)(m)
	c.Logger = stdlog.New(debugWriter{log}, "", 0)
	c.DNSConfigPath = ""
	m.broadcasts = &memberlist.TransmitLimitedQueue{RetransmitMult: 3, NumNodes: m.clusterSize}
	if m.memberlist, err = memberlist.Create(c); err != nil {
		return nil, fmt.Errorf("cluster: %w", err)
	}
	return m, nil
}

// Run joins the seeds and failed members that are not alive, at the start and then periodically,
// until ctx ends.
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
		m.joinMissing()
		wait = rejoinInterval/2 + rand.N(rejoinInterval) // jitter: not all members try at once
	}
}

// joinMissing tries to join up to three of the seeds and failed members that are not alive, chosen
// at random.
func (m *Members) joinMissing() {
	aliveAddrs := map[string]bool{}
	m.mu.Lock()
	for _, i := range m.alive {
		aliveAddrs[i.Addr] = true
	}
	candidates := slices.Clone(m.cfg.Seeds)
	for _, i := range m.departed {
		if i.Status == Dead && !slices.Contains(candidates, i.Addr) {
			candidates = append(candidates, i.Addr)
		}
	}
	m.mu.Unlock()
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	attempts := 0
	for _, addr := range candidates {
		if aliveAddrs[addr] || attempts == 3 {
			continue
		}
		attempts++
		if _, err := m.memberlist.Join([]string{addr}); err != nil {
			m.log.WithError(err).WithField("addr", addr).Debug("failed to join member")
		}
	}
}

// clusterSize returns the number of live members, from which memberlist derives how often an update
// is retransmitted.
func (m *Members) clusterSize() int { return max(m.memberlist.NumMembers(), 1) }

// Alive returns the live members, including this one, ordered by name, with their round-trip times.
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

// Update changes this member's metadata, and announces it to the other members if it differs from
// before. It waits at most 1 ms for that. change is called with a lock held and must not call
// methods of Members.
func (m *Members) Update(change func(*Meta)) {
	m.mu.Lock()
	previous := m.meta
	change(&m.meta)
	same := previous == m.meta
	m.mu.Unlock()
	if !same {
		m.announce(time.Millisecond) // with 0, memberlist waits for the sending without a timeout
	}
}

// announce gossips this member's metadata and waits up to timeout until that is sent. Announcements
// are serialised, because memberlist reads the member's own entry without holding its lock.
func (m *Members) announce(timeout time.Duration) {
	m.announceMu.Lock()
	defer m.announceMu.Unlock()
	if err := m.memberlist.UpdateNode(timeout); err != nil {
		m.log.WithError(err).Debug("metadata update not sent yet")
	}
}

// Broadcast queues an update for gossip to all members. A later update under the same key replaces
// one that is still queued. It returns false if the update exceeds MaxUpdateSize; such an update is
// not sent.
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

// Queued returns the number of updates in the gossip queue.
func (m *Members) Queued() int { return m.broadcasts.NumQueued() }

// Leave announces that this member is leaving and then stops gossip. The announcements wait up to
// leaveTimeout in all.
func (m *Members) Leave() {
	m.mu.Lock()
	m.meta.Leaving = true
	m.mu.Unlock()
	m.announce(leaveTimeout / 2)
	if err := m.memberlist.Leave(leaveTimeout / 2); err != nil {
		m.log.WithError(err).Debug("leave announcement may not have been sent")
	}
	m.Close()
}

// Close stops gossip without an announcement: the other members see a failure.
func (m *Members) Close() {
	if err := m.memberlist.Shutdown(); err != nil {
		m.log.WithError(err).Debug("failed to shut down gossip")
	}
}

// Join joins the cluster through the member at an address, as requested by an operator. An error
// says why no member was reached there.
func (m *Members) Join(addr string) error {
	if _, err := m.memberlist.Join([]string{addr}); err != nil {
		return fmt.Errorf("cluster: %w", err)
	}
	return nil
}
