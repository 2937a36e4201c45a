// Package quorum keeps the replicated log of a cluster: a few voters, named in the settings,
// agree by Raft on the order of entries, and all other members follow. An entry is
// acknowledged when a majority of the voters has it on disk. Without a majority nothing is
// written and everyone goes on by what is known.
//
// Source of the algorithm: Ongaro and Ousterhout, "In Search of an Understandable Consensus
// Algorithm"; the engine is hashicorp/raft.
package quorum

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	"github.com/sirupsen/logrus"

	"frosttide/internal/clusterport"
	"frosttide/internal/ledger"
	"frosttide/internal/members"
)

const (
	// The engine's times: a leader that is silent for heartbeat is doubted, one that does
	// not hear from a majority for lease steps down by itself, before another can be chosen.
	heartbeat = 500 * time.Millisecond
	lease     = 400 * time.Millisecond
	commit    = 100 * time.Millisecond
	// A snapshot is taken after so many entries, and as many are kept behind it for
	// followers that are a little late.
	compactAfter = 1024
	trailing     = 512
	compactEvery = 5 * time.Second
	rpcTime      = time.Second
	// lookEvery is how often the leader looks after who is in the log's configuration.
	lookEvery = 500 * time.Millisecond
	// forgetAfter is how long a follower without a vote may be away before it is taken out;
	// it comes in again when it is back.
	forgetAfter = time.Minute
)

// The reasons why nothing is written.
var (
	ErrNoLeader = errors.New("the log has no leader: no majority of its voters is reached")
	ErrForming  = errors.New("the log has not begun: it needs all of its voters once")
)

// Sink is told what the log leads to, from one goroutine. It must not block.
type Sink interface {
	Agreed(ledger.Done)             // an entry was applied
	Restored(was, is ledger.State)  // a snapshot took the state's place
	Led(leader string, term uint64) // who leads; empty for nobody
	Formed(disk string, begun bool) // what the member says of its log
}

// Config says what a member's part in the log is.
type Config struct {
	Name   string
	Dir    string   // of the member's part; empty for none, which makes a follower in memory
	Voters []string // names of members
	// Ask has another member say by itself how far its log goes, 0 for none.
	Ask func(ctx context.Context, addr string) (last uint64, err error)
}

// Quorum is a member's part in the log. Open makes it.
type Quorum struct {
	cfg     Config
	log     *logrus.Entry
	sink    Sink
	disk    *disk // nil without a folder
	stable  *patient
	id      raft.ServerID
	addr    raft.ServerAddress // where others reach it
	raft    *raft.Raft
	trans   *raft.NetworkTransport
	machine *machine
	alive   func() []members.Info
	away    map[raft.ServerID]time.Time
}

// engineConfig is the engine's for a member.
func engineConfig(id raft.ServerID, logger hclog.Logger) *raft.Config {
	c := raft.DefaultConfig()
	c.LocalID, c.Logger = id, logger
	c.HeartbeatTimeout, c.ElectionTimeout, c.LeaderLeaseTimeout, c.CommitTimeout = heartbeat, heartbeat, lease, commit
	c.SnapshotThreshold, c.TrailingLogs, c.SnapshotInterval = compactAfter, trailing, compactEvery
	c.ShutdownOnRemove = false // it may be taken in again
	return c
}

