// Package host runs a member of the control plane: the replica, the scheduler where it is the head, the
// gossip and the operator's API, on files, sockets and clocks.
package host

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"frosttide/internal/chainclient"
	"frosttide/internal/control/journal"
	"frosttide/internal/control/replica"
	"frosttide/internal/control/scheduler"
	"frosttide/internal/gossip"
	"frosttide/internal/nodefile"
	"frosttide/internal/process"
	"frosttide/internal/protocol"
)

const (
	// tickEvery is how often the state machines are told of the time.
	tickEvery = 20 * time.Millisecond
	// openPause is the pause between tries to open the file of a disk that refuses.
	openPause = 500 * time.Millisecond
	// leaveTime is how long a process that ends waits for the others to go on without it.
	leaveTime = time.Second
)

// Host is the process.
type Host struct {
	process   *process.Process
	machine   *replica.Machine
	scheduler *scheduler.Scheduler // nil where this member does not serve as the head
	gossip    *gossip.Machine
	client    *chainclient.Client
	disk      *disk
	reads     map[uint64]pendingRead
	nextRead  uint64
	waiting   map[uint64]chan<- chainclient.Outcome // requests of the own API
	known     uint64                                // epoch that gossip and client have been told of
	saved     uint64                                // version of the configuration that gossip has been told of
}

// pendingRead is a read at the tail whose answer is not certain yet.
type pendingRead struct {
	to    string
	reply *protocol.ClientReply
}

// Run runs the process until the context ends.
func Run(ctx context.Context, path string, settings *nodefile.File) error {
	if settings.DataDir == "" {
		return nodefile.Needs(path, "DataDir")
	}
	if settings.ListenAddrs.Control == "" {
		return nodefile.Needs(path, "ListenAddrs.Control")
	}
	h := &Host{reads: make(map[uint64]pendingRead), waiting: make(map[uint64]chan<- chainclient.Outcome)}
	p, err := process.New(path, settings, "control", h.receive)
	if err != nil {
		return err
	}
	defer p.Close()
	h.process = p
	file, state, err := openJournal(ctx, settings.DataDir)
	if err != nil {
		return err
	}
	defer file.Close()
	h.disk = newDisk(file, func(sequence uint64, err error) {
		p.Do(func() { h.act(h.machine.DiskDone(p.Now(), sequence, err)) })
	})
	h.begin(state)
	stop, err := h.serveAPI(settings.ListenAddrs.Control)
	if err != nil {
		return err
	}
	defer stop()
	p.Do(func() { h.act(h.machine.Begin(p.Now())) })
	leaving, left := context.WithCancel(context.Background())
	defer left()
	go func() {
		<-ctx.Done()
		p.Do(func() { h.leave(left) })
	}()
	p.Loop(leaving, tickEvery, h.tick, h.after)
	return nil
}

// openJournal opens the file, however long the disk refuses.
func openJournal(ctx context.Context, dir string) (*journal.File, journal.State, error) {
	for {
		file, state, err := journal.Open(dir)
		if errors.Is(err, journal.ErrDamaged) {
			klog.ErrorS(err, "The file on disk is damaged and put aside; this member joins as a new one", "dir", dir)
			err = nil
		}
		if err == nil {
			return file, state, nil
		}
		klog.ErrorS(err, "The disk can't be used; this member waits for it", "dir", dir)
		select {
		case <-ctx.Done():
			return nil, state, err
		case <-time.After(openPause):
		}
	}
}

// begin makes the state machines, and an identity where the disk holds none.
func (h *Host) begin(state journal.State) {
	settings := h.process.Settings
	self := &protocol.Member{Id: state.ID, Address: h.process.Address, Control: settings.ListenAddrs.Control, Zone: settings.Zone}
	if state.ID == 0 {
		self.Id = h.process.Incarnation
		if founders := h.founders(); founders != nil {
			for _, f := range founders {
				if f.GetAddress() == self.GetAddress() {
					self.Id = f.GetId()
					state = replica.Founding(self, founders)
				}
			}
		}
	}
	klog.InfoS("Member begins", "id", self.GetId(), "address", self.GetAddress(), "index", state.Index, "epoch", state.Accepted.GetEpoch())
	h.machine = replica.New(replica.Config{Self: self, Incarnation: h.process.Incarnation, Faults: settings.FaultTolerance.Machines,
		Contacts: settings.Contacts(), Seed: h.process.Incarnation, Timing: replica.DefaultTiming()}, h.process.Now(), state)
	h.gossip = gossip.New(gossip.Config{Address: h.process.Address, Role: "control", Contacts: settings.Contacts(), Seed: h.process.Incarnation})
	h.client = chainclient.New(h.process.Incarnation, settings.Contacts())
}

// founders returns the members of view 0 where this member is one of them: the seeds of a system that
// starts for the first time, named by their addresses.
func (h *Host) founders() (founders []*protocol.Member) {
	settings := h.process.Settings
	if !settings.Bootstrap || !slices.Contains(settings.Seeds, settings.ListenAddrs.Control) {
		return nil
	}
	seeds := slices.Sorted(slices.Values(settings.Seeds))
	for i, seed := range seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			return nil
		}
		founders = append(founders, &protocol.Member{Id: xxhash.Sum64String("founder " + seed), Number: uint32(i + 1), Address: settings.InternalAddress(host, 0), Control: seed})
	}
	return founders
}

