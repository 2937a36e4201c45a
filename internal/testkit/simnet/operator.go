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
	world   *world
	tables  map[uint64][]candidate // what may be in force, by version
	ackedOn map[uint64]*order      // acknowledged orders, by the version they build on
	newest  uint64                 // highest version acknowledged
	base    uint64                 // version that the next order builds on
	next    uint64                 // version it takes
	changes int
}

// candidate is a configuration that may be in force.
type candidate struct {
	order *order
	table *routeconfig.Table
}

// order is a change of the configuration.
type order struct {
	patch   bool
	match   uint64
	version uint64
	body    []byte
	invalid bool
	number  int // of the order
	acked   bool
	tries   int
	unclear bool // a try has had no answer
}

const (
	// mostRaced is how many other orders are under way at once at the most.
	mostRaced = 7
	// lateAgain is how late an order that was acknowledged comes again.
	lateAgain = 25 * time.Second
	orderWait = 900 * time.Millisecond
	mostSends = 8
)

// firstConfig is what the operator begins with.
const firstConfig = `{"Version":%d,"Routes":[{"Name":"quick","Host":"h","PathPrefix":"/q/","TimeoutMs":3000,"TargetLatencyMs":800,"Priority":0,"Service":"cut","MaxAttempts":3,"Stretch":1.5},` +
	`{"Name":"batch","Host":"h","PathPrefix":"/b/","TimeoutMs":3000,"TargetLatencyMs":4000,"Priority":2,"Service":"render","MaxAttempts":2,"Stretch":4}],` +
	`"Services":[{"Name":"cut"},{"Name":"render"}]}`

// maxAttempts are those of the queues in firstConfig.
var maxAttempts = map[string]int{"quick": 3, "batch": 2}

func (w *world) newOperator() *operator {
	return &operator{world: w, tables: map[uint64][]candidate{0: {{table: routeconfig.Empty()}}}, ackedOn: make(map[uint64]*order), next: 1}
}

// begin sends the first configuration until it is taken, and then changes.
func (o *operator) begin() {
	first := &order{version: 1, body: fmt.Appendf(nil, firstConfig, 1)}
	o.send(first, func(bool) { o.world.after(o.world.between(time.Second, 3*time.Second), o.change) })
}

