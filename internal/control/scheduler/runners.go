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

// runnerPrefix is the key prefix of the items that hold a protocol.RunnerRecord.
const runnerPrefix = "r/"

// runner is the head's state of a runner, except for its capacity and reservations, which are in the fleet.
type runner struct {
	id          string
	fleetRunner *placement.Runner
	live        map[string]liveRun // by task: runs whose end is not recorded

	// State in the store.
	persisted       bool   // the store or the next entry has an item for the runner
	agent           string // internal address of the agent on the runner's machine
	recordedEnd     uint64 // number of the newest run end in the store or the next entry
	acknowledgedEnd uint64 // number of the newest run end whose entry is committed; only committed ends are acknowledged

	// Contact with this head.
	session    *session      // nil while no agent reports for it
	registered bool          // its agent has registered it with this head
	lostAfter  time.Duration // without a session: time at which its leases are over
}

// liveRun is a run whose end is not recorded, so that it may still be running.
type liveRun struct {
	number     uint32
	step       *jobs.Step
	index      int           // of the task in its step
	checkpoint string        // checkpoint that it starts from, if any
	startedAt  time.Duration // time of its start, or of its takeover by this head
	pending    bool          // the entry that records its start is not committed
	stopSent   bool          // the order to stop it has been sent
	evacuating bool          // it is to be stopped because its runner is draining
}

// runner returns the state of a runner and creates it on first use. For a new one it assumes that an earlier head may
// have granted a lease just now.
func (s *Scheduler) runner(id string) *runner {
	r := s.runners[id]
	if r == nil {
		r = &runner{id: id, fleetRunner: s.fleet.Add(id), live: make(map[string]liveRun), lostAfter: s.leaseOverAt(s.now + s.cfg.Lease)}
		s.runners[id] = r
	}
	return r
}

// loadRunners loads the runners from a store. It returns an error if an item can't be decoded.
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
	return errors.Wrap(err, "scheduler: decode the stored runners")
}

// writeRunner adds the item of a runner to the next entry.
func (s *Scheduler) writeRunner(r *runner) {
	r.persisted = true
	s.put(runnerPrefix+r.id, &protocol.RunnerRecord{LastSeen: r.recordedEnd, Companion: r.agent})
}

// releaseRun removes a run whose end is recorded and releases its reservation.
func (s *Scheduler) releaseRun(r *runner, task string) {
	s.batch.addDrop(r.id, task, r.live[task].number)
	s.countRunning(r.live[task].step, -1)
	delete(r.live, task)
	s.fleet.Release(r.fleetRunner, task)
}

// declareOthersLost declares lost all runners on an agent's machine except the one with the ID currentID. A machine has
// one runner. A runner that restarts after a crash has a new ID and no runs. As the store holds the agent's address, this
// also covers runners that have never registered with this head.
func (s *Scheduler) declareOthersLost(agent, currentID string) {
	for _, id := range slices.Sorted(maps.Keys(s.runners)) {
		if s.runners[id].agent == agent && id != currentID {
			s.declareLost(id)
		}
	}
}

// declareLost removes a runner that can't have any runs left: its leases are over, it has been replaced, or its agent has
// reported it gone. Its runs are recorded as lost, so that their tasks may start on other runners.
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

// rackOf returns the first label that names a rack, or an empty string if there is none. A rack label starts with the
// prefix and contains a hyphen.
func rackOf(prefix string, labels []string) string {
	for _, l := range labels {
		if strings.HasPrefix(l, prefix) && strings.Contains(l, "-") {
			return l
		}
	}
	return ""
}
