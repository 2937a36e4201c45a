package simnet

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/valyala/fastjson"

	"frosttide/internal/chainclient"
	"frosttide/internal/protocol"
	"frosttide/internal/routeconfig"
)

// operator changes the configuration: it sends orders until they have a clear answer, some of them invalid,
// some two at once, and loses some answers.
type operator struct {
	sim                *simulation
	candidates         map[uint64][]candidate // what may be in force, by version
	acknowledgedByBase map[uint64]*order      // acknowledged orders, by the version they build on
	newestAcknowledged uint64                 // highest version acknowledged
	base               uint64                 // version that the next order builds on
	nextVersion        uint64                 // version it takes
	changes            int
}

// candidate is a configuration that may be in force.
type candidate struct {
	order *order
	table *routeconfig.Table
}

// order is a change of the configuration.
type order struct {
	patch         bool
	match         uint64
	version       uint64
	body          []byte
	invalid       bool
	number        int // of the order
	acknowledged  bool
	attempts      int
	indeterminate bool // a try has had no answer
}

const (
	// maxConcurrentOrders is how many other orders are under way at once at the most.
	maxConcurrentOrders = 7
	// maxResendDelay is how late an order that was acknowledged comes again.
	maxResendDelay = 25 * time.Second
	orderTimeout   = 900 * time.Millisecond
	maxSends       = 8
)

// firstConfig is what the operator begins with.
const firstConfig = `{"Version":%d,"Routes":[{"Name":"quick","Host":"h","PathPrefix":"/q/","TimeoutMs":3000,"TargetLatencyMs":800,"Priority":0,"Service":"cut","MaxAttempts":3,"Stretch":1.5},` +
	`{"Name":"batch","Host":"h","PathPrefix":"/b/","TimeoutMs":3000,"TargetLatencyMs":4000,"Priority":2,"Service":"render","MaxAttempts":2,"Stretch":4}],` +
	`"Services":[{"Name":"cut"},{"Name":"render"}]}`

// maxAttempts are those of the queues in firstConfig.
var maxAttempts = map[string]int{"quick": 3, "batch": 2}

func (sim *simulation) newOperator() *operator {
	return &operator{sim: sim, candidates: map[uint64][]candidate{0: {{table: routeconfig.Empty()}}}, acknowledgedByBase: make(map[uint64]*order), nextVersion: 1}
}

// start sends the first configuration until it is taken, and then changes.
func (o *operator) start() {
	first := &order{version: 1, body: fmt.Appendf(nil, firstConfig, 1)}
	o.send(first, func(bool) { o.sim.after(o.sim.randomDuration(time.Second, 3*time.Second), o.change) })
}

// change sends the next change, and one after it later.
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
	case 0: // a race: others change the same version
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

// send sends an order to some member, and again to another where the answer is not clear.
func (o *operator) send(one *order, done func(taken bool)) {
	sim := o.sim
	one.attempts++
	if !one.invalid {
		o.addCandidates(one)
	}
	over := false
	call := Call{Kind: OrderCall, Began: sim.now, Order: one.number, Match: one.match, Version: one.version}
	finish := func(status int) {
		if over {
			return
		}
		over = true
		o.recordOrder(call, one, status)
		o.handleStatus(one, status, done)
	}
	c := sim.cores[sim.rng.IntN(len(sim.cores))]
	if c.up {
		r := &protocol.ClientRequest{Op: &protocol.ClientRequest_Config{Config: &protocol.ConfigOrder{Patch: one.patch, IfMatch: one.match, Body: one.body}}}
		lost := sim.rng.IntN(6) == 0
		sim.execute(c.process, func() {
			id := c.member.Do(sim.clock(c.process), r, false, orderTimeout)
			c.pendingReplies[id] = func(reply *protocol.ClientReply) {
				if !lost {
					finish(int(reply.GetStatus()))
				}
			}
		})
	}
	sim.after(orderTimeout+100*time.Millisecond, func() { finish(0) })
}

// recordOrder keeps an order with its answer. Invalid ones, and answers that are not clear where nothing was sent, say
// nothing.
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

// recordRead keeps what a read has shown.
func (o *operator) recordRead(began time.Duration, version uint64) {
	o.sim.record(Call{Kind: ReadCall, Began: began, Ended: o.sim.now, Version: version})
}

