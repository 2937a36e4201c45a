package scheduler

import (
	"frosttide/internal/control/jobs"
	"frosttide/internal/control/placement"
	"frosttide/internal/protocol"
)

// placementRequest returns the placement request of a step's tasks: demand and placement constraints.
func placementRequest(step *jobs.Step) *placement.Request {
	return &placement.Request{
		Service:      step.Job.Service,
		Demand:       demandOf(step.Stage),
		Requirement:  step.Stage.GetRequirements(),
		Affinity:     step.Stage.GetAffinity(),
		AntiAffinity: int(step.Stage.GetAntiAffinity()),
		Group:        groupOf(step),
		Gang:         step.Stage.GetGang(),
	}
}

// demandOf returns the resources that each task of a stage requests.
func demandOf(stage *protocol.Stage) placement.Resources {
	return placement.Resources{CPU: stage.GetCpu(), MemMB: stage.GetMemMb(), GPUs: stage.GetGpus()}
}

// groupOf returns the anti-affinity group of a step's tasks.
func groupOf(step *jobs.Step) placement.Group {
	return placement.Group{Job: step.Job.ID, Occurrence: step.Occurrence.Number, Step: step.Number}
}
