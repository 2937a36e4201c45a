package process

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"

	"frosttide/internal/mailbox"
	"frosttide/internal/nodefile"
	"frosttide/internal/protocol"
	"frosttide/internal/transport"
)

// Process is the runtime of one process; see the package comment. Use New to create one.
type Process struct {
	Settings     *nodefile.File // last valid settings read
	SettingsPath string         // path of the settings file
	Role         string         // as in protocol.Hello
	Incarnation  uint64         // drawn at random when the process starts
	Address      string         // internal address, host:port

	startedAt time.Time
	mailbox   *mailbox.Box[func()] // queued events
	transport *transport.Transport
	receive   func(from string, e *protocol.Envelope)
	watching  sync.WaitGroup // the goroutine of WatchSettings
}

// New creates a process that listens on the first free port of its port range at its internal
// address. receive is called on the event loop with each message and the internal address of its
// sender. If no port can be listened on, New returns the error of the last port tried.
func New(path string, settings *nodefile.File, role string, receive func(from string, e *protocol.Envelope)) (*Process, error) {
	p := &Process{
		Settings: settings, SettingsPath: path, Role: role, Incarnation: rand.Uint64() >> 1,
		startedAt: time.Now(), mailbox: mailbox.New[func()](), receive: receive,
	}
	klog.InfoS("Process begins", "role", role)
	var lastErr error
	for number := range settings.PortRange[1] - settings.PortRange[0] + 1 {
		p.Address = settings.InternalAddress(settings.IP, number)
		p.transport, lastErr = transport.Listen(transport.Config{Address: p.Address, Role: role, Incarnation: p.Incarnation, Handle: p.postReceive})
		if lastErr == nil {
			return p, nil
		}
		if !errors.Is(lastErr, unix.EADDRINUSE) {
			break
		}
	}
	return nil, lastErr
}

// postReceive posts an event that passes a message to receive.
func (p *Process) postReceive(from string, e *protocol.Envelope) {
	p.mailbox.Put(func() { p.receive(from, e) })
}

// Now returns the time since the process started, on the monotonic clock.
func (p *Process) Now() time.Duration { return time.Since(p.startedAt) }

// WallMs returns the wall-clock time in milliseconds since the Unix epoch.
func (p *Process) WallMs() int64 { return time.Now().UnixMilli() }

// Post queues an event for the event loop and returns at once. Events posted after Run has returned
// never run.
func (p *Process) Post(event func()) { p.mailbox.Put(event) }

// Send sends a message to the process at an internal address, which may be this process's own. The
// message may be lost; see package transport.
func (p *Process) Send(to string, e *protocol.Envelope) {
	if to == p.Address {
		p.postReceive(to, e)
		return
	}
	p.transport.Send(to, e)
}

// Run executes the event loop until the context ends. Each turn of the loop calls tick if
// tickInterval has passed, then runs all queued events, then calls afterTurn.
func (p *Process) Run(ctx context.Context, tickInterval time.Duration, tick, afterTurn func()) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var events []func()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			tick()
		case <-p.mailbox.Ready():
		}
		events = p.mailbox.Drain(events[:0])
		for _, event := range events {
			event()
		}
		clear(events) // lets the garbage collector free the messages
		afterTurn()
	}
}

// Role holds the callbacks of the role that a process runs. All of them except Drain are called on
// the event loop.
type Role struct {
	TickInterval  time.Duration
	Tick          func()
	AfterTurn     func() // called at the end of each turn
	ApplySettings func(*nodefile.File)
	// Drain is called on its own goroutine when the process is to shut down. The event loop runs
	// until Drain returns, because the responses to open requests pass through it.
	Drain func()
}

// Serve runs a role on the event loop, and watches the settings file for it, until the context has
// ended and the role's Drain has returned.
func (p *Process) Serve(ctx context.Context, role Role) {
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p.WatchSettings(runCtx, role.ApplySettings)
	var draining sync.WaitGroup
	draining.Go(func() {
		<-ctx.Done()
		role.Drain()
		cancel()
	})
	p.Run(runCtx, role.TickInterval, role.Tick, role.AfterTurn)
	draining.Wait()
}

// Close closes the transport and waits for the process's goroutines. The context of WatchSettings
// must have ended before the call.
func (p *Process) Close() {
	p.transport.Close()
	p.watching.Wait()
}
