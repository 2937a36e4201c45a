package simnet

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"time"

	"frosttide/internal/chainclient"
	"frosttide/internal/protocol"
	"frosttide/internal/routeconfig"
)

// operator changes the configuration. It resends each order until it has a definite answer. Some of
// its orders are invalid, some are sent concurrently, and some answers are lost.
type operator struct {
	sim                *simulation
	candidates         map[uint64][]candidate  // configurations that may be in force, by version
	acknowledgedByBase map[uint64]*configOrder // acknowledged orders by base version
	newestAcknowledged uint64                  // highest acknowledged version
	base               uint64                  // version that the next order is based on
	nextVersion        uint64                  // version that the last drawn order creates
	changes            int                     // orders drawn so far
}

// candidate is a configuration that may be in force.
type candidate struct {
	order *configOrder
	table *routeconfig.Table
}

// configOrder is an order to change the configuration.
type configOrder struct {
	number        int    // 0 for the initial configuration
	match         uint64 // version that it is based on
	version       uint64 // version that it creates
	body          []byte
	patch         bool // the body is a patch, not a whole configuration
	invalid       bool // the body is no JSON, or holds a text that is not Unicode
	attempts      int
	acknowledged  bool
	indeterminate bool // an attempt had no definite answer
}

const (
	// maxConcurrentOrders bounds the orders that are sent at the same time as another one.
	maxConcurrentOrders = 7
	// maxResendDelay bounds the delay after which an acknowledged order is sent once more.
	maxResendDelay   = 25 * time.Second
	orderTimeout     = 900 * time.Millisecond
	maxOrderAttempts = 8
)

// firstConfig is the initial configuration, with placeholders for its version and for further routes
// and services.
const firstConfig = `{"Version":%d,"Routes":[%s{"Name":"quick","Host":"h","PathPrefix":"/q/","TimeoutMs":3000,"TargetLatencyMs":800,"Priority":0,"Service":"cut","MaxAttempts":3,"Stretch":1.5},` +
	`{"Name":"batch","Host":"h","PathPrefix":"/b/","TimeoutMs":3000,"TargetLatencyMs":4000,"Priority":2,"Service":"render","MaxAttempts":2,"Stretch":4}],` +
	`"Services":[{"Name":"cut"},{"Name":"render"}%s]}`

// maxAttempts is how often a task may fail, by queue, as set in firstConfig and bulkRoute.
var maxAttempts = map[string]int{"quick": 3, "batch": 2, bulkQueue: 2}

// newOperator returns an operator that has sent no orders, for a cluster with an empty
// configuration.
func (sim *simulation) newOperator() *operator {
	return &operator{sim: sim, candidates: map[uint64][]candidate{0: {{table: routeconfig.Empty()}}}, acknowledgedByBase: make(map[uint64]*configOrder), nextVersion: 1}
}

// start sends the initial configuration until it is acknowledged, and then starts to change it.
func (o *operator) start() {
	first := &configOrder{version: 1, body: o.firstConfig()}
	o.send(first, func(bool) { o.sim.after(o.sim.randomDuration(time.Second, 3*time.Second), o.sendNextChange) })
}

// firstConfig returns the initial configuration.
func (o *operator) firstConfig() []byte {
	extraRoutes, extraServices := "", ""
	if o.sim.options.ManyTasks {
		extraRoutes, extraServices = bulkRoute, `,{"Name":"`+bulkService+`"}`
	}
	return fmt.Appendf(nil, firstConfig, 1, extraRoutes, extraServices)
}

// sendNextChange sends a change and schedules the next one.
func (o *operator) sendNextChange() {
	sim := o.sim
	if sim.now > sim.options.Length {
		return
	}
	lower, upper := 500*time.Millisecond, 3*time.Second
	if sim.options.FrequentConfigChanges {
		lower, upper = 20*time.Millisecond, 150*time.Millisecond
	}
	scheduleNext := func(bool) { sim.after(sim.randomDuration(lower, upper), o.sendNextChange) }
	order := o.drawChange()
	switch sim.rng.IntN(6) {
	case 0: // concurrent orders on the same version
		for range 1 + sim.rng.IntN(maxConcurrentOrders) {
			o.send(o.drawChange(), func(bool) {})
		}
	case 1:
		order.invalid = true
		order.body = invalidate(order.body, order.number)
	}
	o.send(order, scheduleNext)
}

// invalidate returns a body that an operator must get back as invalid, in one of several ways by the
// number of the order.
func invalidate(body []byte, number int) []byte {
	replace := func(text, by string) []byte { return bytes.Replace(body, []byte(text), []byte(by), 1) }
	switch number % 4 {
	case 0: // the name of a route in ISO 8859-1, which becomes a part of a key of the store
		return replace(`"Name":"idle`, `"Name":"repetici`+"\xf3"+`n`)
	case 1: // a text in ISO 8859-1 that is no name
		return replace(`"Host":"h"`, `"Host":"h","Title":"repetici`+"\xf3"+`n"`)
	case 2: // a surrogate without its other half
		return replace(`"Name":"idle`, `"Name":"repetici\udcf3n`)
	default:
		return slices.Clone(body[:len(body)/2])
	}
}

