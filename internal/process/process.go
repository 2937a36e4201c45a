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
	Settings    *nodefile.File
	Path        string // of the settings file
	Role        string
	Incarnation uint64
	Address     string // internal address
	box         *mailbox.Box[func()]
	began       time.Time
	links       *transport.Transport
	receive     func(from string, e *protocol.Envelope)
}

// New opens a process's internal address. receive handles messages on the process's goroutine.
func New(path string, settings *nodefile.File, role string, receive func(from string, e *protocol.Envelope)) (*Process, error) {
	p := &Process{Settings: settings, Path: path, Role: role, Incarnation: rand.Uint64() >> 1, box: mailbox.New[func()](), began: time.Now(), receive: receive}
	var problem error
	for number := range settings.PortRange[1] - settings.PortRange[0] + 1 {
		p.Address = settings.InternalAddress(settings.IP, number)
		links, err := transport.Listen(transport.Config{Address: p.Address, Role: role, Incarnation: p.Incarnation, Handle: p.handle})
		if err == nil {
			p.links = links
			return p, nil
		}
		problem = err
		if !errors.Is(err, unix.EADDRINUSE) {
			break
		}
	}
	return nil, problem
}

func (p *Process) handle(from string, e *protocol.Envelope) {
	p.box.Put(func() { p.receive(from, e) })
}

// Now returns the time since the process began, on the steady clock.
func (p *Process) Now() time.Duration { return time.Since(p.began) }

// WallMs returns the time of day in ms from 1970.
func (p *Process) WallMs() int64 { return time.Now().UnixMilli() }

// Do has a function run on the process's goroutine.
func (p *Process) Do(f func()) { p.box.Put(f) }

// Send sends a message; one to the process itself is handled in its turn.
func (p *Process) Send(to string, e *protocol.Envelope) {
	if to == p.Address {
		p.handle(to, e)
		return
	}
	p.links.Send(to, e)
}

// Loop runs functions, and tick every so often, until the context ends. after follows each turn.
func (p *Process) Loop(ctx context.Context, every time.Duration, tick, after func()) {
	timer := time.NewTicker(every)
	defer timer.Stop()
	var turn []func()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			tick()
		case <-p.box.Ready():
		}
		turn = p.box.Drain(turn[:0])
		for _, f := range turn {
			f()
		}
		clear(turn)
		after()
	}
}

// lookEvery is how often the settings file is looked at: it may change without a signal.
const lookEvery = time.Second

// Follow reads the settings file again where it has changed, until the context ends, and has apply take the
// new settings on the process's goroutine. A file that can't be used changes nothing.
func (p *Process) Follow(ctx context.Context, apply func(*nodefile.File)) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	go func() {
		defer signal.Stop(hup)
		look := time.NewTicker(lookEvery)
		defer look.Stop()
		seen := stamp(p.Path)
		for {
			select {
			case <-ctx.Done():
				return
			case <-hup:
			case <-look.C:
				if stamp(p.Path) == seen {
					continue
				}
			}
			seen = stamp(p.Path)
			p.reread(apply)
		}
	}()
}

// fileStamp tells one state of a file from another.
type fileStamp struct {
	changed time.Time
	length  int64
}

func stamp(path string) fileStamp {
	info, err := os.Stat(path)
	if err != nil {
		return fileStamp{}
	}
	return fileStamp{changed: info.ModTime(), length: info.Size()}
}

func (p *Process) reread(apply func(*nodefile.File)) {
	settings, err := nodefile.Read(p.Path)
	if err != nil {
		klog.ErrorS(err, "The settings are left as they are")
		return
	}
	klog.InfoS("Settings read again", "seeds", settings.Seeds)
	p.Do(func() {
		p.Settings = settings
		apply(settings)
	})
}

// Close ends the process's links.
func (p *Process) Close() { p.links.Close() }
