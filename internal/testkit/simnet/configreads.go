package simnet

import (
	"net/http"
	"slices"
	"time"

	"github.com/valyala/fastjson"

	"frosttide/internal/chainclient"
	"frosttide/internal/protocol"
)

// learnVersion reads the configuration until it is answered, and goes on from its version.
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

// read reads the configuration at any gateway and checks it. Then is told the version, and whether it was answered.
func (o *operator) read(then func(version uint64, ok bool)) {
	sim := o.sim
	minVersion := o.newestAcknowledged
	answered := false
	finish := func(version uint64, ok bool) {
		if !answered {
			answered = true
			then(version, ok)
		}
	}
	at, began := sim.anyGateway(), sim.now
	at.request(readConfig(), chainclient.ToTail, orderTimeout, func(out chainclient.Outcome) {
		if out.Reply.GetStatus() != http.StatusOK {
			finish(0, false)
			return
		}
		version := o.checkRead(out.Reply.GetBody(), minVersion)
		o.recordRead(began, version)
		finish(version, true)
	})
	sim.after(orderTimeout+100*time.Millisecond, func() { finish(0, false) })
}

// readConfig returns a request for the configuration.
func readConfig() *protocol.ClientRequest {
	return &protocol.ClientRequest{Op: &protocol.ClientRequest_ReadConfig{ReadConfig: &protocol.ReadConfig{}}}
}

// readAt reads the configuration at a member and checks it.
func (o *operator) readAt(c *core) {
	minVersion, began := o.newestAcknowledged, o.sim.now
	c.request(readConfig(), chainclient.ToTail, func(reply *protocol.ClientReply) {
		if reply.GetStatus() == http.StatusOK {
			o.recordRead(began, o.checkRead(reply.GetBody(), minVersion))
		}
	})
}

// statusAt reads the status of the placement role at a member and checks that it is not older than what was
// acknowledged.
func (o *operator) statusAt(c *core) {
	minVersion := o.newestAcknowledged
	status := &protocol.ClientRequest{Op: &protocol.ClientRequest_ReadStatus{ReadStatus: &protocol.ReadStatus{}}}
	c.request(status, chainclient.ToHead, func(reply *protocol.ClientReply) {
		if reply.GetStatus() != http.StatusOK {
			return
		}
		if version := uint64(fastjson.GetInt(reply.GetBody(), "config_version")); version < minVersion {
			o.sim.violation("CONFIG", "%s shows the state of version %d after %d was acknowledged", c.address, version, minVersion)
		}
	})
}

// checkRead checks a configuration that was read: it is at least as new as what was acknowledged before the read, and
// one that the operator has made. It returns the version.
func (o *operator) checkRead(body []byte, minVersion uint64) uint64 {
	sim := o.sim
	v, err := fastjson.ParseBytes(body)
	if err != nil {
		sim.violation("CONFIG", "what is read back can't be read: %v", err)
		return 0
	}
	version := v.GetUint64("Version")
	if version < minVersion {
		sim.violation("CONFIG", "version %d is read back after %d was acknowledged", version, minVersion)
	}
	for _, t := range o.candidates[version] {
		if string(t.table.Document()) == string(body) {
			return version
		}
	}
	sim.violation("CONFIG", "version %d is read back as nobody has sent it: %s", version, body)
	return version
}

// recordRead adds what a read has shown to the history.
func (o *operator) recordRead(began time.Duration, version uint64) {
	o.sim.record(Call{Kind: ReadCall, Began: began, Ended: o.sim.now, Version: version})
}

// readInterval is how often all machines of the control plane are read.
const readInterval = 300 * time.Millisecond

// readEverywhere reads the configuration and the status at every machine of the control plane, also those that are
// partitioned: none may answer with an older version than was acknowledged before.
func (sim *simulation) readEverywhere() {
	for _, c := range slices.Clone(sim.cores) {
		if c.up {
			sim.operator.readAt(c)
			sim.operator.statusAt(c)
		}
	}
	if sim.now < sim.options.Length {
		sim.after(readInterval, sim.readEverywhere)
	}
}