// handleStatus weighs the answer to an order.
func (o *operator) handleStatus(one *order, status int, done func(taken bool)) {
	sim := o.sim
	switch status {
	case http.StatusOK:
		o.acknowledge(one)
		if sim.rng.IntN(5) == 0 && one.attempts < maxSends { // it comes again though it was taken
			o.send(one, done)
			return
		}
		if sim.rng.IntN(4) == 0 && one.attempts < maxSends { // and after others were taken
			sim.after(sim.randomDuration(0, maxResendDelay), func() { o.send(one, func(bool) {}) })
		}
		done(true)
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

// acknowledge notes an order that was taken.
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

// addCandidates notes what an order makes of each configuration that it may be taken on.
func (o *operator) addCandidates(one *order) {
	for _, base := range o.candidates[one.match] {
		c, err := base.table.Apply(one.body, one.patch)
		if err != nil || slices.ContainsFunc(o.candidates[one.version], func(t candidate) bool { return t.order == one && t.table.Digest == c.Table.Digest }) {
			continue
		}
		o.candidates[one.version] = append(o.candidates[one.version], candidate{order: one, table: c.Table})
	}
}

// removeCandidates notes that an order was clearly not taken.
func (o *operator) removeCandidates(one *order) {
	o.candidates[one.version] = slices.DeleteFunc(o.candidates[one.version], func(t candidate) bool { return t.order == one })
}

// learnVersion reads the configuration, and goes on once it is known.
func (o *operator) learnVersion(then func()) {
	o.read(func(version uint64, ok bool) {
		if !ok {
			o.sim.after(300*time.Millisecond, func() { o.learnVersion(then) })
			return
		}
		o.base = version
		then()
	})
}

// read reads the configuration back and checks it.
func (o *operator) read(then func(version uint64, ok bool)) {
	sim := o.sim
	atLeast := o.newestAcknowledged
	over := false
	finish := func(version uint64, ok bool) {
		if !over {
			over = true
			then(version, ok)
		}
	}
	at, began := sim.gateways[sim.rng.IntN(len(sim.gateways))], sim.now
	at.request(&protocol.ClientRequest{Op: &protocol.ClientRequest_ReadConfig{ReadConfig: &protocol.ReadConfig{}}}, true, orderTimeout, func(out chainclient.Outcome) {
		if out.Reply.GetStatus() != http.StatusOK {
			finish(0, false)
			return
		}
		version := o.checkRead(out.Reply.GetBody(), atLeast)
		o.recordRead(began, version)
		finish(version, true)
	})
	sim.after(orderTimeout+100*time.Millisecond, func() { finish(0, false) })
}

// readAt reads the configuration at a member and checks it.
func (o *operator) readAt(c *core) {
	atLeast, began := o.newestAcknowledged, o.sim.now
	request := &protocol.ClientRequest{Op: &protocol.ClientRequest_ReadConfig{ReadConfig: &protocol.ReadConfig{}}}
	c.request(request, true, func(reply *protocol.ClientReply) {
		if reply.GetStatus() == http.StatusOK {
			o.recordRead(began, o.checkRead(reply.GetBody(), atLeast))
		}
	})
}

// statusAt asks a member for the state of the placement role and checks that it is not an old one.
func (o *operator) statusAt(c *core) {
	atLeast := o.newestAcknowledged
	request := &protocol.ClientRequest{Op: &protocol.ClientRequest_ReadStatus{ReadStatus: &protocol.ReadStatus{}}}
	c.request(request, false, func(reply *protocol.ClientReply) {
		if reply.GetStatus() != http.StatusOK {
			return
		}
		if version := uint64(fastjson.GetInt(reply.GetBody(), "config_version")); version < atLeast {
			o.sim.violation("CONFIG", "%s shows the state of version %d after %d was acknowledged", c.address, version, atLeast)
		}
	})
}

// checkRead checks a configuration that was read back.
func (o *operator) checkRead(body []byte, atLeast uint64) uint64 {
	sim := o.sim
	v, err := fastjson.ParseBytes(body)
	if err != nil {
		sim.violation("CONFIG", "what is read back can't be read: %v", err)
		return 0
	}
	version := v.GetUint64("Version")
	if version < atLeast {
		sim.violation("CONFIG", "version %d is read back after %d was acknowledged", version, atLeast)
	}
	for _, t := range o.candidates[version] {
		if string(t.table.Document()) == string(body) {
			return version
		}
	}
	sim.violation("CONFIG", "version %d is read back as nobody has sent it: %s", version, body)
	return version
}
