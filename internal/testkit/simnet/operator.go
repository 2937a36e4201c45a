package simnet

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"frosttide/internal/chainclient"
	"frosttide/internal/protocol"
	"frosttide/internal/routeconfig"
)

// operator changes the configuration. It sends orders until they have a clear answer, some of them invalid and some
// several at once, and loses some answers.
type operator struct {
	sim                *simulation
	candidates         map[uint64][]candidate // configurations that may be in force, by version
	acknowledgedByBase map[uint64]*order      // acknowledged orders, by the version that they build on
	newestAcknowledged uint64                 // highest version that was acknowledged
	base               uint64                 // version that the next order builds on
	nextVersion        uint64                 // version that the next order makes
	changes            int                    // orders drawn so far
}

// candidate is a configuration that may be in force.
type candidate struct {
	order *order
	table *routeconfig.Table
}

// order is a change of the configuration.
type order struct {
	number        int    // 0 for the first configuration
	match         uint64 // version that it builds on
	version       uint64 // version that it makes
	body          []byte
	patch         bool // the body holds changes, not the whole configuration
	invalid       bool // the body is cut short
	attempts      int
	acknowledged  bool
	indeterminate bool // an attempt had no answer
}

const (
	// maxConcurrentOrders is how many other orders are sent at the same time at most.
	maxConcurrentOrders = 7
	// maxResendDelay is how late an acknowledged order is sent once more at most.
	maxResendDelay = 25 * time.Second
	orderTimeout   = 900 * time.Millisecond
	maxSends       = 8
)

// firstConfig is the configuration that the operator begins with, by its version.
const firstConfig = `{"Version":%d,"Routes":[{"Name":"quick","Host":"h","PathPrefix":"/q/","TimeoutMs":3000,"TargetLatencyMs":800,"Priority":0,"Service":"cut","MaxAttempts":3,"Stretch":1.5},` +
	`{"Name":"batch","Host":"h","PathPrefix":"/b/","TimeoutMs":3000,"TargetLatencyMs":4000,"Priority":2,"Service":"render","MaxAttempts":2,"Stretch":4}],` +
	`"Services":[{"Name":"cut"},{"Name":"render"}]}`

// maxAttempts are how often a task may fail, by queue, as firstConfig has it.
var maxAttempts = map[string]int{"quick": 3, "batch": 2}

// newOperator returns an operator who knows that the configuration is empty.
func (sim *simulation) newOperator() *operator {
	return &operator{sim: sim, candidates: map[uint64][]candidate{0: {{table: routeconfig.Empty()}}}, acknowledgedByBase: make(map[uint64]*order), nextVersion: 1}
}

// start sends the first configuration until it is acknowledged, and changes after that.
func (o *operator) start() {
	first := &order{version: 1, body: fmt.Appendf(nil, firstConfig, 1)}
	o.send(first, func(bool) { o.sim.after(o.sim.randomDuration(time.Second, 3*time.Second), o.change) })
}

// change sends the next change and schedules the one after it.
func (o *operator) change() {
	sim := o.sim
	if sim.now > sim.options.Length {
		return
	}
	lower, upper := 500*time.Millisecond, 3*time.Second
	if sim.options.FrequentConfigChanges {
		lower, upper = 20*time.Millisecond, 150*time.Millisecond
	}
	again := func(bool) { sim.after(sim.randomDuration(lower, upper), o.change) }
	one := o.draw()
	switch sim.rng.IntN(6) {
	case 0: // concurrent orders on the same version
		for range 1 + sim.rng.IntN(maxConcurrentOrders) {
			o.send(o.draw(), func(bool) {})
		}
	case 1:
		one.invalid = true
		one.body = slices.Clone(one.body[:len(one.body)/2])
	}
	o.send(one, again)
}

// draw makes a change on top of the version that the operator knows.
func (o *operator) draw() *order {
	o.changes++
	o.nextVersion = max(o.nextVersion, o.newestAcknowledged) + 1 + uint64(o.sim.rng.IntN(3))
	body := fmt.Appendf(nil, `{"Version":%d,"Upsert":{"Routes":[{"Name":"idle%d","Host":"h","PathPrefix":"/i%d/","TimeoutMs":%d,"Service":"cut"}]},"Remove":{"Routes":["idle%d"]}}`,
		o.nextVersion, o.changes%5, o.changes%5, 1000+o.changes, (o.changes+2)%5)
	return &order{patch: true, number: o.changes, match: o.base, version: o.nextVersion, body: body}
}

