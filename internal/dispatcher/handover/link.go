// Package handover connects two processes of one dispatcher while the platform puts
// the newer in the older one's place.
//
// The processes share the clients' listening socket (Listen) and a Link over a unix
// socket. On the link the older process passes its state, then both pass on what
// operators decide and reports on jobs of the other, and the older one passes its
// clients' connections with their requests. cmd/frosttide makes the Link; package
// ingress uses it as its Peer.
//
// Invariants: a process has at most one peer at a time; no wait on the peer is
// without bound, and a peer that violates the protocol or says nothing for
// silenceTimeout loses the link. All methods of Link are safe for concurrent use.
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
	// dialTimeout is how long the older process may take to accept the link, and
	// stateTimeout is how long the newer one waits for its state: that has to be ready in
	// 6 s, with the state or without.
	dialTimeout  = time.Second
	stateTimeout = 2 * time.Second
	// transferAnswerTimeout is how long the newer process may take to say whether it
	// serves a connection that it has been sent.
	transferAnswerTimeout = time.Second
	// maxPath is the longest path, in bytes, that surely fits into the address of a
	// unix socket.
	maxPath = 100
)

// Core is the core as the link uses it; *core.Core implements it. None of its
// methods blocks.
type Core interface {
	Snapshot(to func(core.Snapshot))
	Restore(core.Snapshot)
	ApplyExclusion(core.Exclusion)
}

// RouteTable is the list of workers as the link uses it. It does not block.
type RouteTable interface {
	// Snapshot passes on where the list comes from, and the list in discovery's form.
	Snapshot(to func(discovery string, list []byte))
}

// Adopt takes a client's connection over from the older process, with what was read
// from it, and reports whether it will be served.
type Adopt func(c net.Conn, request []byte, m *core.MovedRequest) bool

// Report takes a report that the other process has passed on, and passes to held whether
// this one holds the job. It does not block.
type Report func(ev core.JobEvent, held func(core.ReportResult))

// Link is this process's side. Its peer is the older process at first and the newer
// one later.
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
	peer     *peer // nil while there is none
}

// Path returns the path of the unix socket where the processes of a dispatcher meet.
// The address on which they listen for clients distinguishes dispatchers that share
// the folder.
func Path(dir, listen string) string {
	name := fnv.New32a()
	name.Write([]byte(listen))
	return filepath.Join(dir, fmt.Sprintf("frosttide-%08x.sock", name.Sum32()))
}

// New makes a link without a peer. It calls onProcessCount with the number of
// processes of the dispatcher, 1 or 2, whenever that changes.
func New(path string, c Core, routeTable RouteTable, onProcessCount func(processes int), adopt Adopt, report Report, log *logrus.Entry) *Link {
	return &Link{core: c, routeTable: routeTable, onProcessCount: onProcessCount, adopt: adopt, report: report, log: log, path: path}
}

// address returns the address of a unix socket, and for a path that is too long for
// one the open folder that the address refers to, else nil.
func address(path string) (*net.UnixAddr, *os.File, error) {
	if len(path) <= maxPath {
		return &net.UnixAddr{Name: path, Net: "unix"}, nil, nil
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return nil, nil, errors.Wrap(err, "the link's folder")
	}
	name := fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path))
	return &net.UnixAddr{Name: name, Net: "unix"}, dir, nil
}

// Dial calls the older process, if there is one, and takes over its state: the
// core's part goes to the core, and the whole is returned. It returns nil without an
// older process, or with one that does not pass its state in time; with that the link
// goes on, as jobs and reports have to find their process.
func (l *Link) Dial() *State {
	addr, dir, err := address(l.path)
	if err != nil {
		l.log.WithError(err).Warn("no state taken over")
		return nil
	}
	defer dir.Close() // of nil, too
	dialer := net.Dialer{Deadline: time.Now().Add(dialTimeout)}
	c, err := dialer.Dial("unix", addr.Name)
	if err != nil {
		l.log.WithError(err).Debug("no older process")
		return nil
	}
	p := newPeer(l, c.(*net.UnixConn))
	p.awaitsState.Store(true)
	go p.writeLoop()
	go p.readLoop()
	state, err := p.awaitState(stateTimeout)
	l.onProcessCount(2) // before the link, whose end sets it to 1
	if !l.linkTo(p) {
		l.onProcessCount(1)
	}
	if err != nil {
		l.log.WithError(err).Warn("no state taken over")
		return nil
	}
	l.log.Info("state of the older process taken over")
	return state
}

