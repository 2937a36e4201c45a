package handover

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"frosttide/internal/dispatcher/core"
	"frosttide/internal/mailbox"
)

const (
	// dialTimeout is how long the older process may take to take the call, and tellTime to
	// tell its state: the newer one has to be ready in 6 s, with it or without.
	dialTimeout  = time.Second
	stateTimeout = 2 * time.Second
	// heartbeatInterval is how often a side says something, and hush how long it may say nothing.
	heartbeatInterval = 400 * time.Millisecond
	silenceTimeout    = 2 * time.Second
	// maxMessage bounds a message: a whole list of a large fleet.
	maxMessage = 4 << 20
	// maxPath is the longest path that fits into a unix socket's address.
	maxPath = 100
)

// Core is what the link tells the decisions of, and asks.
type Core interface {
	Snapshot(func(core.Snapshot))
	Restore(core.Snapshot)
	ApplyExclusion(core.Exclusion)
	Report(ev core.JobEvent, took func(bool))
}

// RouteTable is the route table.
type RouteTable interface {
	// Snapshot tells where the list comes from and what it is, in discovery's form.
	Snapshot(func(discovery string, list []byte))
}

// State is what a process tells its successor.
type State struct {
	Discovery string          `json:"discovery"`
	List      json.RawMessage `json:"list"`
	Core      core.Snapshot   `json:"core"`
}

// HasMembers tells whether the list names anybody.
func (s *State) HasMembers() bool {
	var l struct {
		Targets []json.RawMessage `json:"targets"`
	}
	return json.Unmarshal(s.List, &l) == nil && len(l.Targets) > 0
}

// message is one line on the link; an empty one is a beat.
type message struct {
	State     *State          `json:"state,omitempty"`
	Ready     bool            `json:"ready,omitempty"` // the newer process serves
	Exclusion *core.Exclusion `json:"exclusion,omitempty"`
	Event     *core.JobEvent  `json:"event,omitempty"`  // a call-back for a job that the sender doesn't hold
	Number    uint64          `json:"number,omitempty"` // of what is to be answered, and of the answer to it
	Took      bool            `json:"took,omitempty"`   // the answer
	Client    *client         `json:"client,omitempty"` // a connection, which comes beside the line

	socket *socket // that connection, at the sender
}

// client is what has been read from a client's connection, and what has become of it.
type client struct {
	Request []byte             `json:"request"`
	Moved   *core.MovedRequest `json:"moved"`
}

// Link is this process's side: it has at most one peer at a time, the older process at
// first and the newer one later.
type Link struct {
	core           Core
	routeTable     RouteTable
	onProcessCount func(processes int)
	adopt          Adopt
	log            *logrus.Entry
	path           string

	mu       sync.Mutex
	listener *net.UnixListener
	peer     *peer // nil while there is none
}

// Path is where the processes of a dispatcher meet. Listen, the clients' address, tells
// dispatchers apart that share a folder.
func Path(dir, listen string) string {
	name := fnv.New32a()
	name.Write([]byte(listen))
	return filepath.Join(dir, fmt.Sprintf("frosttide-%08x.sock", name.Sum32()))
}

// Adopt takes a client's connection over from the older process, and reports whether it
// will be served.
type Adopt func(c net.Conn, request []byte, m *core.MovedRequest) bool

// New makes a link. Overlap is told how many processes the dispatcher has from now on.
func New(path string, c Core, l RouteTable, onProcessCount func(processes int), adopt Adopt, log *logrus.Entry) *Link {
	return &Link{core: c, routeTable: l, onProcessCount: onProcessCount, adopt: adopt, log: log, path: path}
}

// address returns an address of a path and what holds it open. Guards against long
// paths: a unix socket's address has room for some hundred bytes.
func address(path string) (*net.UnixAddr, *os.File, error) {
	if len(path) <= maxPath {
		return &net.UnixAddr{Name: path, Net: "unix"}, nil, nil
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return nil, nil, fmt.Errorf("the link's folder: %w", err)
	}
	name := fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path))
	return &net.UnixAddr{Name: name, Net: "unix"}, dir, nil
}

