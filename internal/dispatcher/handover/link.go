// Package handover connects two processes of one dispatcher while the platform replaces the older
// one with the newer one.
//
// The processes share the clients' listening socket (Listen) and a Link over a unix socket. On the
// link the older process first sends its state. Then both forward operators' exclusions and reports
// on jobs that the other one holds, and the older one transfers its clients' connections with their
// requests. cmd/frosttide creates the Link; package ingress uses it as its Peer.
//
// Invariants:
//   - A process has at most one peer at a time.
//   - Every wait for the peer has a timeout.
//   - The link is closed if the peer violates the protocol or sends nothing for silenceTimeout.
//
// All methods of Link are safe for concurrent use.
package handover

import (
	"fmt"
	"hash/fnv"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"frosttide/internal/dispatcher/core"
)

const (
	// dialTimeout limits connecting to the older process and waiting for its response to
	// AnnounceReady. stateTimeout limits waiting for its state: the newer process has to be ready
	// within 6 s, with the state or without it.
	dialTimeout  = time.Second
	stateTimeout = 2 * time.Second
	// transferResponseTimeout is how long the newer process may take to respond whether it serves a
	// connection that it was sent.
	transferResponseTimeout = time.Second
	// maxSocketPath is the longest path, in bytes, that is used as the address of a unix socket. It
	// is below the limit of the kernel.
	maxSocketPath = 100
)

// Core is what the link uses of the core; *core.Core implements it. None of its methods blocks.
type Core interface {
	// Snapshot passes the state for a newer process to a callback that runs on another goroutine.
	Snapshot(to func(core.Snapshot))
	// Restore takes over the state of an older process.
	Restore(core.Snapshot)
	// ApplyExclusion applies an exclusion or reinstatement that was decided at the other process.
	ApplyExclusion(core.Exclusion)
}

// RouteTable is what the link uses of the list of workers. It does not block.
type RouteTable interface {
	// Snapshot passes the address of discovery, and the list in discovery's format, to a callback
	// that runs on another goroutine.
	Snapshot(to func(discovery string, list []byte))
}

// Adopt takes over a client's connection from the older process, with the bytes of the request that
// were read from it and the state of that request. It reports whether the connection will be
// served.
type Adopt func(c net.Conn, request []byte, moved *core.MovedRequest) bool

// Report handles a worker's report that the other process has forwarded, and calls result with
// whether this process holds the job. It does not block.
type Report func(ev core.JobEvent, result func(core.ReportResult))

// Link is this process's end of the connection to another process of the same dispatcher. Its peer
// is first the older process, and after that one has ended the newer one.
type Link struct {
	core           Core
	routeTable     RouteTable
	onProcessCount func(processes int)
	adopt          Adopt
	report         Report
	log            *logrus.Entry
	path           string

	mu       sync.Mutex
	listener *net.UnixListener
	peer     *peer // nil without another process
}

// Path returns the path of the unix socket over which the processes of a dispatcher connect. It
// contains a hash of the address on which they listen for clients, so that several dispatchers may
// share the directory.
func Path(dir, listen string) string {
	name := fnv.New32a()
	name.Write([]byte(listen))
	return filepath.Join(dir, fmt.Sprintf("frosttide-%08x.sock", name.Sum32()))
}

// New returns a link without a peer. It calls onProcessCount with the number of processes of the
// dispatcher, 1 or 2, whenever that changes.
func New(path string, c Core, routeTable RouteTable, onProcessCount func(processes int), adopt Adopt, report Report, log *logrus.Entry) *Link {
	return &Link{core: c, routeTable: routeTable, onProcessCount: onProcessCount, adopt: adopt, report: report, log: log, path: path}
}

// socketAddress returns the address of a unix socket. For a path longer than maxSocketPath it also
// returns the open directory that the address refers to, which the caller closes after use;
// otherwise that is nil.
func socketAddress(path string) (*net.UnixAddr, *os.File, error) {
	if len(path) <= maxSocketPath {
		return &net.UnixAddr{Name: path, Net: "unix"}, nil, nil
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return nil, nil, errors.Wrap(err, "opening the directory of the link's socket")
	}
	name := fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path))
	return &net.UnixAddr{Name: name, Net: "unix"}, dir, nil
}

// Dial connects to the older process, if there is one, and takes over its state: it restores the
// core's part and returns the whole. It returns nil without an older process or if the state does
// not arrive within stateTimeout. In the latter case the link stays open, as jobs and reports still
// have to reach the process that they belong to.
func (l *Link) Dial() *State {
	addr, dir, err := socketAddress(l.path)
	if err != nil {
		l.log.WithError(err).Warn("no state taken over")
		return nil
	}
	defer dir.Close() // dir may be nil
	dialer := net.Dialer{Deadline: time.Now().Add(dialTimeout)}
	c, err := dialer.Dial("unix", addr.Name)
	if err != nil {
		l.log.WithError(err).Debug("no older process")
		return nil
	}
	p := newPeer(l, c.(*net.UnixConn))
	p.awaitingState.Store(true)
	go p.writeLoop()
	go p.readLoop()
	state, err := p.awaitState(stateTimeout)
	l.onProcessCount(2) // before setPeer, as the end of the link sets it to 1
	if !l.setPeer(p) {
		l.onProcessCount(1)
	}
	if err != nil {
		l.log.WithError(err).Warn("no state taken over")
		return nil
	}
	l.log.Info("state of the older process taken over")
	return state
}

// setPeer sets the peer if its connection is still open, and reports whether it is.
func (l *Link) setPeer(p *peer) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-p.done:
		return false
	default:
		l.peer = p
		return true
	}
}