// receive handles a message of another process.
func (h *Host) receive(from string, e *protocol.Envelope) {
	now := h.process.Now()
	switch body := e.GetBody().(type) {
	case *protocol.Envelope_ClientRequest:
		h.onRequest(from, body.ClientRequest)
	case *protocol.Envelope_ClientReply:
		h.client.Reply(now, body.ClientReply)
	case *protocol.Envelope_RunnerReport:
		if h.scheduler != nil {
			h.scheduler.Report(now, from, body.RunnerReport)
		}
	case *protocol.Envelope_Shuffle, *protocol.Envelope_Rumor, *protocol.Envelope_RumorPull, *protocol.Envelope_ConfigDelta:
		h.gossip.Receive(now, from, e)
	default:
		h.act(h.machine.Receive(now, from, e))
	}
}

// tick lets time pass.
func (h *Host) tick() {
	now, wall := h.process.Now(), h.process.WallMs()
	h.act(h.machine.Tick(now, wall))
	if h.scheduler != nil {
		h.scheduler.Tick(now, wall, h.machine.ConfirmedAt())
	}
	h.gossip.Tick(now)
	h.client.Tick(now)
}

// after follows each turn: what it has led to is appended and sent.
func (h *Host) after() {
	now := h.process.Now()
	h.append(now)
	h.learn(now)
	for _, s := range h.gossip.TakeSends() {
		h.process.Send(s.To, s.Message)
	}
	for _, s := range h.client.TakeSends() {
		h.process.Send(s.To, s.Message)
	}
	for _, o := range h.client.TakeOutcomes() {
		if waiting := h.waiting[o.ID]; waiting != nil {
			delete(h.waiting, o.ID)
			waiting <- o
		}
	}
}

// append has the scheduler's decisions written, and its orders sent once that is committed.
func (h *Host) append(now time.Duration) {
	if h.scheduler == nil {
		return
	}
	if h.machine.CanAppend() {
		if e := h.scheduler.Entry(now); e != nil {
			index, actions, _ := h.machine.Append(now, e)
			h.scheduler.Appended(index)
			h.act(actions)
		}
	}
	if h.scheduler == nil {
		return
	}
	h.scheduler.Committed(now, h.machine.Committed())
	for _, s := range h.scheduler.TakeSends() {
		h.process.Send(s.To, s.Message)
	}
	if t := h.scheduler.CommittedConfig(); t.Version > h.saved {
		h.saved = t.Version
		h.gossip.SetConfig(now, t)
	}
}

// learn tells gossip and the client of the newest view, from wherever it came.
func (h *Host) learn(now time.Duration) {
	v := h.machine.View()
	if other := h.gossip.View(); other.GetEpoch() > v.GetEpoch() {
		v = other
	}
	if v.GetEpoch() > h.known {
		h.known = v.GetEpoch()
		h.gossip.SetView(now, v)
		h.client.Learn(now, v)
	}
}

// act carries out what the replica wants done.
func (h *Host) act(a replica.Actions) {
	for _, text := range a.Notes {
		klog.Info(text)
	}
	for _, w := range a.Writes {
		h.disk.put(w)
	}
	for _, s := range a.Sends {
		h.process.Send(s.To, s.Message)
	}
	for _, r := range a.Replies {
		h.process.Send(r.GetAddress(), &protocol.Envelope{Body: &protocol.Envelope_ClientReply{ClientReply: r.GetReply()}})
	}
	for _, r := range a.Roles {
		h.onRole(r)
	}
	for _, token := range a.ReadsReady {
		h.finishRead(token, true)
	}
	for _, token := range a.ReadsFailed {
		h.finishRead(token, false)
	}
}

// onRole begins or ends the scheduler.
func (h *Host) onRole(r replica.Role) {
	if !r.Serving {
		h.scheduler = nil
		return
	}
	now := h.process.Now()
	if h.scheduler != nil {
		h.scheduler.Continue(now, r.Epoch, h.machine.Committed())
		return
	}
	settings := h.process.Settings
	s, err := scheduler.New(scheduler.Config{
		Lease:      nodefile.Seconds(settings.Bounds.RecoveryS),
		StatusKept: nodefile.Seconds(settings.Bounds.StatusS) + statusMargin,
		RackPrefix: "r",
		FarFactor:  settings.Bounds.FarX,
	}, now, h.process.WallMs(), r.Epoch, h.machine.Committed(), h.machine.Store())
	if err != nil {
		klog.ErrorS(err, "The state can't be read; this member can't schedule")
		return
	}
	h.scheduler = s
}

// statusMargin is how much longer than asked for the state of a job is kept.
const statusMargin = 10 * time.Second

// leave ends the process once the others go on without it.
func (h *Host) leave(end func()) {
	now := h.process.Now()
	h.act(h.machine.Leave(now))
	began := now
	var look func()
	look = func() {
		in := slices.Contains(h.machine.View().GetChain(), h.machine.Status().Self)
		if !in || h.process.Now()-began > leaveTime {
			end()
			return
		}
		time.AfterFunc(tickEvery, func() { h.process.Do(look) })
	}
	look()
}
