package simnet

import (
	"time"

	"frosttide/internal/data/agent"
	"frosttide/internal/protocol"
)

// sendHeartbeat sends a heartbeat to the agent unless one is pending. The next one follows its
// response or timeout.
func (r *runner) sendHeartbeat() {
	if !r.up || r.heartbeatPending {
		return
	}
	sim, h := r.host.sim, r.host
	r.heartbeatPending = true
	message := r.heartbeat()
	sent, incarnation := sim.now, h.incarnation
	delay := r.localDelay()
	if sim.now < r.delayHeartbeatsUntil {
		delay = sim.randomDuration(0, maxHeartbeatDelay)
	}
	if h.up {
		sim.after(delay, func() {
			if h.up && h.incarnation == incarnation {
				sim.execute(h.process, func() { r.deliverHeartbeat(message, sent) })
			}
		})
	}
	sim.after(responseTimeout, func() {
		if r.heartbeatPending && r.heartbeatSequence == message.Sequence {
			r.heartbeatPending = false
			sim.after(r.heartbeatInterval, r.sendHeartbeat)
		}
	})
}

// heartbeat builds the next heartbeat.
func (r *runner) heartbeat() *agent.Heartbeat {
	r.heartbeatSequence++
	message := &agent.Heartbeat{Sequence: r.heartbeatSequence, Account: r.account()}
	for _, run := range r.sortedRuns() {
		message.Running = append(message.Running, &protocol.RunProgress{Task: run.task, Run: run.number, Saved: run.checkpoint})
	}
	message.Finished = append(message.Finished, r.unacknowledgedEnds[:min(maxListedEnds, len(r.unacknowledgedEnds))]...)
	if len(r.unacknowledgedEnds) > maxListedEnds {
		r.host.sim.report.UnlistedEnds = true
	}
	return message
}

// deliverHeartbeat passes a heartbeat to the agent and sends the response back. A heartbeat that the
// agent can't read, and a response that the runner can't read, have no effect.
func (r *runner) deliverHeartbeat(message *agent.Heartbeat, sent time.Duration) {
	sim, h := r.host.sim, r.host
	received, err := r.transmitHeartbeat(message)
	if err != nil {
		sim.trace("agent of %s can't read a heartbeat: %v", r.id, err)
		return
	}
	response := h.node.Machine.HandleHeartbeat(sim.clock(h.process), received)
	if message.Account.GetDraining() && r.drainAcknowledgedAt == 0 {
		r.drainAcknowledgedAt = sim.now
	}
	response, err = transmitResponse(response)
	if err != nil {
		sim.trace("runner %s can't read a response: %v", r.id, err)
		return
	}
	sim.after(r.localDelay(), func() { r.handleResponse(message.Sequence, sent, response) })
}

// localDelay draws the latency of a message between the runner and its agent.
func (r *runner) localDelay() time.Duration {
	return r.host.sim.randomDuration(50*time.Microsecond, 400*time.Microsecond)
}

// handleResponse carries out an agent's response to a heartbeat. It ignores late responses, and
// takes only the heartbeat interval from one with an older fencing token.
func (r *runner) handleResponse(sequence uint64, sent time.Duration, response agent.HeartbeatResponse) {
	sim := r.host.sim
	if !r.up || !r.heartbeatPending || sequence != r.heartbeatSequence || sim.now-sent > responseTimeout {
		return
	}
	r.heartbeatPending = false
	r.heartbeatInterval = max(response.HeartbeatInterval, minHeartbeatInterval)
	sim.after(r.heartbeatInterval, r.sendHeartbeat)
	if response.FencingToken < r.fencingToken {
		return
	}
	r.fencingToken = response.FencingToken
	r.dropAcknowledged(response.Acknowledged)
	if response.RunLease <= 0 {
		return
	}
	r.extendRunLease(sent, response.RunLease)
	for _, ref := range response.Stop {
		r.stop(ref.GetTask(), ref.GetRun())
	}
	for _, order := range response.Start {
		r.start(order)
	}
}

// dropAcknowledged drops the ends of runs up to an acknowledged sequence number.
func (r *runner) dropAcknowledged(number uint64) {
	for len(r.unacknowledgedEnds) > 0 && r.unacknowledgedEnds[0].GetNumber() <= number {
		r.host.sim.checker.recordAcknowledgement(r, r.unacknowledgedEnds[0])
		r.unacknowledgedEnds = r.unacknowledgedEnds[1:]
	}
}

// extendRunLease extends the run lease, which is measured by the runner's clock from the sending of
// a heartbeat. When it expires, all runs end as lapsed.
func (r *runner) extendRunLease(sent, runLease time.Duration) {
	until := sent + time.Duration(float64(min(runLease, maxRunLease))*r.clockRate)
	if until <= r.runLeaseExpiry {
		return
	}
	r.runLeaseExpiry = until
	if r.runLeaseTimerSet {
		return
	}
	r.runLeaseTimerSet = true
	r.host.sim.after(r.runLeaseExpiry-r.host.sim.now, r.checkRunLease)
}

// checkRunLease ends all runs as lapsed if the run lease has expired, and otherwise schedules the
// next check for its expiry.
func (r *runner) checkRunLease() {
	sim := r.host.sim
	if !r.up {
		return
	}
	if sim.now < r.runLeaseExpiry {
		sim.after(r.runLeaseExpiry-sim.now, r.checkRunLease)
		return
	}
	r.runLeaseTimerSet = false
	sim.checker.recordRunLeaseExpiry(r)
	for _, run := range r.sortedRuns() {
		r.end(run, "lapsed")
	}
}
