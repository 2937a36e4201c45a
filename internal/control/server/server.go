package server

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"frosttide/internal/chainclient"
	"frosttide/internal/control/journal"
	"frosttide/internal/control/member"
	"frosttide/internal/control/replica"
	"frosttide/internal/control/scheduler"
	"frosttide/internal/httpserver"
	"frosttide/internal/nodefile"
	"frosttide/internal/process"
	"frosttide/internal/protocol"
)

const (
	// tickInterval is the interval between calls of the member's Tick.
	tickInterval = 20 * time.Millisecond
	// openRetryInterval is the delay before another attempt to open the journal after an error.
	openRetryInterval = 500 * time.Millisecond
	// drainFraction is the fraction of the GraceS setting that a terminating process may spend
	// waiting until the other members hold its complete state.
	drainFraction = 0.75
	// minDrainTimeout is the lower bound of that wait.
	minDrainTimeout = time.Second
	// apiDrainTimeout bounds the subsequent wait for open API calls, which are answered within
	// responseTimeout.
	apiDrainTimeout = responseTimeout + 100*time.Millisecond
	// statusRetentionMargin is added to the StatusS setting, the time for which the state of an
	// ended job must remain known.
	statusRetentionMargin = 10 * time.Second
	// rackPrefix is the prefix of runner labels that name a rack.
	rackPrefix = "r"
)

// Server is a running member of the control plane. Its fields are used only on the event loop of
// the process, except for the field process itself.
type Server struct {
	process *process.Process
	member  *member.Member
	journal *journalWriter
	pending map[uint64]chan<- chainclient.Outcome // unanswered API calls by request ID
}

// Run runs a member until the context ends and the member has been drained. settings are those that
// were read from the file at path. Run returns an error if a required setting is missing, if an
// address can't be listened on, or if the context ends before the journal could be opened.
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
	defer file.Close() // the error is irrelevant: every acknowledged write is already synced
	s.journal = startJournalWriter(file, func(sequence uint64, size int64, err error) {
		p.Post(func() { s.member.DiskDone(p.Now(), sequence, size, err) })
	})
	defer s.journal.stop()
	s.startMember(state)
	api, err := s.serveAPI(settings.ListenAddrs.Control)
	if err != nil {
		return err
	}
	defer api.Close()
	p.Serve(ctx, process.Role{
		TickInterval:  tickInterval,
		Tick:          s.tick,
		AfterTurn:     s.afterTurn,
		ApplySettings: func(changed *nodefile.File) { s.member.SetContacts(changed.Contacts()) },
		Drain:         func() { s.drain(api) },
	})
	return nil
}

// openJournal opens the journal in dir and retries after errors until the context ends. A damaged
// journal yields an empty state.
func openJournal(ctx context.Context, dir string) (*journal.File, journal.State, error) {
	for {
		file, state, err := journal.Open(dir)
		if errors.Is(err, journal.ErrDamaged) {
			klog.ErrorS(err, "Journal is damaged and was moved aside; the member joins under a new identity", "dir", dir)
			err = nil
		}
		if err == nil {
			return file, state, nil
		}
		klog.ErrorS(err, "Journal can't be opened; trying again", "dir", dir)
		select {
		case <-ctx.Done():
			return nil, state, err
		case <-time.After(openRetryInterval):
		}
	}
}

// startMember creates the member. If the journal holds no identity, the member gets a new one: that
// of a founding member if the settings name it as such, otherwise a random one.
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
	klog.InfoS("Starting member", "id", self.GetId(), "address", self.GetAddress(), "index", state.Index, "epoch", state.Accepted.GetEpoch())
	s.member = member.New(s.memberConfig(self), s.process.Now(), state)
}

// memberConfig returns the member's configuration according to the settings.
func (s *Server) memberConfig(self *protocol.Member) member.Config {
	settings := s.process.Settings
	return member.Config{
		Replica: replica.Config{
			Self:            self,
			Incarnation:     s.process.Incarnation,
			ToleratedFaults: settings.FaultTolerance.Machines,
			Contacts:        settings.Contacts(),
			Seed:            s.process.Incarnation,
			Timing:          replica.DefaultTiming(),
		},
		Scheduler: scheduler.Config{
			Lease:           nodefile.Seconds(settings.Bounds.RecoveryS),
			StatusRetention: nodefile.Seconds(settings.Bounds.StatusS) + statusRetentionMargin,
			RackPrefix:      rackPrefix,
			RemoteSlowdown:  settings.Bounds.FarX,
		},
	}
}

// tick passes the current time to the member.
func (s *Server) tick() { s.member.Tick(s.process.Now(), s.process.WallMs()) }

// afterTurn ends a turn of the member and carries out its output: it logs the events, queues the
// writes, sends the messages and answers the API calls.
func (s *Server) afterTurn() {
	out := s.member.Turn(s.process.Now())
	for _, e := range out.Events {
		klog.InfoS(e.Message, e.KeysAndValues...)
	}
	for _, write := range out.Writes {
		s.journal.enqueue(write)
	}
	for _, send := range out.Sends {
		s.process.Send(send.To, send.Message)
	}
	for _, outcome := range out.Outcomes {
		if caller := s.pending[outcome.ID]; caller != nil {
			delete(s.pending, outcome.ID)
			caller <- outcome // does not block: the channel has room for the only outcome
		}
	}
}

// drain waits until the other members can continue without this one, or until the part of GraceS
// reserved for it has passed, and then until the open API calls are answered.
func (s *Server) drain(api *httpserver.Listener) {
	timeout := make(chan time.Duration, 1)
	s.process.Post(func() {
		s.member.Drain(s.process.Now())
		timeout <- max(minDrainTimeout, time.Duration(drainFraction*float64(nodefile.Seconds(s.process.Settings.Bounds.GraceS))))
	})
	deadline := time.Now().Add(<-timeout)
	for !s.drained() && time.Now().Before(deadline) {
		time.Sleep(tickInterval)
	}
	if err := api.Drain(apiDrainTimeout); err != nil {
		klog.ErrorS(err, "API calls are still open after the drain timeout")
	}
}

// drained asks the event loop whether the other members can continue without this one.
func (s *Server) drained() bool {
	result := make(chan bool, 1)
	s.process.Post(func() { result <- s.member.Replica().Drained() })
	return <-result
}