// Dial calls the older process, if there is one, and takes over its state: the core's
// goes to the core, the rest is returned. Without one, or one that can't tell in time,
// the process starts from nothing.
func (l *Link) Dial() *State {
	addr, dir, err := address(l.path)
	if err != nil {
		l.log.WithError(err).Warn("no state taken over")
		return nil
	}
	defer dir.Close() // of nil, too
	by := time.Now().Add(dialTimeout)
	c, err := (&net.Dialer{Deadline: by}).Dial("unix", addr.Name)
	if err != nil {
		l.log.WithError(err).Debug("no older process")
		return nil
	}
	p := newPeer(l, c.(*net.UnixConn))
	state, err := p.awaitState(time.Now().Add(stateTimeout))
	if err != nil {
		l.log.WithError(err).Warn("no state taken over")
		p.end()
		return nil
	}
	l.core.Restore(state.Core)
	l.mu.Lock()
	l.peer = p
	l.mu.Unlock()
	l.onProcessCount(2)
	go p.writeLoop()
	go p.readLoop()
	l.log.Info("state of the older process taken over")
	return state
}

// Serve takes the place of the older process, tells it that this one serves, and waits
// for a newer one.
func (l *Link) Serve() error {
	newPath := l.path + ".new"
	if err := os.Remove(newPath); err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("the link's socket: %w", err)
	}
	addr, dir, err := address(newPath)
	if err != nil {
		return err
	}
	defer dir.Close()
	listener, err := net.ListenUnix("unix", addr)
	if err != nil {
		return fmt.Errorf("the link's socket: %w", err)
	}
	listener.SetUnlinkOnClose(false) // the name may be a newer process's by then
	if err := os.Rename(newPath, l.path); err != nil {
		listener.Close()
		return fmt.Errorf("the link's socket: %w", err)
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

// Ready tells the older process that this one serves, and waits until it knows: its
// SIGTERM comes with the platform's next look.
func (l *Link) Ready() {
	if p := l.current(); p != nil && !p.request(message{Ready: true}, time.Now().Add(dialTimeout)) {
		l.log.Warn("the older process does not say that it knows of this one")
	}
}

// handleSuccessor takes the call of a newer process, unless there is one already, and tells it
// the state. The core and the list answer from their mailboxes.
func (l *Link) handleSuccessor(c *net.UnixConn) {
	p := newPeer(l, c)
	l.mu.Lock()
	taken := l.peer != nil
	if !taken {
		l.peer = p // exclusions after the snapshot now come after it
	}
	l.mu.Unlock()
	if taken {
		l.log.Warn("a further process calls; one is linked already")
		p.end()
		return
	}
	l.onProcessCount(2)
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
		timer := time.NewTimer(stateTimeout)
		defer timer.Stop()
		for range 2 {
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

func (l *Link) send(m message) {
	if p := l.current(); p != nil {
		p.mailbox.Put(m)
	}
}

// Linked tells whether another process of the dispatcher runs.
func (l *Link) Linked() bool { return l.current() != nil }

// Succeeded tells whether a newer process serves.
func (l *Link) Succeeded() bool {
	p := l.current()
	return p != nil && p.serving.Load()
}

// Exclude tells the other process what operators have said to this one.
func (l *Link) Exclude(e core.Exclusion) { l.send(message{Exclusion: &e}) }

// ForwardReport hands a call-back to the other process and reports whether that took it by the
// deadline. What came from there is never passed back.
func (l *Link) ForwardReport(ev core.JobEvent, by time.Time) bool {
	p := l.current()
	return p != nil && p.request(message{Event: &ev}, by)
}

// TransferConn hands a client's connection to the other process, with what has been read from
// it, and reports whether that serves it. The caller's copy stays the caller's.
func (l *Link) TransferConn(c net.Conn, request []byte, m *core.MovedRequest, by time.Time) bool {
	p := l.current()
	if p == nil {
		return false
	}
	s, err := duplicate(c)
	if err != nil {
		l.log.WithError(err).Warn("a connection could not be handed over")
		return false
	}
	defer s.close()
	return p.request(message{Client: &client{Request: request, Moved: m}, socket: s}, by)
}

// Close ends the link. The socket's name goes with it unless it is a newer process's.
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

// ---- The peer ----

// newPeer makes the actor of the other process; its connection is the peer's.
func newPeer(l *Link, c *net.UnixConn) *peer {
	in := &descriptorReader{conn: c}
	p := &peer{link: l, conn: c, reader: in, scanner: bufio.NewScanner(in), mailbox: mailbox.New[message](), done: make(chan struct{}),
		pending: map[uint64]chan bool{}}
	p.scanner.Buffer(nil, maxMessage)
	return p
}
