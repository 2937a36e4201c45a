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
	id           string
	account      *placement.Runner
	live         map[string]liveRun // by task
	noted        uint64             // highest end in the store, or in the entry that is being made
	acknowledged uint64             // highest end whose noting is committed
	stored       bool               // there is an item of it
	companion    string             // internal address of the companion on its machine
	session      *session           // nil while no companion speaks for it
	deadline     time.Duration      // when its holds have surely run out, without a session
	known        bool               // it has given an account of itself to this head
}

// liveRun is a run that may be under way.
type liveRun struct {
	number  uint32
	step    *jobs.Step
	index   int
	saved   string        // checkpoint it starts from
	began   time.Duration // when it was started, or taken over from the head before
	pending bool          // its start is not committed yet
	stopped bool          // it is to be stopped
	leaving bool          // its stop has been asked for, as its runner drains
}

// runner returns what is known of a runner and makes it where nothing is: its holds may last for a
// lease from now on.
func (d *Scheduler) runner(id string) *runner {
	r := d.runners[id]
	if r == nil {
		r = &runner{id: id, account: d.fleet.Add(id), live: make(map[string]liveRun), deadline: d.leaseEnd(d.now + d.cfg.Lease)}
		d.runners[id] = r
	}
	return r
}

func (d *Scheduler) loadRunners(s *store.Store) error {
	var problem error
	s.Each(func(key string, value []byte) {
		if !strings.HasPrefix(key, runnerPrefix) {
			return
		}
		var record protocol.RunnerRecord
		problem = errors.CombineErrors(problem, proto.Unmarshal(value, &record))
		r := d.runner(strings.TrimPrefix(key, runnerPrefix))
		r.noted, r.acknowledged, r.stored, r.companion = record.GetLastSeen(), record.GetLastSeen(), true, record.GetCompanion()
	})
	return errors.Wrap(problem, "scheduler: the stored runners can't be read")
}

// loseOthers gives up the runners that a machine had before the one it has now: a machine has one, which
// comes back under another id after a crash and runs nothing then. Their companion's address is stored, so
// that a head that has never met them knows it too.
func (d *Scheduler) loseOthers(companion, but string) {
	for _, id := range slices.Sorted(maps.Keys(d.runners)) {
		if d.runners[id].companion == companion && id != but {
			d.lose(id)
		}
	}
}

func (d *Scheduler) putRunner(r *runner) {
	r.stored = true
	d.put(runnerPrefix+r.id, &protocol.RunnerRecord{LastSeen: r.noted, Companion: r.companion})
}

// dropRun gives back what a run held.
func (d *Scheduler) dropRun(r *runner, task string) {
	d.batch.drop(r.id, task, r.live[task].number)
	d.countRunning(r.live[task].step, -1)
	delete(r.live, task)
	d.fleet.Release(r.account, task)
}

// lose notes that a runner surely runs nothing any more.
func (d *Scheduler) lose(id string) {
	r := d.runners[id]
	if r == nil {
		return
	}
	for _, task := range slices.Sorted(maps.Keys(r.live)) {
		run := r.live[task]
		if name, ok := jobs.ParseTask(task); ok {
			d.jobs.End(name, run.number, id, jobs.EndLost, "", d.maxAttempts(name.Job), d.wallMs)
		}
		d.countRunning(run.step, -1)
		d.countEnd(run.step, jobs.EndLost)
		delete(r.live, task)
		d.fleet.Release(r.account, task)
	}
	if r.stored {
		d.writes.Delete(runnerPrefix + id)
	}
	if r.session != nil && r.session.runner == id {
		r.session.runner = ""
	}
	d.fleet.Remove(id)
	delete(d.runners, id)
}
