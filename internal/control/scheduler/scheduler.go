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
	Lease           time.Duration // how long an agent may let its runner go on without contact to the head
	StatusRetention time.Duration // how long the state of a job that has ended is kept
	RackPrefix      string        // prefix of the labels that name racks
	RemoteSlowdown  float64       // factor by which work takes longer in another rack than its data
}

// Scheduler is the state of the head. The package comment says how it is used and which invariants it keeps. It is not
// safe for concurrent use.
type Scheduler struct {
	cfg Config

	// Time and the log, as of the last call.
	now         time.Duration // steady clock
	wallMs      int64         // agreed time of day
	epoch       uint64        // that the head serves under; also the runners' fencing token
	committed   uint64        // index of the newest committed entry
	confirmedAt time.Duration // when the newest confirmation of the epoch was asked for

	// What the store holds, with the decisions that are not committed yet.
	config          *routeconfig.Table
	committedConfig *routeconfig.Table // the newest that is committed
	updates         *updateLog
	jobs            *jobs.Table
	fleet           *placement.Fleet

	// What only this head knows.
	queues         map[string]*queue // by service
	runners        map[string]*runner
	sessions       map[string]*session // by the agent's address
	lastSession    uint64              // number of the newest session
	fullSyncWanted bool                // by some session
	counters       map[string]*Counters

	// Output that waits to be taken, or to be committed.
	writes  *jobs.Writes // of the next entry, beside those of jobs
	replies []*protocol.Reply
	batch   batch   // orders of the next entry
	batches []batch // orders of appended entries, by index, until these are committed
	sends   []protocol.Outbound
	events  []event.Event

	// When something is to be done next.
	nextCleanup       time.Duration
	retainUntil       time.Duration // no job that has ended is forgotten earlier
	nextClockWrite    time.Duration // the time of day goes into the first entry from then on
	nextOverdueReport time.Duration

	// What decides whether a scheduling cycle looks at all queues.
	changesAtLastPass uint64 // the fleet's change counter at the last cycle over all queues
	tickedSincePass   bool   // time has passed since that cycle
}

// New returns the scheduler of a member that begins to serve as the head under an epoch. The store is the member's
// replicated state up to index; all of it counts as committed. The error says which part of the state can't be
// decoded; the member must not serve then.
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

// adoptRun takes over a run that an earlier head started and whose end is not recorded.
func (s *Scheduler) adoptRun(step *jobs.Step, index int) {
	task, name := &step.Tasks[index], step.TaskID(index)
	r := s.runner(task.Runner)
	s.fleet.Reserve(r.fleetRunner, name, demandOf(step.Stage), groupOf(step))
	r.live[name] = liveRun{number: task.Run, step: step, index: index, startedAt: s.now}
	s.countRunning(step, 1)
}

// Continue has the scheduler go on under a newer epoch of the same head. All entries that it had appended are
// committed by then: index is that of the newest.
func (s *Scheduler) Continue(now time.Duration, epoch, index uint64) {
	s.now, s.epoch = now, epoch
	for _, sess := range s.sessions {
		s.requestFullSync(sess)
	}
	s.Committed(now, index)
}

// CommittedConfig returns the newest configuration that is committed.
func (s *Scheduler) CommittedConfig() *routeconfig.Table { return s.committedConfig }

// Jobs returns the table of jobs; callers only read it.
func (s *Scheduler) Jobs() *jobs.Table { return s.jobs }

// ClockStepped reports that the time of day has jumped. How long ago a job ended can't be told by it for a while, so
// that none is forgotten for as long as states are kept.
func (s *Scheduler) ClockStepped(now time.Duration) { s.retainUntil = now + s.cfg.StatusRetention }

const (
	// cleanupInterval is how often jobs that have ended are looked through.
	cleanupInterval = time.Second
	// maxExpiredPerEntry bounds how many jobs are forgotten in one entry.
	maxExpiredPerEntry = 200
)

// Tick lets time pass. wallMs is the agreed time of day in ms since 1970; confirmed is when the newest confirmation
// that the epoch stands was asked for.
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

// Entry assigns what can be assigned and returns the entry that is to be appended to the log, nil where nothing has
// changed. The caller appends it and calls Appended before it calls Entry again.
func (s *Scheduler) Entry(now time.Duration) *protocol.Entry {
	s.now = now
	s.schedule()
	s.stopRuns()
	s.enqueueFullSyncs()
	e := s.jobs.TakeWrites().Entry()
	ownWrites := s.writes.Entry()
	s.writes = &jobs.Writes{}
	e.Puts, e.Deletes = append(e.Puts, ownWrites.GetPuts()...), append(e.Deletes, ownWrites.GetDeletes()...)
	e.Replies = s.replies
	s.replies = nil
	if len(e.Puts) == 0 && len(e.Deletes) == 0 && len(e.Replies) == 0 && s.batch.empty() {
		return nil
	}
	if s.now >= s.nextClockWrite {
		s.nextClockWrite = s.now + clockWriteInterval
		e.Puts = append(e.Puts, s.clockItem())
	}
	return e
}

// Appended reports the index of the entry that Entry returned last. Its orders wait until that index is committed.
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

// Committed reports the index of the newest committed entry, and sends the orders of the entries up to it.
func (s *Scheduler) Committed(now time.Duration, index uint64) {
	s.now = now
	s.committed = max(s.committed, index)
	for len(s.batches) > 0 && s.batches[0].index <= s.committed {
		s.sendBatch(&s.batches[0])
		s.batches = s.batches[1:]
	}
}

// TakeSends returns the messages that are to be sent since the last call.
func (s *Scheduler) TakeSends() []protocol.Outbound {
	sends := s.sends
	s.sends = nil
	return sends
}

// TakeEvents returns what is to be logged since the last call.
func (s *Scheduler) TakeEvents() []event.Event {
	events := s.events
	s.events = nil
	return events
}

// put adds an item to the next entry.
func (s *Scheduler) put(key string, body proto.Message) { s.writes.Put(key, body) }
