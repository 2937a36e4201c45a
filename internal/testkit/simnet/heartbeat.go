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
	beat := r.heartbeat()
	sent, incarnation := sim.now, h.incarnation
	delay := r.localDelay()
	if sim.now < r.delayHeartbeatsUntil {
		delay = sim.randomDuration(0, maxHeartbeatDelay)
	}
	if h.up {
		sim.after(delay, func() {
			if h.up && h.incarnation == incarnation {
				sim.execute(h.process, func() { r.deliverHeartbeat(beat, sent) })
			}
		})
	}
	sim.after(responseTimeout, func() {
		if r.heartbeatPending && r.heartbeatSequence == beat.Sequence {
			r.heartbeatPending = false
			sim.after(r.heartbeatInterval, r.sendHeartbeat)
		}
	})
}

// heartbeat returns the next heartbeat.
func (r *runner) heartbeat() *agent.Heartbeat {
	r.heartbeatSequence++
	beat := &agent.Heartbeat{Sequence: r.heartbeatSequence, Account: r.account()}
	for _, one := range r.sortedRuns() {
		beat.Running = append(beat.Running, &protocol.RunProgress{Task: one.task, Run: one.number, Saved: one.checkpoint})
	}
	beat.Finished = append(beat.Finished, r.unacknowledgedEnds...)
	return beat
}

// deliverHeartbeat has the agent handle a heartbeat and sends the response back.
func (r *runner) deliverHeartbeat(beat *agent.Heartbeat, sent time.Duration) {
	sim, h := r.host.sim, r.host
	response := h.node.Machine.HandleHeartbeat(sim.clock(h.process), beat)
	if beat.Account.GetDraining() && r.drainAcknowledgedAt == 0 {
		r.drainAcknowledgedAt = sim.now
	}
	sim.after(r.localDelay(), func() { r.handleResponse(beat.Sequence, sent, response) })
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
	r.extendHold(sent, response.RunLease)
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

// extendHold lets the runs go on until the end of a hold, which counts from the sending of a heartbeat by the
// runner's clock. Then all of them lapse, unless it is extended before.
func (r *runner) extendHold(sent, hold time.Duration) {
	until := sent + time.Duration(float64(min(hold, maxHold))*r.clockRate)
	if until <= r.holdUntil {
		return
	}
	r.holdUntil = until
	if r.holdTimerSet {
		return
	}
	r.holdTimerSet = true
	r.host.sim.after(r.holdUntil-r.host.sim.now, r.checkHold)
}

// checkHold has all runs lapse if the hold has expired, and looks again at its end otherwise.
func (r *runner) checkHold() {
	sim := r.host.sim
	if !r.up {
		return
	}
	if sim.now < r.holdUntil {
		sim.after(r.holdUntil-sim.now, r.checkHold)
		return
	}
	r.holdTimerSet = false
	sim.checker.expireHolds(r)
	for _, one := range r.sortedRuns() {
		r.end(one, "lapsed")
	}
}
