package faults

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Program makes the command that runs frosttide with arguments.
type Program func(args ...string) *exec.Cmd

// member is one process of the program, and what it needs.
type member struct {
	i                      int
	name, alias, dir       string // alias is the name in its settings, empty for the same
	clients, console, disc string
	cmd                    *exec.Cmd
	ended                  chan struct{} // closed when the process has ended
	stopped                bool
	stood                  []span // when its process stood still
	since                  int    // jobs that had been sent by all when it started
	log                    *tail
	client                 *client
	endClient              context.CancelFunc
	clientOver             chan struct{}
}

// wakes notes that the process no longer stands still.
func (m *member) wakes() {
	if m.stopped {
		m.stopped, m.stood[len(m.stood)-1].till = false, time.Now()
	}
}

func (m *member) up() bool { return m.cmd != nil }

// fleet is everything that runs.
type fleet struct {
	program       Program
	dir           string
	net           *relays
	catalog       *catalog
	runners       *runners
	members       []*member
	voters        int
	zones         int
	alone         bool
	extra         string // of the settings
	coldOf        string // the settings of cold runners
	flows, stored bool
	gangs         bool
	servers       []*http.Server
	uids          []string
	cold          *http.Client
}

func openFleet(s *Script, program Program, dir string) (f *fleet, err error) {
	f = &fleet{program: program, dir: dir, catalog: newCatalog(), voters: s.Voters, zones: s.Zones, alone: s.Alone, extra: s.extra(), coldOf: s.Cold.settings(), flows: s.Flows, stored: s.Stored, gangs: s.Gangs, cold: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * time.Second}}
	defer func() {
		if err != nil {
			f.close()
		}
	}()
	if f.net, err = openRelays(s.Members, s.Seed); err != nil {
		return f, err
	}
	f.runners = &runners{slots: s.Slots, queue: s.Queue, at: map[string]*busy{}, work: s.Work, effects: map[string]map[string]int{}, broken: map[string]bool{}, spoilt: map[string]bool{}, unsaid: map[string]bool{}, turns: map[string]bool{}, cold: s.Cold, warming: map[string]*warming{}, lags: map[string]float64{}, hung: map[string]bool{}, parts: map[string]chan struct{}{}, tries: map[string]int{}, clients: f.clientsOf}
	for i := range s.Runners {
		uid := fmt.Sprintf("s-%d", i+1)
		server, addr, err := serve("127.0.0.1:0", f.runners.handler(uid, f.zone(i)))
		if err != nil {
			return f, err
		}
		f.servers, f.uids = append(f.servers, server), append(f.uids, uid)
		f.catalog.change(i, func(t *target) {
			*t = target{UID: uid, Endpoint: addr, Zone: f.zone(i), Kind: "m", State: "SERVING", Weight: 1}
		})
	}
	for i := range s.Members {
		m := &member{i: i, name: fmt.Sprintf("d%d", i+1)}
		m.dir = filepath.Join(dir, m.name)
		if err := os.MkdirAll(m.dir, 0o700); err != nil {
			return f, err
		}
		server, addr, err := serve("127.0.0.1:0", f.catalog.handler(i))
		if err != nil {
			return f, err
		}
		f.servers = append(f.servers, server)
		m.disc = addr
		host, _, _ := net.SplitHostPort(f.net.real[i])
		m.clients, m.console = host+":8081", host+":8090"
		f.members = append(f.members, m)
	}
	return f, nil
}

func (f *fleet) clientsOf(name string) string {
	for _, m := range f.members {
		if m.name == name {
			return m.clients
		}
	}
	return "127.0.0.1:9" // nobody's
}

// zone is that of a runner or a member, in turn.
func (f *fleet) zone(i int) string { return string(rune('a' + i%f.zones)) }

func (f *fleet) close() {
	for _, m := range f.members {
		if m.endClient != nil {
			m.endClient()
			<-m.clientOver
		}
	}
	for _, m := range f.members {
		f.end(m, syscall.SIGKILL)
	}
	for _, s := range f.servers {
		s.Close()
	}
	if f.net != nil {
		f.net.close()
	}
}

const (
	done    said = iota // it was acknowledged
	refused             // it was said not to be done
	unclear             // no answer came
)