// Serve replaces the older process's socket at the path with its own, and accepts newer processes
// in a goroutine that ends with Close.
func (l *Link) Serve() error {
	tempPath := l.path + ".new"
	if err := os.Remove(tempPath); err != nil && !errors.Is(err, os.ErrNotExist) {
		return errors.Wrap(err, "removing a leftover of the link's socket")
	}
	addr, dir, err := socketAddress(tempPath)
	if err != nil {
		return err
	}
	defer dir.Close()
	listener, err := net.ListenUnix("unix", addr)
	if err != nil {
		return errors.Wrap(err, "listening on the link's socket")
	}
	listener.SetUnlinkOnClose(false) // by then the path may belong to a newer process
	if err := os.Rename(tempPath, l.path); err != nil {
		listener.Close()
		return errors.Wrap(err, "renaming the link's socket")
	}
	l.mu.Lock()
	l.listener = listener
	l.mu.Unlock()
	go func() {
		for {
			c, err := listener.AcceptUnix()
			if err != nil {
				return
			}
			l.handleSuccessor(c)
		}
	}()
	return nil
}

// AnnounceReady notifies the older process that this one serves, and waits up to dialTimeout for
// its confirmation. The older process has to know before its SIGTERM, which the platform sends with
// its next check.
func (l *Link) AnnounceReady() {
	if p := l.currentPeer(); p != nil && p.request(message{Ready: true}, time.Now().Add(dialTimeout)) != accepted {
		l.log.Warn("the older process did not confirm that this one serves")
	}
}

// handleSuccessor makes a newer process the peer and sends it the state. If there is a peer
// already, it closes the new connection.
func (l *Link) handleSuccessor(c *net.UnixConn) {
	p := newPeer(l, c)
	l.mu.Lock()
	alreadyLinked := l.peer != nil
	if !alreadyLinked {
		l.peer = p // set before the snapshot, so that all later exclusions are forwarded
	}
	l.mu.Unlock()
	if alreadyLinked {
		l.log.Warn("connection of a further process closed; another one is linked already")
		p.close()
		return
	}
	l.onProcessCount(2)
	l.sendState(p)
}

// sendState sends the state to a peer and starts the peer's loops. The core and the route table
// provide their parts from their own goroutines; the link is closed if they take longer than
// silenceTimeout.
func (l *Link) sendState(p *peer) {
	var s State
	answers := make(chan struct{}, 2)
	l.core.Snapshot(func(c core.Snapshot) {
		s.Core = c
		answers <- struct{}{}
	})
	l.routeTable.Snapshot(func(discovery string, list []byte) {
		s.Discovery, s.List = discovery, list
		answers <- struct{}{}
	})
	go func() {
		timer := time.NewTimer(silenceTimeout)
		defer timer.Stop()
		for range cap(answers) {
			select {
			case <-answers:
			case <-timer.C:
				p.close()
				return
			}
		}
		p.mailbox.Put(message{State: &s})
		l.log.Info("state sent to the newer process")
		go p.writeLoop()
		p.readLoop()
	}()
}

// currentPeer returns the peer, or nil if there is none.
func (l *Link) currentPeer() *peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peer
}

// Linked reports whether the link to another process of the dispatcher is open.
func (l *Link) Linked() bool { return l.currentPeer() != nil }

// SuccessorServes reports whether a newer process is linked and has announced that it serves.
func (l *Link) SuccessorServes() bool {
	p := l.currentPeer()
	return p != nil && p.serving.Load()
}

// ForwardExclusion forwards an exclusion or reinstatement that operators decided here to the other
// process, if there is one.
func (l *Link) ForwardExclusion(e core.Exclusion) {
	if p := l.currentPeer(); p != nil {
		p.mailbox.Put(message{Exclusion: &e})
	}
}

// ForwardReport forwards a worker's report to the other process and returns whether that process
// holds the job. It returns NotHeld without another process or without a response by the deadline.
// Reports that were received from the other process must not be forwarded back.
func (l *Link) ForwardReport(ev core.JobEvent, deadline time.Time) core.ReportResult {
	p := l.currentPeer()
	if p == nil {
		return core.NotHeld
	}
	switch p.request(message{Event: &ev}, deadline) {
	case accepted:
		return core.Held
	case moving:
		return core.Moving
	}
	return core.NotHeld
}

// TransferConn transfers a client's connection to the other process, with the bytes that were read
// from it and the state of its request, and reports by the deadline whether that process serves it.
// It also returns true without a response if the descriptor was sent and the other process has sent
// something since: that process will read the descriptor later, even after this process has ended.
// The caller still has to close its own copy.
func (l *Link) TransferConn(c net.Conn, request []byte, moved *core.MovedRequest, deadline time.Time) bool {
	p := l.currentPeer()
	if p == nil {
		return false
	}
	d, err := duplicate(c)
	if err != nil {
		l.log.WithError(err).Warn("a connection could not be handed over")
		return false
	}
	defer func() { go d.close() }() // close waits for a write in progress
	result := p.request(message{Transfer: &transfer{Request: request, Moved: moved}, descriptor: d}, deadline)
	return result == accepted || result == sent
}

// Close closes the link. It removes the socket unless another process is linked, to which the path
// may belong.
func (l *Link) Close() {
	l.mu.Lock()
	p, listener := l.peer, l.listener
	l.mu.Unlock()
	if listener != nil {
		listener.Close()
		if p == nil {
			_ = os.Remove(l.path) // a leftover socket does no harm
		}
	}
	if p != nil {
		p.close()
	}
}
