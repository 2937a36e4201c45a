package simnet

import (
	"net/http"
	"time"

	"frosttide/internal/chainclient"
	"frosttide/internal/protocol"
)

// Clients that give a job up before they have an answer, and cancel it at another gateway
// (Options.ImpatientClients). Their submission may still be on its way then.

const (
	// impatientOneIn is the share of the jobs that are given up, as 1 in impatientOneIn.
	impatientOneIn = 4
	// maxPatience bounds the time after which a client gives a job up.
	maxPatience = time.Second
	// givenUpDuration is the shortest time that a run of such a job takes, so that it can be seen to
	// run after its cancellation.
	givenUpDuration = 4 * time.Second
)

// drawPatience makes the client of some jobs give these up; the others are left as they are.
func (sim *simulation) drawPatience(j *job) {
	if !sim.options.ImpatientClients || sim.rng.IntN(impatientOneIn) != 0 {
		return
	}
	j.patience = sim.randomDuration(0, maxPatience)
	for _, st := range j.stages {
		st.duration += givenUpDuration
	}
}

// submitAndGiveUp submits a job once and gives it up after the client's patience, if there is no
// answer by then.
func (c *client) submitAndGiveUp(j *job) {
	sim := c.sim
	j.attempts, j.pendingAttempts = 1, 1
	submit := &protocol.ClientRequest{Op: &protocol.ClientRequest_Submit{Submit: j.submission()}}
	sim.anyGateway().request(submit, chainclient.ToHead, clientTimeout, func(o chainclient.Outcome) {
		if j.cancelRequestedAt == 0 && o.Reply.GetStatus() == http.StatusOK {
			c.handleAcceptance(j)
		}
	})
	sim.after(j.patience, func() {
		if j.acceptedAt == 0 {
			c.cancel(j)
		}
	})
}

// pauseGateway draws a pause of one gateway, which reads the requests of that time when it resumes.
func (sim *simulation) pauseGateway() fault {
	g, d := sim.anyGateway(), sim.randomDuration(500*time.Millisecond, 5*time.Second)
	return fault{g.address + " is paused for " + d.String(), func() { sim.faultFor(d, noCleanup); sim.pause(g.process, d) }}
}

// checkCanceledJob checks that no run of a job goes on once its cancellation has been acknowledged for
// as long as it takes to stop the runs. Faults near that time excuse it.
func (c *checker) checkCanceledJob(j *job) {
	sim := c.sim
	if !sim.noFaultFor(contactTime) {
		return
	}
	for _, h := range sim.runnerHosts {
		for _, run := range h.runner.sortedRuns() {
			if run.job == j && h.runner.up {
				sim.violation("UNASKED", "%s still runs %s though its job was canceled at %v", h.runner.id, run.task, j.cancelAcknowledgedAt)
			}
		}
	}
}
