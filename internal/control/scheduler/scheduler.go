// Package scheduler is what the head of the chain does with the control state: it evaluates clients'
// requests, keeps the sessions of the companions, places ready tasks on runners, and says what is to be
// written and, once that is committed, what is to be sent. It is a pure state machine; it is made of
// the store when a member becomes the head and dropped when it no longer is.
package scheduler

import (
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"frosttide/internal/control/event"
	"frosttide/internal/control/jobs"
	"frosttide/internal/control/placement"
	"frosttide/internal/control/store"
	"frosttide/internal/protocol"
	"frosttide/internal/routeconfig"
)

// Config holds what the settings say.
type Config struct {
	Lease           time.Duration // how long companions may extend holds without hearing of the head
	StatusRetention time.Duration // how long the state of a job that has ended is kept
	RackPrefix      string        // label prefix that names racks
	RemoteSlowdown  float64       // how many times as long work takes away from its data
}

// Send is a message to the process at an internal address.
type Send struct {
	To      string
	Message *protocol.Envelope
}

// maxClockDrift is how much slower than ours a runner's clock may be; the rules say 2%.
const maxClockDrift = 0.03

// leaseMargin is added to a lease's end for the time that messages and stops take.
const leaseMargin = 300 * time.Millisecond

// Scheduler is the head's state. It is not safe for concurrent use.
type Scheduler struct {
	cfg         Config
	now         time.Duration
	wallMs      int64
	epoch       uint64
	committed   uint64
	confirmedAt time.Duration // when the newest confirmation of the epoch had been asked for

	config            *routeconfig.Table
	committedConfig   *routeconfig.Table
	updates           *updateLog
	jobs              *jobs.Table
	fleet             *placement.Fleet
	queues            map[string]*queue // by service
	runners           map[string]*runner
	sessions          map[string]*session // by the companion's address
	lastSession       uint64
	fullSyncWanted    bool         // by some session
	writes            *jobs.Writes // beside the jobs' own
	replies           []*protocol.Reply
	sends             []Send
	batches           []batch              // orders that wait for their entry to be committed
	batch             batch                // orders of the entry that is being made
	counters          map[string]*Counters // by service
	events            []event.Event        // for the log
	nextCleanup       time.Duration
	retainUntil       time.Duration // no job that has ended is forgotten before
	nextClockWrite    time.Duration // when the time of day is written again, with an entry that is written anyway
	nextOverdueReport time.Duration
	changesAtLastPass uint64 // the fleet's changes at the last pass over all queues
	tickedSincePass   bool   // since that pass
}

// New returns the scheduler of a member that begins to serve as the head with a store.
func New(cfg Config, now time.Duration, wallMs int64, epoch, index uint64, state *store.Store) (*Scheduler, error) {
	table, err := jobs.Load(state)
	if err != nil {
		return nil, err
	}
	s := &Scheduler{cfg: cfg, now: now, wallMs: wallMs, retainUntil: now + cfg.StatusRetention, epoch: epoch, committed: index, confirmedAt: now, jobs: table, fleet: placement.NewFleet(),
		queues: make(map[string]*queue), runners: make(map[string]*runner), counters: make(map[string]*Counters), sessions: make(map[string]*session), writes: &jobs.Writes{}}
	if s.config, err = loadConfig(state); err != nil {
		return nil, err
	}
	s.committedConfig = s.config
	if s.updates, err = loadUpdates(state); err != nil {
		return nil, err
	}
	if err := s.loadRunners(state); err != nil {
		return nil, err
	}
	s.jobs.EachLiveRun(func(state *jobs.Step, index int) {
		task := &state.Tasks[index]
		r := s.runner(task.Runner)
		s.fleet.Reserve(r.fleetRunner, state.TaskID(index), demandOf(state.Stage), groupOf(state))
		r.live[state.TaskID(index)] = liveRun{number: task.Run, step: state, index: index, startedAt: now}
		s.countRunning(state, 1)
	})
	return s, nil
}

// Continue has the scheduler go on under a newer epoch of the same head. All that it has had appended
// is committed by then.
func (s *Scheduler) Continue(now time.Duration, epoch, index uint64) {
	s.now, s.epoch = now, epoch
	for _, state := range s.sessions {
		s.requestFullSync(state)
	}
	s.Committed(now, index)
}

// Epoch returns the epoch that the scheduler serves under.
func (s *Scheduler) Epoch() uint64 { return s.epoch }

