package scheduler

import (
	"time"

	"google.golang.org/protobuf/proto"

	"frosttide/internal/control/event"
	"frosttide/internal/control/jobs"
	"frosttide/internal/control/placement"
	"frosttide/internal/control/store"
	"frosttide/internal/protocol"
	"frosttide/internal/routeconfig"
)

// Config holds the settings of the placement role.
type Config struct {
	Lease           time.Duration // how long an agent may let its runner keep running tasks without contact to the head
	StatusRetention time.Duration // how long the state of a job that has ended is kept
	RackPrefix      string        // prefix of the labels that name racks
	RemoteSlowdown  float64       // factor by which a task takes longer in another rack than that of its data
}

// Scheduler is the state of the placement role on the head. The package comment describes its use and its invariants.
// It is not safe for concurrent use.
type Scheduler struct {
	cfg Config

	// Time and the log, as of the last call.
	now         time.Duration // monotonic clock
	wallMs      int64         // agreed time of day
	epoch       uint64        // epoch of the head; also the runners' fencing token
	committed   uint64        // index of the newest committed entry
	confirmedAt time.Duration // when the newest confirmation of the epoch was requested

	// State that the store holds, including decisions that are not committed yet.
	config          *routeconfig.Table
	committedConfig *routeconfig.Table // newest committed configuration
	updates         *updateLog
	jobs            *jobs.Table
	fleet           *placement.Fleet

	// State that this head keeps in memory.
	queues            map[string]*queue // by service
	runners           map[string]*runner
	sessions          map[string]*session // by the agent's address
	lastSession       uint64              // number of the newest session
	anyFullSyncNeeded bool                // some session is in the state fullSyncNeeded
	counters          map[string]*Counters

	// Output that the caller has not taken yet, or whose entry is not committed.
	writes  *jobs.Writes // writes of the next entry, except those of jobs
	replies []*protocol.Reply
	batch   batch   // orders of the next entry
	batches []batch // orders of appended entries, by index, until these are committed
	sends   []protocol.Outbound
	events  []event.Event

	// Times of the next periodic actions.
	nextCleanup       time.Duration
	retainUntil       time.Duration // no ended job is removed before this time
	nextClockWrite    time.Duration // the first entry from this time on includes the time of day
	nextOverdueReport time.Duration

	// Whether the next scheduling cycle must visit all queues.
	changesAtLastPass uint64 // the fleet's change counter at the last cycle over all queues
	tickedSincePass   bool   // time has passed since that cycle
	passCutShort      bool   // the last cycle ended because its entry was full
}

// New returns the scheduler of a member that begins to serve as the head under an epoch. state is the member's replicated
// state up to index, all of which counts as committed. New returns an error if a part of the state can't be decoded; the
// member must not serve in that case.
func New(cfg Config, now time.Duration, wallMs int64, epoch, index uint64, state *store.Store) (*Scheduler, error) {
	s := &Scheduler{
		cfg: cfg, now: now, wallMs: wallMs, epoch: epoch, committed: index, confirmedAt: now,
		retainUntil: now + cfg.StatusRetention,
		fleet:       placement.NewFleet(),
		queues:      make(map[string]*queue),
		runners:     make(map[string]*runner),
		sessions:    make(map[string]*session),
		counters:    make(map[string]*Counters),
		writes:      &jobs.Writes{},
	}
	var err error
	if s.jobs, err = jobs.Load(state); err != nil {
		return nil, err
	}
	if s.config, err = LoadConfig(state); err != nil {
		return nil, err
	}
	s.committedConfig = s.config
	if s.updates, err = loadUpdates(state); err != nil {
		return nil, err
	}
	if err := s.loadRunners(state); err != nil {
		return nil, err
	}
	s.jobs.EachLiveRun(s.adoptRun)
	return s, nil
}

// adoptRun takes over a run that an earlier head has started and whose end is not recorded.
func (s *Scheduler) adoptRun(step *jobs.Step, index int) {
	task, name := &step.Tasks[index], step.TaskID(index)
	r := s.runner(task.Runner)
	s.fleet.Reserve(r.fleetRunner, name, demandOf(step.Stage), groupOf(step))
	r.live[name] = liveRun{number: task.Run, step: step, index: index, startedAt: s.now}
	s.countRunning(step, 1)
}

// Continue switches the scheduler to a newer epoch of the same head. All entries that the scheduler has produced must be
// committed; index is that of the newest one.
func (s *Scheduler) Continue(now time.Duration, epoch, index uint64) {
	s.now, s.epoch = now, epoch
	for _, sess := range s.sessions {
		s.requestFullSync(sess)
	}
	s.Committed(now, index)
}

