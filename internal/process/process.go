// Package process is what every process of the cluster scheduler has: its settings, its links to others,
// its clocks, and one goroutine on which its state machines run.
package process

import (
	"context"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"

	"frosttide/internal/mailbox"
	"frosttide/internal/nodefile"
	"frosttide/internal/protocol"
	"frosttide/internal/transport"
)

// Process is a process. Its state machines are used from functions that Do runs, and from Loop's.
type Process struct {
	Settings     *nodefile.File
	SettingsPath string // of the settings file
	Role         string
	Incarnation  uint64
	Address      string // internal address
	mailbox      *mailbox.Box[func()]
	startedAt    time.Time
	transport    *transport.Transport
	receive      func(from string, e *protocol.Envelope)
}

// New opens a process's internal address. receive handles messages on the process's goroutine.
func New(path string, settings *nodefile.File, role string, receive func(from string, e *protocol.Envelope)) (*Process, error) {
	p := &Process{Settings: settings, SettingsPath: path, Role: role, Incarnation: rand.Uint64() >> 1, mailbox: mailbox.New[func()](), startedAt: time.Now(), receive: receive}
	var lastErr error
	for number := range settings.PortRange[1] - settings.PortRange[0] + 1 {
		p.Address = settings.InternalAddress(settings.IP, number)
		links, err := transport.Listen(transport.Config{Address: p.Address, Role: role, Incarnation: p.Incarnation, Handle: p.handle})
		if err == nil {
			p.transport = links
			return p, nil
		}
		lastErr = err
		if !errors.Is(err, unix.EADDRINUSE) {
			break
		}
	}
	return nil, lastErr
}

func (p *Process) handle(from string, e *protocol.Envelope) {
	p.mailbox.Put(func() { p.receive(from, e) })
}

// Now returns the time since the process began, on the steady clock.
func (p *Process) Now() time.Duration { return time.Since(p.startedAt) }

// WallMs returns the time of day in ms from 1970.
func (p *Process) WallMs() int64 { return time.Now().UnixMilli() }

// Post has a function run on the process's goroutine.
func (p *Process) Post(f func()) { p.mailbox.Put(f) }

// Send sends a message; one to the process itself is handled in its turn.
func (p *Process) Send(to string, e *protocol.Envelope) {
	if to == p.Address {
		p.handle(to, e)
		return
	}
	p.transport.Send(to, e)
}

// Run runs functions, and tick every so often, until the context ends. after follows each turn.
func (p *Process) Run(ctx context.Context, tickInterval time.Duration, tick, afterTurn func()) {
	timer := time.NewTicker(tickInterval)
	defer timer.Stop()
	var events []func()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			tick()
		case <-p.mailbox.Ready():
		}
		events = p.mailbox.Drain(events[:0])
		for _, f := range events {
			f()
		}
		clear(events)
		afterTurn()
	}
}

// settingsPollInterval is how often the settings file is looked at: it may change without a signal.
const settingsPollInterval = time.Second

// WatchSettings reads the settings file again where it has changed, until the context ends, and has apply take the
// new settings on the process's goroutine. A file that can't be used changes nothing.
func (p *Process) WatchSettings(ctx context.Context, apply func(*nodefile.File)) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	go func() {
		defer signal.Stop(hup)
		poll := time.NewTicker(settingsPollInterval)
		defer poll.Stop()
		lastStamp := stampOf(p.SettingsPath)
		for {
			select {
			case <-ctx.Done():
				return
			case <-hup:
			case <-poll.C:
				if stampOf(p.SettingsPath) == lastStamp {
					continue
				}
			}
			lastStamp = stampOf(p.SettingsPath)
			p.reloadSettings(apply)
		}
	}()
}

// fileStamp tells one state of a file from another.
type fileStamp struct {
	modifiedAt time.Time
	size       int64
}

func stampOf(path string) fileStamp {
	info, err := os.Stat(path)
	if err != nil {
		return fileStamp{}
	}
	return fileStamp{modifiedAt: info.ModTime(), size: info.Size()}
}

func (p *Process) reloadSettings(apply func(*nodefile.File)) {
	settings, err := nodefile.Read(p.SettingsPath)
	if err != nil {
		klog.ErrorS(err, "The settings are left as they are")
		return
	}
	klog.InfoS("Settings read again", "seeds", settings.Seeds)
	p.Post(func() {
		p.Settings = settings
		apply(settings)
	})
}

// Close ends the process's links.
func (p *Process) Close() { p.transport.Close() }
