package scheduler

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"frosttide/internal/control/jobs"
	"frosttide/internal/control/placement"
	"frosttide/internal/control/store"
	"frosttide/internal/protocol"
)

// runnerPrefix is the prefix of the keys of protocol.RunnerRecord.
const runnerPrefix = "r/"

// runner is what is known of a runner beside its account.
type runner struct {
	id              string
	fleetRunner     *placement.Runner
	live            map[string]liveRun // by task
	recordedEnd     uint64             // highest end in the store, or in the entry that is being made
	acknowledgedEnd uint64             // highest end whose noting is committed
	persisted       bool               // there is an item of it
	agent           string             // internal address of the companion on its machine
	session         *session           // nil while no companion speaks for it
	lostAfter       time.Duration      // when its holds have surely run out, without a session
	registered      bool               // it has given an account of itself to this head
}

// liveRun is a run that may be under way.
type liveRun struct {
	number     uint32
	step       *jobs.Step
	index      int
	checkpoint string        // checkpoint it starts from
	startedAt  time.Duration // when it was started, or taken over from the head before
	pending    bool          // its start is not committed yet
	stopSent   bool          // it is to be stopped
	evacuating bool          // its stop has been asked for, as its runner drains
}

// runner returns what is known of a runner and makes it where nothing is: its holds may last for a
// lease from now on.
func (s *Scheduler) runner(id string) *runner {
	r := s.runners[id]
	if r == nil {
		r = &runner{id: id, fleetRunner: s.fleet.Add(id), live: make(map[string]liveRun), lostAfter: s.leaseOverAt(s.now + s.cfg.Lease)}
		s.runners[id] = r
	}
	return r
}

func (s *Scheduler) loadRunners(state *store.Store) error {
	var problem error
	state.Each(func(key string, value []byte) {
		if !strings.HasPrefix(key, runnerPrefix) {
			return
		}
		var record protocol.RunnerRecord
		problem = errors.CombineErrors(problem, proto.Unmarshal(value, &record))
		r := s.runner(strings.TrimPrefix(key, runnerPrefix))
		r.recordedEnd, r.acknowledgedEnd, r.persisted, r.agent = record.GetLastSeen(), record.GetLastSeen(), true, record.GetCompanion()
	})
	return errors.Wrap(problem, "scheduler: the stored runners can't be read")
}

// declareOthersLost gives up the runners that a machine had before the one it has now: a machine has one, which
// comes back under another id after a crash and runs nothing then. Their companion's address is stored, so
// that a head that has never met them knows it too.
func (s *Scheduler) declareOthersLost(agent, keep string) {
	for _, id := range slices.Sorted(maps.Keys(s.runners)) {
		if s.runners[id].agent == agent && id != keep {
			s.declareLost(id)
		}
	}
}

func (s *Scheduler) writeRunner(r *runner) {
	r.persisted = true
	s.put(runnerPrefix+r.id, &protocol.RunnerRecord{LastSeen: r.recordedEnd, Companion: r.agent})
}

// releaseRun gives back what a run held.
func (s *Scheduler) releaseRun(r *runner, task string) {
	s.batch.addDrop(r.id, task, r.live[task].number)
	s.countRunning(r.live[task].step, -1)
	delete(r.live, task)
	s.fleet.Release(r.fleetRunner, task)
}

// declareLost notes that a runner surely runs nothing any more.
func (s *Scheduler) declareLost(id string) {
	r := s.runners[id]
	if r == nil {
		return
	}
	for _, task := range slices.Sorted(maps.Keys(r.live)) {
		run := r.live[task]
		if name, ok := jobs.ParseTask(task); ok {
			s.jobs.RecordEnd(name, run.number, id, jobs.EndLost, "", s.maxAttempts(name.Job), s.wallMs)
		}
		s.countRunning(run.step, -1)
		s.countEnd(run.step, jobs.EndLost)
		delete(r.live, task)
		s.fleet.Release(r.fleetRunner, task)
	}
	if r.persisted {
		s.writes.Delete(runnerPrefix + id)
	}
	if r.session != nil && r.session.runner == id {
		r.session.runner = ""
	}
	s.fleet.Remove(id)
	delete(s.runners, id)
}