// CommittedConfig returns the newest committed configuration.
func (s *Scheduler) CommittedConfig() *routeconfig.Table { return s.committedConfig }

// Jobs returns the table of jobs, which callers must not modify.
func (s *Scheduler) Jobs() *jobs.Table { return s.jobs }

// ClockStepped tells the scheduler that the time of day has jumped. The time of day then no longer tells how long ago a
// job ended, so no ended job is removed for the next StatusRetention.
func (s *Scheduler) ClockStepped(now time.Duration) { s.retainUntil = now + s.cfg.StatusRetention }

const (
	// cleanupInterval is the time between two removals of ended jobs.
	cleanupInterval = time.Second
	// maxExpiredPerEntry bounds the number of jobs that one cleanup removes.
	maxExpiredPerEntry = 200
)

// Tick advances the time and does the work that is due. wallMs is the agreed time of day in ms since 1970; confirmed is
// the time at which the newest confirmation of the epoch was requested.
func (s *Scheduler) Tick(now time.Duration, wallMs int64, confirmed time.Duration) {
	s.now, s.wallMs, s.confirmedAt, s.tickedSincePass = now, wallMs, max(s.confirmedAt, confirmed), true
	s.jobs.ReleaseOccurrences(wallMs)
	s.expireSessions()
	s.reportOverdue()
	if now >= s.nextCleanup {
		s.nextCleanup = now + cleanupInterval
		if now >= s.retainUntil {
			s.jobs.Expire(wallMs-s.cfg.StatusRetention.Milliseconds(), maxExpiredPerEntry)
		}
	}
}

// Entry runs a scheduling cycle and returns the entry to append to the log, or nil if nothing has changed. The caller
// appends the entry and calls Appended before it calls Entry again. It returns an error if a change can't be encoded. The
// entry then holds only the replies to the requests whose changes are lost, and the caller drops the scheduler, whose
// state includes the changes, and continues with its Replacement.
func (s *Scheduler) Entry(now time.Duration) (*protocol.Entry, error) {
	s.now = now
	s.schedule()
	s.stopRuns()
	s.enqueueFullSyncs()
	if err := s.encodingError(); err != nil {
		return &protocol.Entry{Replies: s.replies}, err
	}
	e := s.jobs.TakeWrites().Entry()
	ownWrites := s.writes.Entry()
	s.writes = &jobs.Writes{}
	e.Puts, e.Deletes = append(e.Puts, ownWrites.GetPuts()...), append(e.Deletes, ownWrites.GetDeletes()...)
	e.Replies = s.replies
	s.replies = nil
	if len(e.Puts) == 0 && len(e.Deletes) == 0 && len(e.Replies) == 0 && s.batch.empty() {
		return nil, nil
	}
	if s.now >= s.nextClockWrite {
		s.nextClockWrite = s.now + clockWriteInterval
		e.Puts = append(e.Puts, s.clockItem())
	}
	return e, nil
}

// Appended tells the scheduler the index of the entry that Entry returned last. The entry's orders are sent once that
// index is committed.
func (s *Scheduler) Appended(index uint64) {
	if s.batch.config == nil && s.config.Version > s.appendedConfigVersion() {
		s.batch.config = s.config
	}
	if !s.batch.empty() {
		s.batch.index = index
		s.batches = append(s.batches, s.batch)
		s.batch = batch{}
	}
}

// appendedConfigVersion returns the newest version of the configuration whose entry has been appended.
func (s *Scheduler) appendedConfigVersion() uint64 {
	for i := len(s.batches) - 1; i >= 0; i-- {
		if c := s.batches[i].config; c != nil {
			return c.Version
		}
	}
	return s.committedConfig.Version
}

// Committed tells the scheduler the index of the newest committed entry. It adds the orders of the entries up to that
// index to the messages to send.
func (s *Scheduler) Committed(now time.Duration, index uint64) {
	s.now = now
	s.committed = max(s.committed, index)
	for len(s.batches) > 0 && s.batches[0].index <= s.committed {
		s.sendBatch(&s.batches[0])
		s.batches = s.batches[1:]
	}
}

// TakeSends returns the messages to send that were added since the last call.
func (s *Scheduler) TakeSends() []protocol.Outbound {
	sends := s.sends
	s.sends = nil
	return sends
}

// TakeEvents returns the events to log that were added since the last call.
func (s *Scheduler) TakeEvents() []event.Event {
	events := s.events
	s.events = nil
	return events
}

// put adds an item to the next entry.
func (s *Scheduler) put(key string, body proto.Message) { s.writes.Put(key, body) }
