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

// Program returns an unstarted command that runs frosttide with the given arguments.
type Program func(args ...string) *exec.Cmd

// member is one process of the program, with its addresses, log and client.
type member struct {
	i                                      int
	name, alias, dir                       string // alias is the name in its settings if that differs
	clientAddr, consoleAddr, discoveryAddr string
	cmd                                    *exec.Cmd
	ended                                  chan struct{} // closed when the process has ended
	stalled                                bool
	stalls                                 []span // when its process was stopped by SIGSTOP
	sentBefore                             int    // jobs that had reached runners when it started
	log                                    *tail
	client                                 *client
	stopClient                             context.CancelFunc
	clientDone                             chan struct{}
}

// markResumed records the end of the current stall, if there is one.
func (m *member) markResumed() {
	if m.stalled {
		m.stalled, m.stalls[len(m.stalls)-1].until = false, time.Now()
	}
}

// up reports whether the member has a process; it may be stalled.
func (m *member) up() bool { return m.cmd != nil }

// fleet holds the members, the stand-ins for runners and discovery, and the relays between members.
type fleet struct {
	program          Program
	dir              string
	net              *relays
	catalog          *catalog
	runners          *runners
	members          []*member
	voters           int
	zones            int
	standalone       bool
	recoverySettings string // further lines of [recovery]
	coldSettings     string // the [cold] table
	flows, stored    bool
	gangs            bool
	servers          []*http.Server
	uids             []string
	http             *http.Client
}

// openFleet starts the relays and stand-ins of a script's fleet. It does not start the members'
// processes.
func openFleet(s *Script, program Program, dir string) (f *fleet, err error) {
	f = &fleet{program: program, dir: dir, catalog: newCatalog(), voters: s.Voters, zones: s.Zones, standalone: s.Alone, recoverySettings: s.extra(), coldSettings: s.Cold.settings(), flows: s.Flows, stored: s.Stored, gangs: s.Gangs, http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * time.Second}}
	defer func() {
		if err != nil {
			f.close()
		}
	}()
	if f.net, err = openRelays(s.Members, s.Seed); err != nil {
		return f, err
	}
	f.runners = &runners{slots: s.Slots, queue: s.Queue, loads: map[string]*runnerLoad{}, work: s.Work, effects: map[string]map[string]int{}, broken: map[string]bool{}, failing: map[string]bool{}, unreported: map[string]bool{}, rejecting: map[string]bool{}, cold: s.Cold, warming: map[string]*warmup{}, slowdown: map[string]float64{}, hung: map[string]bool{}, parts: map[string]chan struct{}{}, attempts: map[string]int{}, callbackAddr: f.clientsOf}
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
		m.discoveryAddr = addr
		host, _, _ := net.SplitHostPort(f.net.listenAddrs[i])
		m.clientAddr, m.consoleAddr = host+":8081", host+":8090"
		f.members = append(f.members, m)
	}
	return f, nil
}

// clientsOf returns the address at which a member listens for clients.
func (f *fleet) clientsOf(name string) string {
	for _, m := range f.members {
		if m.name == name {
			return m.clientAddr
		}
	}
	return "127.0.0.1:9" // the discard port, where nothing listens
}

// zone returns the zone of the i-th runner or member; zones are assigned round-robin.
func (f *fleet) zone(i int) string { return string(rune('a' + i%f.zones)) }

// close stops the clients, kills the members and closes stand-ins and relays.
func (f *fleet) close() {
	for _, m := range f.members {
		if m.stopClient != nil {
			m.stopClient()
			<-m.clientDone
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
	done    outcome = iota // acknowledged
	refused                // rejected without an effect
	unclear                // no answer, or an answer that leaves it open
)