// send sends an order to any member, and again where the answer is not clear. Done is told once it has a clear
// answer, or the operator gives it up.
func (o *operator) send(one *order, done func(acknowledged bool)) {
	sim := o.sim
	one.attempts++
	if !one.invalid {
		o.addCandidates(one)
	}
	answered := false
	call := Call{Kind: OrderCall, Began: sim.now, Order: one.number, Match: one.match, Version: one.version}
	finish := func(status int) {
		if answered {
			return
		}
		answered = true
		o.recordOrder(call, one, status)
		o.handleStatus(one, status, done)
	}
	if c := sim.anyCore(); c.up {
		config := &protocol.ClientRequest{Op: &protocol.ClientRequest_Config{Config: &protocol.ConfigOrder{Patch: one.patch, IfMatch: one.match, Body: one.body}}}
		lost := sim.rng.IntN(6) == 0
		c.request(config, chainclient.ToHead, func(reply *protocol.ClientReply) {
			if !lost {
				finish(int(reply.GetStatus()))
			}
		})
	}
	sim.after(orderTimeout+100*time.Millisecond, func() { finish(0) })
}

// recordOrder adds an order with its answer to the history. One whose answer is not clear stays open, and invalid
// ones say nothing of the configuration.
func (o *operator) recordOrder(call Call, one *order, status int) {
	if one.invalid {
		return
	}
	switch status {
	case http.StatusOK:
		call.Ended, call.Acknowledged = o.sim.now, true
	case http.StatusPreconditionFailed:
		call.Ended = o.sim.now
	}
	o.sim.record(call)
}

// handleStatus takes in the answer to an order; status 0 stands for none.
func (o *operator) handleStatus(one *order, status int, done func(acknowledged bool)) {
	sim := o.sim
	switch status {
	case http.StatusOK:
		o.acknowledge(one)
		o.sendAgain(one, done)
	case http.StatusPreconditionFailed, http.StatusBadRequest:
		if one.acknowledged {
			sim.violation("CONFIG", "order %d, which was acknowledged, is refused with %d", one.version, status)
		}
		if !one.acknowledged && !one.indeterminate {
			o.removeCandidates(one)
		}
		o.learnVersion(func() { done(false) })
	default:
		one.indeterminate = true
		if one.attempts >= maxSends && one.version > 1 {
			o.learnVersion(func() { done(false) })
			return
		}
		sim.after(200*time.Millisecond, func() { o.send(one, done) })
	}
}

// sendAgain sends an acknowledged order once more now and then: at once, or after others were acknowledged.
func (o *operator) sendAgain(one *order, done func(acknowledged bool)) {
	sim := o.sim
	if sim.rng.IntN(5) == 0 && one.attempts < maxSends {
		o.send(one, done)
		return
	}
	if sim.rng.IntN(4) == 0 && one.attempts < maxSends {
		sim.after(sim.randomDuration(0, maxResendDelay), func() { o.send(one, func(bool) {}) })
	}
	done(true)
}

// acknowledge takes in that an order is acknowledged. No invalid one may be, nor two on the same version.
func (o *operator) acknowledge(one *order) {
	sim := o.sim
	if one.invalid {
		sim.violation("CONFIG", "an invalid order is acknowledged: %s", one.body)
		return
	}
	if other := o.acknowledgedByBase[one.match]; other != nil && other != one {
		sim.violation("CONFIG", "two orders on version %d are acknowledged: %d and %d", one.match, other.version, one.version)
		return
	}
	o.acknowledgedByBase[one.match] = one
	if !one.acknowledged {
		sim.trace("configuration %d is acknowledged", one.version)
	}
	one.acknowledged = true
	o.newestAcknowledged = max(o.newestAcknowledged, one.version)
	o.base = max(o.base, one.version)
}

// addCandidates adds what an order makes of each configuration that it may be applied to.
func (o *operator) addCandidates(one *order) {
	for _, base := range o.candidates[one.match] {
		c, err := base.table.Apply(one.body, one.patch)
		if err != nil || slices.ContainsFunc(o.candidates[one.version], func(t candidate) bool { return t.order == one && t.table.Digest == c.Table.Digest }) {
			continue
		}
		o.candidates[one.version] = append(o.candidates[one.version], candidate{order: one, table: c.Table})
	}
}

// removeCandidates takes in that an order was clearly not applied.
func (o *operator) removeCandidates(one *order) {
	o.candidates[one.version] = slices.DeleteFunc(o.candidates[one.version], func(t candidate) bool { return t.order == one })
}