// Open opens a member's part. Alive tells who is alive; it may be called from any goroutine.
func Open(cfg Config, port *clusterport.Port, alive func() []members.Info, sink Sink, log *logrus.Entry) (*Quorum, error) {
	q := &Quorum{cfg: cfg, log: log, sink: sink, alive: alive, away: map[raft.ServerID]time.Time{}}
	logger := engineLog(log)
	q.machine = &machine{applied: sink.Agreed, replaced: sink.Restored}
	var logs raft.LogStore
	var stable raft.StableStore
	var snaps raft.SnapshotStore
	id := noDisk
	if cfg.Dir == "" {
		memory := raft.NewInmemStore()
		logs, stable, snaps = memory, memory, raft.NewInmemSnapshotStore()
		q.id = raft.ServerID(cfg.Name)
	} else {
		d, aside, err := openDisk(cfg.Dir, logger)
		if err != nil {
			return nil, err
		}
		if aside != "" {
			log.WithField("aside", aside).Error("this member's log can't be read; it is set aside and the member joins as a new one")
		}
		q.disk, logs, stable, snaps, id = d, d.logs, d.logs, d.snaps, d.id
		q.id = raft.ServerID(cfg.Name + "/" + d.id)
	}
	q.addr = addressOf(id, port.Advertised())
	q.trans = raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{Stream: streams{port.Listener(clusterport.Log), port, id},
		MaxPool: 2, Timeout: rpcTime, Logger: logger})
	q.stable = newPatient(stable, log)
	r, err := raft.NewRaft(engineConfig(q.id, logger), q.machine, logs, q.stable, snaps, advertised{q.trans, q.addr})
	if err != nil {
		q.trans.Close()
		if q.disk != nil {
			q.disk.close()
		}
		return nil, fmt.Errorf("cluster: %w", err)
	}
	q.raft = r
	return q, nil
}

// advertised has the engine name the address that others reach rather than the one listened on.
type advertised struct {
	*raft.NetworkTransport
	addr raft.ServerAddress
}

// LocalAddr is where others reach the member.
func (a advertised) LocalAddr() raft.ServerAddress { return a.addr }

// Run looks after the log's configuration until the context ends.
func (q *Quorum) Run(ctx context.Context) {
	seen := make(chan raft.Observation, 16)
	o := raft.NewObserver(seen, false, func(o *raft.Observation) bool {
		_, ok := o.Data.(raft.LeaderObservation)
		return ok
	})
	q.raft.RegisterObserver(o)
	defer q.raft.DeregisterObserver(o)
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		q.form(ctx)
		q.look()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-seen:
			_, id := q.raft.LeaderWithID()
			q.sink.Led(nameOf(id), q.raft.CurrentTerm())
		}
	}
}

// nameOf is the member's name in an id.
func nameOf(id raft.ServerID) string {
	name, _, _ := strings.Cut(string(id), "/")
	return name
}

func (q *Quorum) servers() []raft.Server {
	f := q.raft.GetConfiguration()
	if f.Error() != nil {
		return nil
	}
	return f.Configuration().Servers
}

// form begins the log. The first of the voters does it, and only where it sees all of them,
// none of which has a log. Guards a log that there is from a second one beside it: a voter
// that has lost its disk waits for the others, one alone can't know. Each is asked itself:
// what gossip says of it may be from before its log began.
func (q *Quorum) form(ctx context.Context) {
	voter := q.disk != nil && slices.Contains(q.cfg.Voters, q.cfg.Name)
	begun := q.raft.LastIndex() > 0
	id := ""
	if q.disk != nil {
		id = q.disk.id
	}
	q.sink.Formed(id, begun)
	if begun || !voter || q.cfg.Voters[0] != q.cfg.Name {
		return
	}
	present := 0
	for _, i := range q.alive() {
		if !slices.Contains(q.cfg.Voters, i.Name) {
			continue
		}
		if i.Log {
			return
		}
		if i.Disk != "" {
			present++
		}
	}
	if present < len(q.cfg.Voters) {
		return
	}
	for _, i := range q.alive() {
		if i.Name == q.cfg.Name || !slices.Contains(q.cfg.Voters, i.Name) {
			continue
		}
		call, cancel := context.WithDeadline(ctx, time.Now().Add(rpcTime))
		last, err := q.cfg.Ask(call, i.Addr)
		cancel()
		if err != nil || last > 0 {
			q.log.WithError(err).WithFields(logrus.Fields{"member": i.Name, "last": last}).Info("the log does not begin here: a voter has one, or does not say")
			return
		}
	}
	q.log.Info("the log begins here")
	err := q.raft.BootstrapCluster(raft.Configuration{Servers: []raft.Server{{ID: q.id, Address: q.addr}}}).Error()
	if err != nil {
		q.log.WithError(err).Error("the log could not begin")
	}
}

