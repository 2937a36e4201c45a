package scheduler

import (
	"maps"
	"slices"
	"time"

	"frosttide/internal/control/jobs"
	"frosttide/internal/control/placement"
)

// Status is the state of the placement role, as the operators' API returns it in JSON. Durations are in ms.
type Status struct {
	Epoch         uint64                   `json:"epoch"` // also the runners' fencing token
	ConfigVersion uint64                   `json:"config_version"`
	Jobs          map[string]int           `json:"jobs"`     // by state
	Services      map[string]ServiceStatus `json:"services"` // that have had tasks, by name
	Runners       []RunnerStatus           `json:"runners"`
	Waiting       []WaitStatus             `json:"waiting"` // steps with tasks that wait, in the order in which they are served
}

// RunnerStatus is the state of a runner.
type RunnerStatus struct {
	ID               string              `json:"id"`
	Service          string              `json:"service"`
	Agent            string              `json:"companion"`
	Rack             string              `json:"rack,omitempty"`
	Labels           []string            `json:"labels,omitempty"`
	Usable           bool                `json:"usable"`
	Draining         bool                `json:"draining,omitempty"`
	Unresponsive     bool                `json:"silent,omitempty"`
	InSession        bool                `json:"in_session"`
	Ejected          bool                `json:"suspect,omitempty"` // it fails what it is given
	Capacity         placement.Resources `json:"capacity"`
	Used             placement.Resources `json:"used"`
	Runs             int                 `json:"runs"`
	Tasks            []RunStatus         `json:"tasks,omitempty"`      // that have a reservation
	LeaseRemainingMs int64               `json:"lease_ms"`             // until its lease expires
	LostInMs         int64               `json:"lost_in_ms,omitempty"` // out of contact: until its runs count as lost
	LastContactMsAgo int64               `json:"heard_ms_ago,omitempty"`
}

// State returns the state of a runner in a word or two, for operators.
func (r *RunnerStatus) State() string {
	switch {
	case !r.InSession:
		return "out of touch"
	case r.Draining:
		return "draining"
	case r.Unresponsive:
		return "silent"
	case r.Ejected:
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

// WaitStatus is a step with tasks that wait, and why.
type WaitStatus struct {
	Job        string              `json:"job"`
	Queue      string              `json:"queue"`
	Service    string              `json:"service"`
	Occurrence int                 `json:"time"`
	Step       int                 `json:"step"`
	Tasks      int                 `json:"tasks"` // that wait
	Gang       bool                `json:"gang,omitempty"`
	Priority   int                 `json:"priority"`
	ForMs      int64               `json:"for_ms"`
	Demand     placement.Resources `json:"demand"`
	Obstacles  placement.Obstacles `json:"obstacles"`
	Reason     string              `json:"why"`
}

// maxListedWaiting bounds the waiting steps that a status holds.
const maxListedWaiting = 200

// Status returns the state of the placement role.
func (s *Scheduler) Status() Status {
	status := Status{Epoch: s.epoch, ConfigVersion: s.config.Version, Jobs: make(map[string]int)}
	s.jobs.Each(func(j *jobs.Job) { status.Jobs[j.State.String()]++ })
	for _, id := range slices.Sorted(maps.Keys(s.runners)) {
		status.Runners = append(status.Runners, s.runnerStatus(s.runners[id]))
	}
	status.Services = s.serviceStatuses()
	status.Waiting = s.waitingSteps(func(*jobs.Step) bool { return true })
	return status
}

// waitingSteps returns the waiting steps that match, in the order in which they are served, at most maxListedWaiting.
func (s *Scheduler) waitingSteps(match func(*jobs.Step) bool) (out []WaitStatus) {
	for _, service := range slices.Sorted(maps.Keys(s.queues)) {
		q := s.queues[service]
		for _, e := range q.entries {
			w := e.waitingStep
			if len(out) < maxListedWaiting && w.startable() && match(w.step) {
				out = append(out, s.waitStatus(q, w))
			}
		}
	}
	return out
}

// runnerStatus returns the state of a runner.
func (s *Scheduler) runnerStatus(r *runner) RunnerStatus {
	placed := r.fleetRunner
	status := RunnerStatus{
		ID: r.id, Service: placed.Service, Agent: r.agent, Rack: placed.Rack, Labels: placed.Labels,
		Usable: placed.Usable, InSession: r.session != nil, Ejected: placed.Ejected(s.now),
		Capacity: placed.Capacity, Used: placed.Used(), Runs: placed.ReservationCount(),
	}
	for _, task := range slices.Sorted(maps.Keys(r.live)) {
		status.Tasks = append(status.Tasks, s.runStatus(task, r.live[task]))
	}
	if r.session == nil {
		status.LostInMs = max(0, (r.lostAfter - s.now).Milliseconds())
		return status
	}
	status.Draining, status.Unresponsive = r.session.draining, r.session.runnerUnresponsive
	status.LeaseRemainingMs = max(0, (r.session.leaseExpiry - s.now).Milliseconds())
	status.LastContactMsAgo = (s.now - r.session.lastContact).Milliseconds()
	return status
}

// runStatus returns the state of a run that may be under way.
func (s *Scheduler) runStatus(task string, run liveRun) RunStatus {
	return RunStatus{
		Task: task, Run: run.number, State: run.step.Job.State.String(),
		Stopping: run.stopSent || run.evacuating, ForMs: (s.now - run.startedAt).Milliseconds(),
	}
}

// waitStatus returns a waiting step with the reason why it waits.
func (s *Scheduler) waitStatus(q *queue, w *waitingStep) WaitStatus {
	step, request := w.step, placementRequest(w.step)
	obstacles := s.fleet.Explain(request, s.now)
	return WaitStatus{
		Job: step.Job.ID, Queue: step.Job.Queue, Service: q.service,
		Occurrence: step.Occurrence.Number, Step: step.Number, Tasks: step.Waiting,
		Gang: step.Stage.GetGang(), Priority: w.priority, ForMs: (s.now - w.since).Round(time.Millisecond).Milliseconds(),
		Demand: request.Demand, Obstacles: obstacles, Reason: s.waitReason(q, w, obstacles),
	}
}

// waitReason returns in one line why a step waits.
func (s *Scheduler) waitReason(q *queue, w *waitingStep, obstacles placement.Obstacles) string {
	reason := obstacles.String()
	switch {
	case w.step.Stage.GetGang() && !w.step.GangIdle():
		return "members of the gang's last run have not ended: " + reason
	case obstacles.Fitting > 0 && !s.preservesHeadroom(q, w):
		return "room is kept for more urgent work: " + reason
	case obstacles.Fitting > 0 && w.step.Stage.GetGang():
		return "there is room for some of the gang, not for all: " + reason
	default:
		return reason
	}
}
