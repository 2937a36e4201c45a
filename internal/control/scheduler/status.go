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
	Services      map[string]ServiceStatus `json:"services"` // by name; services that have had tasks
	Runners       []RunnerStatus           `json:"runners"`
	Waiting       []WaitStatus             `json:"waiting"` // steps with waiting tasks, by service, in the order in which passes visit them
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
	Ejected          bool                `json:"suspect,omitempty"` // excluded from new work because of its failures
	Capacity         placement.Resources `json:"capacity"`
	Used             placement.Resources `json:"used"`
	Runs             int                 `json:"runs"`
	Tasks            []RunStatus         `json:"tasks,omitempty"`      // runs that have a reservation
	LeaseRemainingMs int64               `json:"lease_ms"`             // time until its lease expires
	LostInMs         int64               `json:"lost_in_ms,omitempty"` // without a session: time until it is declared lost
	LastContactMsAgo int64               `json:"heard_ms_ago,omitempty"`
}

// State returns a short description of a runner's state for operators.
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

// RunStatus is the state of a run whose end is not recorded.
type RunStatus struct {
	Task     string `json:"task"`
	Run      uint32 `json:"run"`
	State    string `json:"state"` // state of its job
	Stopping bool   `json:"stopping,omitempty"`
	ForMs    int64  `json:"for_ms"` // time since its start, or since its takeover by this head
}

// WaitStatus describes a step with waiting tasks and the reason why they wait.
type WaitStatus struct {
	Job        string              `json:"job"`
	Queue      string              `json:"queue"`
	Service    string              `json:"service"`
	Occurrence int                 `json:"time"`
	Step       int                 `json:"step"`
	Tasks      int                 `json:"tasks"` // number of waiting tasks
	Gang       bool                `json:"gang,omitempty"`
	Priority   int                 `json:"priority"`
	ForMs      int64               `json:"for_ms"`
	Demand     placement.Resources `json:"demand"`
	Obstacles  placement.Obstacles `json:"obstacles"`
	Reason     string              `json:"why"`
}

const (
	// maxListedWaiting bounds the number of waiting steps in a status.
	maxListedWaiting = 200
	// maxListedRuns bounds the number of runs in a status, those of all runners together.
	maxListedRuns = 10_000
)

// Status returns the state of the placement role.
func (s *Scheduler) Status() Status {
	status := Status{Epoch: s.epoch, ConfigVersion: s.config.Version, Jobs: make(map[string]int)}
	s.jobs.Each(func(j *jobs.Job) { status.Jobs[j.State.String()]++ })
	runs := 0
	for _, id := range slices.Sorted(maps.Keys(s.runners)) {
		runner := s.runnerStatus(s.runners[id], maxListedRuns-runs)
		runs += len(runner.Tasks)
		status.Runners = append(status.Runners, runner)
	}
	status.Services = s.serviceStatuses()
	status.Waiting = s.waitingSteps(func(*jobs.Step) bool { return true })
	return status
}

// waitingSteps returns at most maxListedWaiting of the matching waiting steps, by service, in the order in which passes
// visit them.
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

// runnerStatus returns the state of a runner with at most maxRuns of its runs.
func (s *Scheduler) runnerStatus(r *runner, maxRuns int) RunnerStatus {
	fleetRunner := r.fleetRunner
	status := RunnerStatus{
		ID: r.id, Service: fleetRunner.Service, Agent: r.agent, Rack: fleetRunner.Rack, Labels: fleetRunner.Labels,
		Usable: fleetRunner.Usable, InSession: r.session != nil, Ejected: fleetRunner.Ejected(s.now),
		Capacity: fleetRunner.Capacity, Used: fleetRunner.Used(), Runs: fleetRunner.ReservationCount(),
	}
	tasks := slices.Sorted(maps.Keys(r.live))
	for _, task := range tasks[:min(len(tasks), maxRuns)] {
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

// runStatus returns the state of a run whose end is not recorded.
func (s *Scheduler) runStatus(task string, run liveRun) RunStatus {
	return RunStatus{
		Task: task, Run: run.number, State: run.step.Job.State.String(),
		Stopping: run.stopSent || run.evacuating, ForMs: (s.now - run.startedAt).Milliseconds(),
	}
}

// waitStatus returns the state of a waiting step with the reason why it waits.
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

// waitReason returns a one-line explanation of why a step waits.
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
