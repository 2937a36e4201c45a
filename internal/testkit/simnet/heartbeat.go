package simnet

import (
	"time"

	"frosttide/internal/data/agent"
	"frosttide/internal/protocol"
)

// sendHeartbeat sends a heartbeat to the agent, unless one is pending, and the next one after its response or
// time-out.
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

// heartbeat returns the next heartbeat.
func (r *runner) heartbeat() *agent.Heartbeat {
	r.heartbeatSequence++
	message := &agent.Heartbeat{Sequence: r.heartbeatSequence, Account: r.account()}
	for _, one := range r.sortedRuns() {
		message.Running = append(message.Running, &protocol.RunProgress{Task: one.task, Run: one.number, Saved: one.checkpoint})
	}
	message.Finished = append(message.Finished, r.unacknowledgedEnds...)
	return message
}

// deliverHeartbeat has the agent handle a heartbeat and sends the response back.
func (r *runner) deliverHeartbeat(message *agent.Heartbeat, sent time.Duration) {
	sim, h := r.host.sim, r.host
	response := h.node.Machine.HandleHeartbeat(sim.clock(h.process), message)
	if message.Account.GetDraining() && r.drainAcknowledgedAt == 0 {
		r.drainAcknowledgedAt = sim.now
	}
	sim.after(r.localDelay(), func() { r.handleResponse(message.Sequence, sent, response) })
}

// localDelay draws how long a message takes between the runner and its agent.
func (r *runner) localDelay() time.Duration {
	return r.host.sim.randomDuration(50*time.Microsecond, 400*time.Microsecond)
}

// handleResponse obeys an agent's response to a heartbeat, unless it is late or carries an older fencing token.
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

// dropAcknowledged forgets the ends up to a number.
func (r *runner) dropAcknowledged(number uint64) {
	for len(r.unacknowledgedEnds) > 0 && r.unacknowledgedEnds[0].GetNumber() <= number {
		r.host.sim.checker.endAcknowledged(r, r.unacknowledgedEnds[0])
		r.unacknowledgedEnds = r.unacknowledgedEnds[1:]
	}
}

// extendRunLease lets the runs go on until the end of a run lease, which counts from the sending of a heartbeat by the
// runner's clock. Then all of them lapse, unless it is extended before.
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

// checkRunLease has all runs lapse if the run lease has expired, and looks again at its end otherwise.
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
	sim.checker.expireRunLease(r)
	for _, one := range r.sortedRuns() {
		r.end(one, "lapsed")
	}
}
