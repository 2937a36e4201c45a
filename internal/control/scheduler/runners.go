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

// runner is what the head knows of a runner, beside its capacity and reservations, which the fleet keeps.
type runner struct {
	id          string
	fleetRunner *placement.Runner
	live        map[string]liveRun // by task: runs that may be under way

	// What the store holds of it.
	persisted       bool   // the store, or the next entry, has an item of it
	agent           string // internal address of the agent on its machine
	recordedEnd     uint64 // highest end in the store or the next entry
	acknowledgedEnd uint64 // highest end whose entry is committed; only those are acknowledged

	// Its contact with this head.
	session    *session      // nil while no agent reports for it
	registered bool          // its agent has registered it with this head
	lostAfter  time.Duration // without a session: when its leases are over
}

// liveRun is a run that may be under way: its end is not recorded.
type liveRun struct {
	number     uint32
	step       *jobs.Step
	index      int           // of the task in its step
	checkpoint string        // that it starts from
	startedAt  time.Duration // or when this head took it over
	pending    bool          // the entry of its start is not committed
	stopSent   bool          // the order to stop it has been sent
	evacuating bool          // it is to be stopped as its runner drains
}

// runner returns what is known of a runner. For one that is new to this head it assumes that an earlier head may just
// have granted a lease.
func (s *Scheduler) runner(id string) *runner {
	r := s.runners[id]
	if r == nil {
		r = &runner{id: id, fleetRunner: s.fleet.Add(id), live: make(map[string]liveRun), lostAfter: s.leaseOverAt(s.now + s.cfg.Lease)}
		s.runners[id] = r
	}
	return r
}

// loadRunners takes over the runners that a store holds; the error is that of items that can't be decoded.
func (s *Scheduler) loadRunners(state *store.Store) error {
	var err error
	state.ForEach(func(key string, value []byte) {
		id, isRunner := strings.CutPrefix(key, runnerPrefix)
		if !isRunner {
			return
		}
		var record protocol.RunnerRecord
		err = errors.CombineErrors(err, proto.Unmarshal(value, &record))
		r := s.runner(id)
		r.recordedEnd, r.acknowledgedEnd, r.persisted, r.agent = record.GetLastSeen(), record.GetLastSeen(), true, record.GetCompanion()
	})
	return errors.Wrap(err, "scheduler: the stored runners can't be read")
}

// writeRunner writes the item of a runner.
func (s *Scheduler) writeRunner(r *runner) {
	r.persisted = true
	s.put(runnerPrefix+r.id, &protocol.RunnerRecord{LastSeen: r.recordedEnd, Companion: r.agent})
}

// releaseRun removes a run whose end is recorded, and what it had reserved.
func (s *Scheduler) releaseRun(r *runner, task string) {
	s.batch.addDrop(r.id, task, r.live[task].number)
	s.countRunning(r.live[task].step, -1)
	delete(r.live, task)
	s.fleet.Release(r.fleetRunner, task)
}

// declareOthersLost declares lost the runners that an agent's machine had earlier. A machine has one runner, which
// comes back under another id after a crash and then runs nothing. As the store holds the agent's address, this covers
// runners that have never registered with this head.
func (s *Scheduler) declareOthersLost(agent, keep string) {
	for _, id := range slices.Sorted(maps.Keys(s.runners)) {
		if s.runners[id].agent == agent && id != keep {
			s.declareLost(id)
		}
	}
}

// declareLost removes a runner that surely runs nothing any more: its leases are over, or its agent has reported it
// gone. Its runs end as lost, so that their tasks may start elsewhere.
func (s *Scheduler) declareLost(id string) {
	r := s.runners[id]
	if r == nil {
		return
	}
	for _, task := range slices.Sorted(maps.Keys(r.live)) {
		run := r.live[task]
		if name, ok := jobs.ParseTask(task); ok {
			s.jobs.RecordEnd(jobs.End{Task: name, Run: run.number, Runner: id, Reason: jobs.EndLost}, s.maxAttempts(name.Job), s.wallMs)
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

// rackOf returns the label that names a runner's rack, empty where it has none.
func rackOf(prefix string, labels []string) string {
	for _, l := range labels {
		if strings.HasPrefix(l, prefix) && strings.Contains(l, "-") {
			return l
		}
	}
	return ""
}