// change sends the next change, and one after it later.
func (o *operator) change() {
	w := o.world
	if w.now > w.options.Length {
		return
	}
	least, most := 500*time.Millisecond, 3*time.Second
	if w.options.Changes {
		least, most = 20*time.Millisecond, 150*time.Millisecond
	}
	again := func(bool) { w.after(w.between(least, most), o.change) }
	one := o.draw()
	switch w.rng.IntN(6) {
	case 0: // a race: others change the same version
		for range 1 + w.rng.IntN(mostRaced) {
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
	o.next = max(o.next, o.newest) + 1 + uint64(o.world.rng.IntN(3))
	body := fmt.Appendf(nil, `{"Version":%d,"Upsert":{"Routes":[{"Name":"idle%d","Host":"h","PathPrefix":"/i%d/","TimeoutMs":%d,"Service":"cut"}]},"Remove":{"Routes":["idle%d"]}}`,
		o.next, o.changes%5, o.changes%5, 1000+o.changes, (o.changes+2)%5)
	return &order{patch: true, number: o.changes, match: o.base, version: o.next, body: body}
}

// send sends an order to some member, and again to another where the answer is not clear.
func (o *operator) send(one *order, done func(taken bool)) {
	w := o.world
	one.tries++
	if !one.invalid {
		o.mayBe(one)
	}
	over := false
	call := Call{Kind: OrderCall, Began: w.now, Order: one.number, Match: one.match, Version: one.version}
	finish := func(status int) {
		if over {
			return
		}
		over = true
		o.recordOrder(call, one, status)
		o.answered(one, status, done)
	}
	c := w.cores[w.rng.IntN(len(w.cores))]
	if c.up {
		r := &protocol.ClientRequest{Op: &protocol.ClientRequest_Config{Config: &protocol.ConfigOrder{Patch: one.patch, IfMatch: one.match, Body: one.body}}}
		lost := w.rng.IntN(6) == 0
		w.run(c.process, func() {
			id := c.member.Ask(w.clock(c.process), r, false, orderWait)
			c.answers[id] = func(reply *protocol.ClientReply) {
				if !lost {
					finish(int(reply.GetStatus()))
				}
			}
		})
	}
	w.after(orderWait+100*time.Millisecond, func() { finish(0) })
}

// recordOrder keeps an order with its answer. Invalid ones, and answers that are not clear where nothing was sent, say
// nothing.
func (o *operator) recordOrder(call Call, one *order, status int) {
	if one.invalid {
		return
	}
	switch status {
	case http.StatusOK:
		call.Ended, call.Taken = o.world.now, true
	case http.StatusPreconditionFailed:
		call.Ended = o.world.now
	}
	o.world.record(call)
}

// recordRead keeps what a read has shown.
func (o *operator) recordRead(began time.Duration, version uint64) {
	o.world.record(Call{Kind: ReadCall, Began: began, Ended: o.world.now, Version: version})
}

// answered weighs the answer to an order.
func (o *operator) answered(one *order, status int, done func(taken bool)) {
	w := o.world
	switch status {
	case http.StatusOK:
		o.acknowledge(one)
		if w.rng.IntN(5) == 0 && one.tries < mostSends { // it comes again though it was taken
			o.send(one, done)
			return
		}
		if w.rng.IntN(4) == 0 && one.tries < mostSends { // and after others were taken
			w.after(w.between(0, lateAgain), func() { o.send(one, func(bool) {}) })
		}
		done(true)
	case http.StatusPreconditionFailed, http.StatusBadRequest:
		if one.acked {
			w.broken("CONFIG", "order %d, which was acknowledged, is refused with %d", one.version, status)
		}
		if !one.acked && !one.unclear {
			o.refused(one)
		}
		o.learn(func() { done(false) })
	default:
		one.unclear = true
		if one.tries >= mostSends && one.version > 1 {
			o.learn(func() { done(false) })
			return
		}
		w.after(200*time.Millisecond, func() { o.send(one, done) })
	}
}

// acknowledge notes an order that was taken.
func (o *operator) acknowledge(one *order) {
	w := o.world
	if one.invalid {
		w.broken("CONFIG", "an invalid order is acknowledged: %s", one.body)
		return
	}
	if other := o.ackedOn[one.match]; other != nil && other != one {
		w.broken("CONFIG", "two orders on version %d are acknowledged: %d and %d", one.match, other.version, one.version)
		return
	}
	o.ackedOn[one.match] = one
	if !one.acked {
		w.trace("configuration %d is acknowledged", one.version)
	}
	one.acked = true
	o.newest = max(o.newest, one.version)
	o.base = max(o.base, one.version)
}

// mayBe notes what an order makes of each configuration that it may be taken on.
func (o *operator) mayBe(one *order) {
	for _, base := range o.tables[one.match] {
		c, err := base.table.Apply(one.body, one.patch)
		if err != nil || slices.ContainsFunc(o.tables[one.version], func(t candidate) bool { return t.order == one && t.table.Digest == c.Table.Digest }) {
			continue
		}
		o.tables[one.version] = append(o.tables[one.version], candidate{order: one, table: c.Table})
	}
}

// refused notes that an order was clearly not taken.
func (o *operator) refused(one *order) {
	o.tables[one.version] = slices.DeleteFunc(o.tables[one.version], func(t candidate) bool { return t.order == one })
}

// learn reads the configuration, and goes on once it is known.
func (o *operator) learn(then func()) {
	o.read(func(version uint64, ok bool) {
		if !ok {
			o.world.after(300*time.Millisecond, func() { o.learn(then) })
			return
		}
		o.base = version
		then()
	})
}

// read reads the configuration back and checks it.
func (o *operator) read(then func(version uint64, ok bool)) {
	w := o.world
	atLeast := o.newest
	over := false
	finish := func(version uint64, ok bool) {
		if !over {
			over = true
			then(version, ok)
		}
	}
	at, began := w.carriers[w.rng.IntN(len(w.carriers))], w.now
	at.ask(&protocol.ClientRequest{Op: &protocol.ClientRequest_ReadConfig{ReadConfig: &protocol.ReadConfig{}}}, true, orderWait, func(out chainclient.Outcome) {
		if out.Reply.GetStatus() != http.StatusOK {
			finish(0, false)
			return
		}
		version := o.checkRead(out.Reply.GetBody(), atLeast)
		o.recordRead(began, version)
		finish(version, true)
	})
	w.after(orderWait+100*time.Millisecond, func() { finish(0, false) })
}

// readAt reads the configuration at a member and checks it.
func (o *operator) readAt(c *core) {
	atLeast, began := o.newest, o.world.now
	request := &protocol.ClientRequest{Op: &protocol.ClientRequest_ReadConfig{ReadConfig: &protocol.ReadConfig{}}}
	c.ask(request, true, func(reply *protocol.ClientReply) {
		if reply.GetStatus() == http.StatusOK {
			o.recordRead(began, o.checkRead(reply.GetBody(), atLeast))
		}
	})
}

// statusAt asks a member for the state of the placement role and checks that it is not an old one.
func (o *operator) statusAt(c *core) {
	atLeast := o.newest
	request := &protocol.ClientRequest{Op: &protocol.ClientRequest_ReadStatus{ReadStatus: &protocol.ReadStatus{}}}
	c.ask(request, false, func(reply *protocol.ClientReply) {
		if reply.GetStatus() != http.StatusOK {
			return
		}
		if version := uint64(fastjson.GetInt(reply.GetBody(), "config_version")); version < atLeast {
			o.world.broken("CONFIG", "%s shows the state of version %d after %d was acknowledged", c.address, version, atLeast)
		}
	})
}

// checkRead checks a configuration that was read back.
func (o *operator) checkRead(body []byte, atLeast uint64) uint64 {
	w := o.world
	v, err := fastjson.ParseBytes(body)
	if err != nil {
		w.broken("CONFIG", "what is read back can't be read: %v", err)
		return 0
	}
	version := v.GetUint64("Version")
	if version < atLeast {
		w.broken("CONFIG", "version %d is read back after %d was acknowledged", version, atLeast)
	}
	for _, t := range o.tables[version] {
		if string(t.table.Document()) == string(body) {
			return version
		}
	}
	w.broken("CONFIG", "version %d is read back as nobody has sent it: %s", version, body)
	return version
}
