// Package server runs a member of the control plane on files, sockets and clocks, and serves the operator's
// API.
package server

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
	"frosttide/internal/control/member"
	"frosttide/internal/control/replica"
	"frosttide/internal/control/scheduler"
	"frosttide/internal/nodefile"
	"frosttide/internal/process"
	"frosttide/internal/protocol"
)

const (
	// tickEvery is how often the member is told of the time.
	tickEvery = 20 * time.Millisecond
	// openPause is the pause between tries to open the file of a disk that refuses.
	openPause = 500 * time.Millisecond
	// leaveShare is the share of the grace time for which a process that ends waits for the others to have all that
	// it has.
	leaveShare = 0.75
	// statusMargin is how much longer than asked for the state of a job is kept.
	statusMargin = 10 * time.Second
	// rackPrefix begins the labels that name racks.
	rackPrefix = "r"
)

// Host is the process.
type Host struct {
	process *process.Process
	member  *member.Member
	disk    *disk
	waiting map[uint64]chan<- chainclient.Outcome // requests of the API
}

// Run runs the process until the context ends.
func Run(ctx context.Context, path string, settings *nodefile.File) error {
	if settings.DataDir == "" {
		return nodefile.Needs(path, "DataDir")
	}
	if settings.ListenAddrs.Control == "" {
		return nodefile.Needs(path, "ListenAddrs.Control")
	}
	h := &Host{waiting: make(map[uint64]chan<- chainclient.Outcome)}
	p, err := process.New(path, settings, "control", func(from string, e *protocol.Envelope) {
		h.member.Receive(h.process.Now(), from, e)
	})
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
	h.disk = newDisk(file, func(sequence uint64, size int64, err error) {
		p.Do(func() { h.member.DiskDone(p.Now(), sequence, size, err) })
	})
	h.begin(state)
	stop, err := h.serveAPI(settings.ListenAddrs.Control)
	if err != nil {
		return err
	}
	defer stop()
	running, end := context.WithCancel(context.Background())
	defer end()
	p.Follow(running, func(changed *nodefile.File) { h.member.SetContacts(changed.Contacts()) })
	go func() {
		<-ctx.Done()
		p.Do(func() { h.leave(end) })
	}()
	p.Loop(running, tickEvery, h.tick, h.after)
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

// begin makes the member, with a new identity where the disk holds none.
func (h *Host) begin(state journal.State) {
	settings := h.process.Settings
	self := &protocol.Member{Id: state.ID, Address: h.process.Address, Control: settings.ListenAddrs.Control, Zone: settings.Zone}
	if state.ID == 0 {
		self.Id = h.process.Incarnation
		if founders := founders(settings); founders != nil {
			self.Id = founderID(settings.ListenAddrs.Control)
			state = replica.Founding(self, founders)
		}
	}
	klog.InfoS("Member begins", "id", self.GetId(), "address", self.GetAddress(), "index", state.Index, "epoch", state.Accepted.GetEpoch())
	h.member = member.New(member.Config{
		Replica: replica.Config{Self: self, Incarnation: h.process.Incarnation, Faults: settings.FaultTolerance.Machines,
			Contacts: settings.Contacts(), Seed: h.process.Incarnation, Timing: replica.DefaultTiming()},
		Scheduler: scheduler.Config{Lease: nodefile.Seconds(settings.Bounds.RecoveryS), StatusKept: nodefile.Seconds(settings.Bounds.StatusS) + statusMargin,
			RackPrefix: rackPrefix, FarFactor: settings.Bounds.FarX},
	}, h.process.Now(), state)
}

// founderID returns the identity of a founder, which is named by its operator's address.
func founderID(control string) uint64 { return xxhash.Sum64String("founder " + control) }

// founders returns the members of view 0 where this process is one of them: the seeds of a system that
// starts for the first time.
func founders(settings *nodefile.File) (founders []*protocol.Member) {
	if !settings.Bootstrap || !slices.Contains(settings.Seeds, settings.ListenAddrs.Control) {
		return nil
	}
	for i, seed := range slices.Sorted(slices.Values(settings.Seeds)) {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			return nil
		}
		founders = append(founders, &protocol.Member{Id: founderID(seed), Number: uint32(i + 1), Address: settings.InternalAddress(host, 0), Control: seed})
	}
	return founders
}

// tick lets time pass.
func (h *Host) tick() { h.member.Tick(h.process.Now(), h.process.WallMs()) }

// after carries out what a turn has led to.
func (h *Host) after() {
	out := h.member.Turn(h.process.Now())
	for _, text := range out.Notes {
		klog.Info(text)
	}
	for _, w := range out.Writes {
		h.disk.put(w)
	}
	for _, s := range out.Sends {
		h.process.Send(s.To, s.Message)
	}
	for _, o := range out.Outcomes {
		if waiting := h.waiting[o.ID]; waiting != nil {
			delete(h.waiting, o.ID)
			waiting <- o
		}
	}
}

// leave ends the process once the others go on without it.
func (h *Host) leave(end func()) {
	began := h.process.Now()
	most := max(time.Second, time.Duration(leaveShare*float64(nodefile.Seconds(h.process.Settings.Bounds.GraceS))))
	h.member.Leave(began)
	var look func()
	look = func() {
		if h.member.Replica().MayLeave() || h.process.Now()-began > most {
			end()
			return
		}
		time.AfterFunc(tickEvery, func() { h.process.Do(look) })
	}
	look()
}
