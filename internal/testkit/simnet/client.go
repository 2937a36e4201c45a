package simnet

import (
	"net/http"
	"strings"
	"time"

	"frosttide/internal/chainclient"
	"frosttide/internal/protocol"
)

// client submits jobs, reads their states and cancels some of them.
type client struct {
	sim  *simulation
	jobs []*job
}

const (
	// largeSpecBytes is what Options.LargeSpecs adds to each spec.
	largeSpecBytes    = 3900
	maxSubmitAttempts = 4
	clientTimeout     = 2500 * time.Millisecond // of each request
)

// startClients starts a client, which submits jobs at random intervals until the length of the
// simulation has passed.
func (sim *simulation) startClients() {
	c := &client{sim: sim}
	sim.clients = append(sim.clients, c)
	var next func()
	next = func() {
		if sim.now > sim.options.Length {
			return
		}
		c.submit(sim.newJob())
		sim.after(sim.randomDuration(20*time.Millisecond, 700*time.Millisecond), next)
	}
	sim.after(2*time.Second, next)
	c.startBulkJobs()
}

// submit submits a job and retries until it is accepted or maxSubmitAttempts are used up.
func (c *client) submit(j *job) {
	sim := c.sim
	c.jobs = append(c.jobs, j)
	sim.checker.jobs[j.id] = j
	if j.patience > 0 {
		c.submitAndGiveUp(j)
		return
	}
	c.attemptSubmit(j)
}

// attemptSubmit submits a job once at a random gateway, and schedules a retry unless it is
// accepted.
func (c *client) attemptSubmit(j *job) {
	sim := c.sim
	if j.acceptedAt > 0 || j.attempts >= maxSubmitAttempts {
		return
	}
	j.attempts++
	j.pendingAttempts++
	answered := false
	finish := func(result func()) {
		if !answered {
			answered = true
			j.pendingAttempts--
			result()
		}
	}
	retry := func(count *int, delay time.Duration) {
		*count++
		sim.after(delay, func() { c.attemptSubmit(j) })
	}
	submit := &protocol.ClientRequest{Op: &protocol.ClientRequest_Submit{Submit: j.submission()}}
	sim.anyGateway().request(submit, chainclient.ToHead, clientTimeout, func(o chainclient.Outcome) {
		finish(func() {
			switch {
			case o.Reply.GetStatus() == http.StatusOK:
				c.handleAcceptance(j)
			case o.Reply != nil || !o.MayHaveExecuted:
				retry(&j.rejected, time.Second)
			default:
				retry(&j.indeterminate, 300*time.Millisecond)
			}
		})
	})
	sim.after(clientTimeout+200*time.Millisecond, func() {
		finish(func() { retry(&j.indeterminate, 300*time.Millisecond) })
	})
}

// handleAcceptance records that a job was accepted.
func (c *client) handleAcceptance(j *job) {
	sim := c.sim
	j.acceptedAt = sim.now
	sim.report.Accepted++
	sim.trace("job %s is accepted", j.id)
	c.scheduleFollowUps(j)
}

// scheduleFollowUps schedules what the client does with an accepted job: it reads the state of
// each, submits a conflicting job under the ID of some, and cancels some and all long-running ones.
func (c *client) scheduleFollowUps(j *job) {
	sim := c.sim
	sim.after(sim.randomDuration(time.Second, 6*time.Second), func() { c.readState(j, nil) })
	if sim.rng.IntN(15) == 0 {
		sim.after(sim.randomDuration(0, 5*time.Second), func() { c.submitConflicting(j) })
	}
	if j.neverCanceled {
		return
	}
	if j.longRunning() || sim.rng.IntN(12) == 0 {
		sim.after(sim.randomDuration(500*time.Millisecond, 8*time.Second), func() { c.cancel(j) })
	}
}

// submitConflicting submits another job under the ID of an accepted one, to another queue or with
// another spec. It must not be acknowledged, as it would never run.
func (c *client) submitConflicting(j *job) {
	sim := c.sim
	other := j.submission()
	if sim.rng.IntN(2) == 0 {
		other.Spec += " of another"
	} else {
		other.Queue = map[string]string{"quick": "batch", "batch": "quick", bulkQueue: "quick"}[j.queue]
	}
	sim.anyGateway().request(&protocol.ClientRequest{Op: &protocol.ClientRequest_Submit{Submit: other}}, chainclient.ToHead, clientTimeout, func(o chainclient.Outcome) {
		if o.Reply.GetStatus() == http.StatusOK {
			sim.violation("LOST", "another job under the ID of %s is acknowledged", j.id)
		}
	})
}

// readState reads a job's state and checks it. Done, which may be nil, is told whether the read was
// answered.
func (c *client) readState(j *job, done func(answered bool)) {
	sim := c.sim
	at, began := sim.anyGateway(), sim.now
	read := &protocol.ClientRequest{Op: &protocol.ClientRequest_ReadState{ReadState: &protocol.ReadState{Id: j.id, Queue: j.queue}}}
	at.request(read, chainclient.ToTail, clientTimeout, func(o chainclient.Outcome) {
		switch o.Reply.GetStatus() {
		case http.StatusOK:
			j.lastState = strings.Trim(strings.TrimPrefix(string(o.Reply.GetBody()), `{"State":`), `"}`)
			sim.record(Call{Kind: StateCall, Began: began, Ended: sim.now, Job: j.id, State: j.lastState})
			sim.checker.checkShownState(j)
		case http.StatusGone:
			sim.checker.checkUnknownJob(j)
		}
		if done != nil {
			done(o.Reply.GetStatus() == http.StatusOK)
		}
	})
}

// cancel cancels a job and retries until the cancel is acknowledged.
func (c *client) cancel(j *job) {
	sim := c.sim
	if j.cancelAcknowledgedAt > 0 {
		return
	}
	if j.cancelRequestedAt == 0 {
		j.cancelRequestedAt = sim.now
	}
	cancel := &protocol.ClientRequest{Op: &protocol.ClientRequest_Cancel{Cancel: &protocol.Cancel{Id: j.id, Queue: j.queue}}}
	sim.anyGateway().request(cancel, chainclient.ToHead, clientTimeout, func(o chainclient.Outcome) {
		status := o.Reply.GetStatus()
		if j.cancelAcknowledgedAt == 0 && (status == http.StatusOK || status == http.StatusGone) {
			j.cancelAcknowledgedAt = sim.now
			sim.trace("job %s is canceled: %d", j.id, status)
			sim.after(cancelTime+stopTime, func() { sim.checker.checkCanceledJob(j) })
		}
	})
	sim.after(clientTimeout, func() { c.cancel(j) })
}