// look has the leader take in members that are new or have another disk or address, one
// change at a time, and take out followers that have been away for long.
func (q *Quorum) look() {
	if q.raft.State() != raft.Leader {
		clear(q.away)
		return
	}
	servers := q.servers()
	alive := q.alive()
	for _, i := range alive {
		if i.Goes {
			continue
		}
		id, addr, votes := raft.ServerID(i.Name), addressOf(cmp.Or(i.Disk, noDisk), i.Addr), i.Disk != "" && slices.Contains(q.cfg.Voters, i.Name)
		if i.Disk != "" {
			id = raft.ServerID(i.Name + "/" + i.Disk)
		}
		at := slices.IndexFunc(servers, func(s raft.Server) bool { return nameOf(s.ID) == i.Name })
		if at >= 0 && servers[at].ID != id {
			q.log.WithFields(logrus.Fields{"member": i.Name, "was": servers[at].ID, "is": id}).Warn("a member came back without its log; it joins as a new one")
			q.change("taken out", q.raft.RemoveServer(servers[at].ID, 0, rpcTime), servers[at].ID)
			return
		}
		if at >= 0 && (servers[at].Suffrage == raft.Voter) == votes && servers[at].Address == addr {
			continue
		}
		switch {
		case votes:
			q.change("votes", q.raft.AddVoter(id, addr, 0, rpcTime), id)
		case at < 0 || servers[at].Suffrage != raft.Voter || servers[at].Address != addr:
			q.change("follows", q.raft.AddNonvoter(id, addr, 0, rpcTime), id)
		default: // named a voter no more; only an operator takes a vote away
			continue
		}
		return
	}
	now := time.Now()
	for _, s := range servers {
		here := slices.ContainsFunc(alive, func(i members.Info) bool { return i.Name == nameOf(s.ID) })
		if here || s.Suffrage == raft.Voter {
			delete(q.away, s.ID)
			continue
		}
		if q.away[s.ID].IsZero() {
			q.away[s.ID] = now
		}
		if now.Sub(q.away[s.ID]) > forgetAfter {
			delete(q.away, s.ID)
			q.change("forgotten", q.raft.RemoveServer(s.ID, 0, rpcTime), s.ID)
			return
		}
	}
}

func (q *Quorum) change(what string, f raft.IndexFuture, id raft.ServerID) {
	if err := f.Error(); err != nil {
		q.log.WithError(err).WithField("member", id).Warn("the log's members could not be changed")
		return
	}
	q.log.WithField("member", id).Info("the log's members have changed: it " + what)
}

// Remove takes a member out of the log for good, a voter too. Only the leader can.
func (q *Quorum) Remove(ctx context.Context, name string) error {
	if q.raft.State() != raft.Leader {
		return ErrNoLeader
	}
	for _, i := range q.alive() {
		if i.Name == name && !i.Goes {
			return fmt.Errorf("%s is alive and would come in again; end it first", name)
		}
	}
	for _, s := range q.servers() {
		if nameOf(s.ID) == name {
			return q.raft.RemoveServer(s.ID, 0, until(ctx)).Error()
		}
	}
	return fmt.Errorf("%s is not in the log", name)
}

// until is what the engine takes in place of a deadline.
func until(ctx context.Context) time.Duration {
	by, ok := ctx.Deadline()
	if !ok {
		return rpcTime
	}
	return max(time.Until(by), time.Millisecond)
}

// formed tells whether enough voters are in: before, a majority may be one alone.
func (q *Quorum) formed() bool {
	voters := 0
	for _, s := range q.servers() {
		if s.Suffrage == raft.Voter {
			voters++
		}
	}
	return voters > 0 && voters >= len(q.cfg.Voters)/2+1
}

// Leader returns the name and address of the leader, empty for none.
func (q *Quorum) Leader() (name, addr string) {
	a, id := q.raft.LeaderWithID()
	return nameOf(id), plain(a)
}

// Leads tells whether this member leads.
func (q *Quorum) Leads() bool { return q.raft.State() == raft.Leader }