// CommittedConfig returns the newest configuration that is committed.
func (s *Scheduler) CommittedConfig() *routeconfig.Table { return s.committedConfig }

// Jobs returns the account of jobs; it is only read.
func (s *Scheduler) Jobs() *jobs.Table { return s.jobs }

// Fleet returns the runners' accounts; they are only read.
func (s *Scheduler) Fleet() *placement.Fleet { return s.fleet }

// ClockStepped notes that the time of day has jumped: how long ago jobs have ended is not known by it for a while.
func (s *Scheduler) ClockStepped(now time.Duration) { s.retainUntil = now + s.cfg.StatusRetention }

// Tick lets time pass. wallMs is the agreed time of day; confirmed is when the newest confirmation that the
// epoch stands had been asked for.
func (s *Scheduler) Tick(now time.Duration, wallMs int64, confirmed time.Duration) {
	s.now, s.wallMs, s.confirmedAt, s.tickedSincePass = now, wallMs, max(s.confirmedAt, confirmed), true
	s.jobs.ReleaseOccurrences(wallMs)
	s.expireSessions()
	s.reportOverdue()
	if now >= s.nextCleanup {
		s.nextCleanup = now + time.Second
		if now >= s.retainUntil {
			s.jobs.Expire(wallMs-s.cfg.StatusRetention.Milliseconds(), maxExpiredPerEntry)
		}
	}
}

// maxExpiredPerEntry bounds how many jobs are forgotten in an entry.
const maxExpiredPerEntry = 200

// Entry places what can be placed and returns what is to be appended, nil where there is nothing.
func (s *Scheduler) Entry(now time.Duration) *protocol.Entry {
	s.now = now
	s.schedule()
	s.stopRuns()
	s.enqueueFullSyncs()
	writes := s.jobs.TakeWrites()
	e := writes.Entry()
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

// Appended notes the index of the entry that was returned last.
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

// appendedConfigVersion returns the newest version whose entry has been appended.
func (s *Scheduler) appendedConfigVersion() uint64 {
	for i := len(s.batches) - 1; i >= 0; i-- {
		if c := s.batches[i].config; c != nil {
			return c.Version
		}
	}
	return s.committedConfig.Version
}

// Committed sends the orders whose entries are committed.
func (s *Scheduler) Committed(now time.Duration, index uint64) {
	s.now = now
	s.committed = max(s.committed, index)
	for len(s.batches) > 0 && s.batches[0].index <= s.committed {
		s.sendBatch(&s.batches[0])
		s.batches = s.batches[1:]
	}
}

// TakeSends returns the messages to be sent since the last call.
func (s *Scheduler) TakeSends() []Send {
	out := s.sends
	s.sends = nil
	return out
}

// clockKey is the key of protocol.ClockRecord; clockEvery is how often it is written at the most.
const (
	clockKey           = "w"
	clockWriteInterval = time.Second
)

// clockItem returns the item that holds the time of day that the state goes by.
func (s *Scheduler) clockItem() *protocol.Put {
	value, err := proto.Marshal(&protocol.ClockRecord{TimeMs: s.wallMs})
	if err != nil {
		panic("scheduler: a record can't be encoded: " + err.Error())
	}
	return &protocol.Put{Key: clockKey, Value: value}
}

// LoadClock returns the newest time of day that a store is known to have gone by, in ms from 1970, 0 where it holds
// none.
func LoadClock(state *store.Store) int64 {
	var record protocol.ClockRecord
	if value, ok := state.Get(clockKey); !ok || proto.Unmarshal(value, &record) != nil {
		return 0
	}
	return record.GetTimeMs()
}

// put adds an item to the next entry.
func (s *Scheduler) put(key string, body proto.Message) { s.writes.Put(key, body) }

// demandOf returns what a task of a step asks for.
func demandOf(state *protocol.Stage) placement.Resources {
	return placement.Resources{CPU: state.GetCpu(), MemMB: state.GetMemMb(), GPUs: state.GetGpus()}
}

func groupOf(state *jobs.Step) placement.Group {
	return placement.Group{Job: state.Job.ID, Occurrence: state.Occurrence.Number, Step: state.Number}
}

// rackOf returns the label that names a runner's rack.
func rackOf(prefix string, labels []string) string {
	for _, l := range labels {
		if strings.HasPrefix(l, prefix) && strings.Contains(l, "-") {
			return l
		}
	}
	return ""
}
