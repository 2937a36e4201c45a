package scheduler

import (
	"maps"
	"slices"
	"time"

	"frosttide/internal/control/jobs"
	"frosttide/internal/control/placement"
)

// Status is what an operator may want to know of the placement role, as it is answered in JSON.
type Status struct {
	Epoch         uint64                   `json:"epoch"` // also the runners' fencing token
	ConfigVersion uint64                   `json:"config_version"`
	Jobs          map[string]int           `json:"jobs"`     // by state
	Services      map[string]ServiceStatus `json:"services"` // that have had tasks
	Runners       []RunnerStatus           `json:"runners"`
	Waiting       []WaitStatus             `json:"waiting"` // steps with tasks that wait, in the order in which they are served
}

// RunnerStatus is the account of a runner.
type RunnerStatus struct {
	ID         string              `json:"id"`
	Service    string              `json:"service"`
	Companion  string              `json:"companion"`
	Rack       string              `json:"rack,omitempty"`
	Labels     []string            `json:"labels,omitempty"`
	Usable     bool                `json:"usable"`
	Draining   bool                `json:"draining,omitempty"`
	Silent     bool                `json:"silent,omitempty"`
	InSession  bool                `json:"in_session"`
	Suspect    bool                `json:"suspect,omitempty"` // it fails what it is given
	Capacity   placement.Resources `json:"capacity"`
	Used       placement.Resources `json:"used"`
	Runs       int                 `json:"runs"`
	Tasks      []RunStatus         `json:"tasks,omitempty"`      // that hold a part of it
	LeaseMs    int64               `json:"lease_ms"`             // left
	LostInMs   int64               `json:"lost_in_ms,omitempty"` // out of touch: until its runs count as lost
	HeardMsAgo int64               `json:"heard_ms_ago,omitempty"`
}

// State names the state of a runner in a word or two.
func (r *RunnerStatus) State() string {
	switch {
	case !r.InSession:
		return "out of touch"
	case r.Draining:
		return "draining"
	case r.Silent:
		return "silent"
	case r.Suspect:
		return "suspect"
	case !r.Usable:
		return "not usable"
	default:
		return "ready"
	}
}

// RunStatus is a run that may be under way on a runner.
type RunStatus struct {
	Task     string `json:"task"`
	Run      uint32 `json:"run"`
	State    string `json:"state"` // of its job
	Stopping bool   `json:"stopping,omitempty"`
	ForMs    int64  `json:"for_ms"` // since it was started, or taken over by this head
}

// WaitStatus is a step that waits, and why.
type WaitStatus struct {
	Job       string              `json:"job"`
	Queue     string              `json:"queue"`
	Service   string              `json:"service"`
	Occasion  int                 `json:"time"`
	Step      int                 `json:"step"`
	Tasks     int                 `json:"tasks"` // that wait
	Gang      bool                `json:"gang,omitempty"`
	Priority  int                 `json:"priority"`
	ForMs     int64               `json:"for_ms"`
	Demand    placement.Resources `json:"demand"`
	Obstacles placement.Obstacles `json:"obstacles"`
	Why       string              `json:"why"`
}

// mostWaiting bounds the waiting steps that are told of.
const mostWaiting = 200

// Status returns the state of the placement role.
func (d *Scheduler) Status() Status {
	s := Status{Epoch: d.epoch, ConfigVersion: d.config.Version, Jobs: make(map[string]int)}
	d.jobs.Each(func(j *jobs.Job) { s.Jobs[j.State.String()]++ })
	for _, id := range slices.Sorted(maps.Keys(d.runners)) {
		s.Runners = append(s.Runners, d.runnerStatus(d.runners[id]))
	}
	s.Services = d.serviceStatuses()
	s.Waiting = d.waiting(func(*jobs.Step) bool { return true })
	return s
}

// waiting returns the steps that wait and are wanted, bounded.
func (d *Scheduler) waiting(wanted func(*jobs.Step) bool) (out []WaitStatus) {
	for _, service := range slices.Sorted(maps.Keys(d.queues)) {
		q := d.queues[service]
		for _, e := range q.entries {
			w := e.waitingStep
			if len(out) < mostWaiting && w.due() && wanted(w.step) {
				out = append(out, d.waitStatus(q, w))
			}
		}
	}
	return out
}

func (d *Scheduler) runnerStatus(r *runner) RunnerStatus {
	a := r.account
	s := RunnerStatus{ID: r.id, Service: a.Service, Companion: r.companion, Rack: a.Rack, Labels: a.Labels, Usable: a.Usable, InSession: r.session != nil,
		Suspect: a.Suspect(d.now), Capacity: a.Capacity, Used: a.Used(), Runs: a.Holds()}
	for _, task := range slices.Sorted(maps.Keys(r.live)) {
		run := r.live[task]
		s.Tasks = append(s.Tasks, RunStatus{Task: task, Run: run.number, State: run.step.Job.State.String(), Stopping: run.stopped || run.leaving, ForMs: (d.now - run.began).Milliseconds()})
	}
	if r.session == nil {
		s.LostInMs = max(0, (r.deadline - d.now).Milliseconds())
		return s
	}
	s.Draining, s.Silent = r.session.draining, r.session.silent
	s.LeaseMs = max(0, (r.session.leaseUntil - d.now).Milliseconds())
	s.HeardMsAgo = (d.now - r.session.heard).Milliseconds()
	return s
}

func (d *Scheduler) waitStatus(q *queue, w *waitingStep) WaitStatus {
	want := wantOf(w.step)
	o := d.fleet.Why(want, d.now)
	why := o.String()
	switch {
	case w.step.Stage.GetGang() && !w.step.GangIdle():
		why = "members of the gang's last run have not ended: " + why
	case o.Room > 0 && !d.leavesRoom(q, w):
		why = "room is kept for more urgent work: " + why
	case o.Room > 0 && w.step.Stage.GetGang():
		why = "there is room for some of the gang, not for all: " + why
	}
	return WaitStatus{Job: w.step.Job.ID, Queue: w.step.Job.Queue, Service: q.service, Occasion: w.step.Occasion.Number, Step: w.step.Number, Tasks: w.step.Waiting,
		Gang: w.step.Stage.GetGang(), Priority: w.priority, ForMs: (d.now - w.since).Round(time.Millisecond).Milliseconds(), Demand: want.Demand, Obstacles: o, Why: why}
}