// Propose has an entry written by this member, which must lead. It returns once a majority
// has the entry on disk and it is applied here. After an error that is not ErrNoLeader the
// entry may yet come to be; proposing it again under its id is harmless.
func (q *Quorum) Propose(ctx context.Context, e ledger.Entry) (ledger.Done, error) {
	if err := e.Valid(); err != nil {
		return ledger.Done{}, err
	}
	if q.raft.State() != raft.Leader {
		return ledger.Done{}, ErrNoLeader
	}
	if !q.formed() {
		return ledger.Done{}, ErrForming
	}
	text, err := json.Marshal(e)
	if err != nil {
		return ledger.Done{}, fmt.Errorf("entry: %w", err)
	}
	f := q.raft.Apply(text, until(ctx))
	got := make(chan error, 1)
	go func() { got <- f.Error() }() // it ends with the leadership at the latest
	select {
	case err = <-got:
	case <-ctx.Done():
		return ledger.Done{}, fmt.Errorf("no majority has it yet: %w", ctx.Err())
	}
	if err != nil {
		return ledger.Done{}, fmt.Errorf("not written: %w", err)
	}
	return f.Response().(ledger.Done), nil
}

// State returns what the log has led to here.
func (q *Quorum) State() ledger.State { return q.machine.read() }

// Last returns how far the log goes here, 0 for one that has not begun.
func (q *Quorum) Last() uint64 { return q.raft.LastIndex() }

// Status is how a member's part does.
type Status struct {
	ID       string   `json:"id"`
	Role     string   `json:"role"`
	Leader   string   `json:"leader"`
	Term     uint64   `json:"term"`
	Last     uint64   `json:"last"`    // the last entry that is here
	Applied  uint64   `json:"applied"` // the last one that has had its effect
	Contact  float64  `json:"contact"` // seconds since the leader was heard; -1 for never
	Voters   []string `json:"voters"`
	Followed []string `json:"followers"`
}

// Status returns it.
func (q *Quorum) Status() Status {
	s := Status{ID: string(q.id), Role: strings.ToLower(q.raft.State().String()), Term: q.raft.CurrentTerm(),
		Last: q.raft.LastIndex(), Applied: q.raft.AppliedIndex(), Contact: -1}
	s.Leader, _ = q.Leader()
	if at := q.raft.LastContact(); q.Leads() {
		s.Contact = 0
	} else if !at.IsZero() {
		s.Contact = time.Since(at).Seconds()
	}
	for _, x := range q.servers() {
		if x.Suffrage == raft.Voter {
			s.Voters = append(s.Voters, nameOf(x.ID))
		} else {
			s.Followed = append(s.Followed, nameOf(x.ID))
		}
	}
	return s
}

// Snapshot has the state written down and the log cut short now.
func (q *Quorum) Snapshot() error {
	if err := q.raft.Snapshot().Error(); err != nil && !errors.Is(err, raft.ErrNothingNewToSnapshot) {
		return fmt.Errorf("snapshot: %w", err)
	}
	return nil
}

// closeTime is how long the engine may take to end. Guards the process's end against one that
// stands still.
const closeTime = time.Second

// Close ends the member's part; a leader hands on the lead first where it can.
func (q *Quorum) Close() {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if q.Leads() {
			if err := q.raft.LeadershipTransfer().Error(); err != nil {
				q.log.WithError(err).Debug("the lead was not handed on")
			}
		}
		q.stable.close()
		if err := q.raft.Shutdown().Error(); err != nil {
			q.log.WithError(err).Warn("the log did not end cleanly")
		}
	}()
	late := time.NewTimer(closeTime)
	defer late.Stop()
	select {
	case <-ended:
	case <-late.C:
		q.stable.close()
		q.log.Warn("the log stands still and is left as it is; its file is whole")
		return
	}
	q.trans.Close()
	if q.disk != nil {
		if err := q.disk.close(); err != nil {
			q.log.WithError(err).Warn("the log's file was not closed")
		}
	}
}

// engineLog has the engine's lines go to the log at debug level: while a member is away it
// says so several times a second. What matters is said by this package.
func engineLog(log *logrus.Entry) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Debug, DisableTime: true, Output: lines{log}})
}

type lines struct{ log *logrus.Entry }

func (l lines) Write(b []byte) (int, error) {
	l.log.Debug(strings.TrimSpace(string(b)))
	return len(b), nil
}