// drawChange draws an order that changes the newest version that the operator knows.
func (o *operator) drawChange() *configOrder {
	o.changes++
	o.nextVersion = max(o.nextVersion, o.newestAcknowledged) + 1 + uint64(o.sim.rng.IntN(3))
	body := fmt.Appendf(nil, `{"Version":%d,"Upsert":{"Routes":[{"Name":"idle%d","Host":"h","PathPrefix":"/i%d/","TimeoutMs":%d,"Service":"cut"}]},"Remove":{"Routes":["idle%d"]}}`,
		o.nextVersion, o.changes%5, o.changes%5, 1000+o.changes, (o.changes+2)%5)
	return &configOrder{patch: true, number: o.changes, match: o.base, version: o.nextVersion, body: body}
}

// send sends an order to a random member, and resends it without a definite answer. Done is called
// once there is a definite answer or the operator gives up.
func (o *operator) send(order *configOrder, done func(acknowledged bool)) {
	sim := o.sim
	order.attempts++
	if !order.invalid {
		o.addCandidates(order)
	}
	answered := false
	call := Call{Kind: OrderCall, Began: sim.now, Order: order.number, Match: order.match, Version: order.version}
	finish := func(status int) {
		if answered {
			return
		}
		answered = true
		o.recordOrder(call, order, status)
		o.handleStatus(order, status, done)
	}
	if c := sim.anyCore(); c.up {
		config := &protocol.ClientRequest{Op: &protocol.ClientRequest_Config{Config: &protocol.ConfigOrder{Patch: order.patch, IfMatch: order.match, Body: order.body}}}
		lost := sim.rng.IntN(6) == 0
		c.request(config, chainclient.ToHead, func(reply *protocol.ClientReply) {
			if !lost {
				finish(int(reply.GetStatus()))
			}
		})
	}
	sim.after(orderTimeout+100*time.Millisecond, func() { finish(0) })
}

// recordOrder appends an order with its answer to the history. Without a definite answer the call
// stays open. Invalid orders are not recorded, as they don't affect the configuration.
func (o *operator) recordOrder(call Call, order *configOrder, status int) {
	if order.invalid {
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

// handleStatus handles the answer to an order. Status 0 stands for no answer.
func (o *operator) handleStatus(order *configOrder, status int, done func(acknowledged bool)) {
	sim := o.sim
	switch status {
	case http.StatusOK:
		o.acknowledge(order)
		o.maybeResend(order, done)
	case http.StatusPreconditionFailed, http.StatusBadRequest:
		if order.acknowledged {
			sim.violation("CONFIG", "order %d, which was acknowledged, is refused with %d", order.version, status)
		}
		if !order.acknowledged && !order.indeterminate {
			o.removeCandidates(order)
		}
		o.refreshBase(func() { done(false) })
	default:
		order.indeterminate = true
		if order.attempts >= maxOrderAttempts && order.version > 1 {
			o.refreshBase(func() { done(false) })
			return
		}
		sim.after(200*time.Millisecond, func() { o.send(order, done) })
	}
}

// maybeResend sends some acknowledged orders once more, at once or after a delay in which other
// orders may be acknowledged.
func (o *operator) maybeResend(order *configOrder, done func(acknowledged bool)) {
	sim := o.sim
	if sim.rng.IntN(5) == 0 && order.attempts < maxOrderAttempts {
		o.send(order, done)
		return
	}
	if sim.rng.IntN(4) == 0 && order.attempts < maxOrderAttempts {
		sim.after(sim.randomDuration(0, maxResendDelay), func() { o.send(order, func(bool) {}) })
	}
	done(true)
}

// acknowledge records that an order was acknowledged. It is a violation if the order is invalid, or
// if another order on the same version was acknowledged before.
func (o *operator) acknowledge(order *configOrder) {
	sim := o.sim
	if order.invalid {
		sim.violation("CONFIG", "an invalid order is acknowledged: %s", order.body)
		return
	}
	if other := o.acknowledgedByBase[order.match]; other != nil && other != order {
		sim.violation("CONFIG", "two orders on version %d are acknowledged: %d and %d", order.match, other.version, order.version)
		return
	}
	o.acknowledgedByBase[order.match] = order
	if !order.acknowledged {
		sim.trace("configuration %d is acknowledged", order.version)
	}
	order.acknowledged = true
	o.newestAcknowledged = max(o.newestAcknowledged, order.version)
	o.base = max(o.base, order.version)
}

// addCandidates adds the configurations that an order may result in: one for each candidate of the
// version that it is based on.
func (o *operator) addCandidates(order *configOrder) {
	for _, base := range o.candidates[order.match] {
		c, err := base.table.Apply(order.body, order.patch)
		if err != nil || slices.ContainsFunc(o.candidates[order.version], func(t candidate) bool { return t.order == order && t.table.Digest == c.Table.Digest }) {
			continue
		}
		o.candidates[order.version] = append(o.candidates[order.version], candidate{order: order, table: c.Table})
	}
}

// removeCandidates removes the candidates of an order that was certainly not applied.
func (o *operator) removeCandidates(order *configOrder) {
	o.candidates[order.version] = slices.DeleteFunc(o.candidates[order.version], func(t candidate) bool { return t.order == order })
}