// linkTo takes a peer, and reports whether its connection was still open.
func (l *Link) linkTo(p *peer) bool {
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

// Serve takes the older process's place at the path, and waits for newer ones in a
// goroutine that ends with Close.
func (l *Link) Serve() error {
	newPath := l.path + ".new"
	if err := os.Remove(newPath); err != nil && !errors.Is(err, os.ErrNotExist) {
		return errors.Wrap(err, "the link's socket")
	}
	addr, dir, err := address(newPath)
	if err != nil {
		return err
	}
	defer dir.Close()
	listener, err := net.ListenUnix("unix", addr)
	if err != nil {
		return errors.Wrap(err, "the link's socket")
	}
	listener.SetUnlinkOnClose(false) // the name may be a newer process's by then
	if err := os.Rename(newPath, l.path); err != nil {
		listener.Close()
		return errors.Wrap(err, "the link's socket")
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

// Ready notifies the older process that this one serves, and waits until it knows: its
// SIGTERM comes with the platform's next check.
func (l *Link) Ready() {
	if p := l.current(); p != nil && p.request(message{Ready: true}, time.Now().Add(dialTimeout)) != taken {
		l.log.Warn("the older process does not say that it knows of this one")
	}
}

// handleSuccessor takes a newer process as the peer, unless there is a peer already,
// and passes the state to it.
func (l *Link) handleSuccessor(c *net.UnixConn) {
	p := newPeer(l, c)
	l.mu.Lock()
	taken := l.peer != nil
	if !taken {
		l.peer = p // exclusions that come after the snapshot now follow it
	}
	l.mu.Unlock()
	if taken {
		l.log.Warn("a further process calls; one is linked already")
		p.end()
		return
	}
	l.onProcessCount(2)
	l.passState(p)
}

// passState passes the state to a peer and starts the peer's loops. The core and the
// route table answer from their own goroutines.
func (l *Link) passState(p *peer) {
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
				p.end()
				return
			}
		}
		p.mailbox.Put(message{State: &s})
		l.log.Info("state told to the newer process")
		go p.writeLoop()
		p.readLoop()
	}()
}

// current returns the peer, nil for none.
func (l *Link) current() *peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peer
}

// Linked reports whether another process of the dispatcher runs.
func (l *Link) Linked() bool { return l.current() != nil }

// Succeeded reports whether a newer process serves.
func (l *Link) Succeeded() bool {
	p := l.current()
	return p != nil && p.serving.Load()
}

// Exclude passes to the other process, if there is one, what operators decided here.
func (l *Link) Exclude(e core.Exclusion) {
	if p := l.current(); p != nil {
		p.mailbox.Put(message{Exclusion: &e})
	}
}

// ForwardReport passes a report to the other process and returns whether that held the
// job, by the deadline. What came from there is never passed back.
func (l *Link) ForwardReport(ev core.JobEvent, deadline time.Time) core.ReportResult {
	p := l.current()
	if p == nil {
		return core.NotHeld
	}
	switch p.request(message{Event: &ev}, deadline) {
	case taken:
		return core.Held
	case moving:
		return core.Moving
	}
	return core.NotHeld
}

// TransferConn passes a client's connection to the other process, with what has been
// read from it, and reports whether that serves it, by the deadline. A connection that
// the other process has been sent and does not answer for is its own as well if that has
// been heard of since: it reads it later, also once this process has ended. The caller
// still has to close its own copy.
func (l *Link) TransferConn(c net.Conn, request []byte, m *core.MovedRequest, deadline time.Time) bool {
	p := l.current()
	if p == nil {
		return false
	}
	s, err := duplicate(c)
	if err != nil {
		l.log.WithError(err).Warn("a connection could not be handed over")
		return false
	}
	defer func() { go s.close() }() // it waits for a write that is under way
	result := p.request(message{Client: &client{Request: request, Moved: m}, socket: s}, deadline)
	return result == taken || result == sent
}

// Close ends the link. It removes the socket unless that is a newer process's.
func (l *Link) Close() {
	l.mu.Lock()
	p, listener := l.peer, l.listener
	l.mu.Unlock()
	if listener != nil {
		listener.Close()
		if p == nil {
			_ = os.Remove(l.path) // a leftover does no harm
		}
	}
	if p != nil {
		p.end()
	}
}
