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
	// tickInterval is how often the member is told of the time.
	tickInterval = 20 * time.Millisecond
	// openRetryInterval is the pause between tries to open the file of a disk that refuses.
	openRetryInterval = 500 * time.Millisecond
	// drainFraction is the share of the grace time for which a process that ends waits for the others to have all that
	// it has.
	drainFraction = 0.75
	// statusRetentionMargin is how much longer than asked for the state of a job is kept.
	statusRetentionMargin = 10 * time.Second
	// rackPrefix begins the labels that name racks.
	rackPrefix = "r"
)

// Server is the process.
type Server struct {
	process *process.Process
	member  *member.Member
	writer  *journalWriter
	pending map[uint64]chan<- chainclient.Outcome // requests of the API
}

// Run runs the process until the context ends.
func Run(ctx context.Context, path string, settings *nodefile.File) error {
	if settings.DataDir == "" {
		return nodefile.MissingKey(path, "DataDir")
	}
	if settings.ListenAddrs.Control == "" {
		return nodefile.MissingKey(path, "ListenAddrs.Control")
	}
	s := &Server{pending: make(map[uint64]chan<- chainclient.Outcome)}
	p, err := process.New(path, settings, "control", func(from string, e *protocol.Envelope) {
		s.member.Receive(s.process.Now(), from, e)
	})
	if err != nil {
		return err
	}
	defer p.Close()
	s.process = p
	file, state, err := openJournal(ctx, settings.DataDir)
	if err != nil {
		return err
	}
	defer file.Close()
	s.writer = newJournalWriter(file, func(sequence uint64, size int64, err error) {
		p.Post(func() { s.member.DiskDone(p.Now(), sequence, size, err) })
	})
	s.startMember(state)
	stop, err := s.serveAPI(settings.ListenAddrs.Control)
	if err != nil {
		return err
	}
	defer stop()
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p.WatchSettings(runCtx, func(changed *nodefile.File) { s.member.SetContacts(changed.Contacts()) })
	go func() {
		<-ctx.Done()
		p.Post(func() { s.drain(cancel) })
	}()
	p.Run(runCtx, tickInterval, s.tick, s.afterTurn)
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
		case <-time.After(openRetryInterval):
		}
	}
}

// startMember makes the member, with a new identity where the disk holds none.
func (s *Server) startMember(state journal.State) {
	settings := s.process.Settings
	self := &protocol.Member{Id: state.ID, Address: s.process.Address, Control: settings.ListenAddrs.Control, Zone: settings.Zone}
	if state.ID == 0 {
		self.Id = s.process.Incarnation
		if founders := foundingMembers(settings); founders != nil {
			self.Id = founderID(settings.ListenAddrs.Control)
			state = replica.FoundingState(self, founders)
		}
	}
	klog.InfoS("Member begins", "id", self.GetId(), "address", self.GetAddress(), "index", state.Index, "epoch", state.Accepted.GetEpoch())
	s.member = member.New(member.Config{
		Replica: replica.Config{Self: self, Incarnation: s.process.Incarnation, ToleratedFaults: settings.FaultTolerance.Machines,
			Contacts: settings.Contacts(), Seed: s.process.Incarnation, Timing: replica.DefaultTiming()},
		Scheduler: scheduler.Config{Lease: nodefile.Seconds(settings.Bounds.RecoveryS), StatusRetention: nodefile.Seconds(settings.Bounds.StatusS) + statusRetentionMargin,
			RackPrefix: rackPrefix, RemoteSlowdown: settings.Bounds.FarX},
	}, s.process.Now(), state)
}

// founderID returns the identity of a founder, which is named by its operator's address.
func founderID(control string) uint64 { return xxhash.Sum64String("founder " + control) }

// foundingMembers returns the members of view 0 where this process is one of them: the seeds of a system that
// starts for the first time.
func foundingMembers(settings *nodefile.File) (founders []*protocol.Member) {
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
func (s *Server) tick() { s.member.Tick(s.process.Now(), s.process.WallMs()) }

// afterTurn carries out what a turn has led to.
func (s *Server) afterTurn() {
	out := s.member.Turn(s.process.Now())
	for _, e := range out.Events {
		klog.InfoS(e.Message, e.KeysAndValues...)
	}
	for _, w := range out.Writes {
		s.writer.enqueue(w)
	}
	for _, send := range out.Sends {
		s.process.Send(send.To, send.Message)
	}
	for _, o := range out.Outcomes {
		if waiting := s.pending[o.ID]; waiting != nil {
			delete(s.pending, o.ID)
			waiting <- o
		}
	}
}

// drain ends the process once the others go on without it.
func (s *Server) drain(cancel func()) {
	startedAt := s.process.Now()
	maxWait := max(time.Second, time.Duration(drainFraction*float64(nodefile.Seconds(s.process.Settings.Bounds.GraceS))))
	s.member.Drain(startedAt)
	var poll func()
	poll = func() {
		if s.member.Replica().Drained() || s.process.Now()-startedAt > maxWait {
			cancel()
			return
		}
		time.AfterFunc(tickInterval, func() { s.process.Post(poll) })
	}
	poll()
}
