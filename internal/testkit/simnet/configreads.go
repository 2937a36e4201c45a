package simnet

import (
	"net/http"
	"slices"
	"time"

	"github.com/valyala/fastjson"

	"frosttide/internal/chainclient"
	"frosttide/internal/protocol"
)

// refreshBase reads the configuration, with retries, and takes its version as the base of the next
// order.
func (o *operator) refreshBase(done func()) {
	o.readConfig(func(version uint64, ok bool) {
		if !ok {
			o.sim.after(300*time.Millisecond, func() { o.refreshBase(done) })
			return
		}
		o.base = version
		done()
	})
}

// readConfig reads the configuration at a random gateway and checks it. Done is told the version,
// and whether the read was answered.
func (o *operator) readConfig(done func(version uint64, ok bool)) {
	sim := o.sim
	minVersion := o.newestAcknowledged
	answered := false
	finish := func(version uint64, ok bool) {
		if !answered {
			answered = true
			done(version, ok)
		}
	}
	at, began := sim.anyGateway(), sim.now
	at.request(configRequest(), chainclient.ToTail, orderTimeout, func(out chainclient.Outcome) {
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

// configRequest returns a request for the configuration.
func configRequest() *protocol.ClientRequest {
	return &protocol.ClientRequest{Op: &protocol.ClientRequest_ReadConfig{ReadConfig: &protocol.ReadConfig{}}}
}

// readConfigAt reads the configuration at a machine of the control plane and checks it.
func (o *operator) readConfigAt(c *core) {
	minVersion, began := o.newestAcknowledged, o.sim.now
	c.request(configRequest(), chainclient.ToTail, func(reply *protocol.ClientReply) {
		if reply.GetStatus() == http.StatusOK {
			o.recordRead(began, o.checkRead(reply.GetBody(), minVersion))
		}
	})
}

// readStatusAt reads the scheduler's status at a machine of the control plane and checks that it is
// not older than the newest acknowledged configuration.
func (o *operator) readStatusAt(c *core) {
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

// checkRead checks a configuration that was read: it has to be at least as new as what was
// acknowledged before the read, and equal to one that the operator has sent. It returns the
// version.
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

// recordRead appends a read of the configuration to the history.
func (o *operator) recordRead(began time.Duration, version uint64) {
	o.sim.record(Call{Kind: ReadCall, Began: began, Ended: o.sim.now, Version: version})
}

// readInterval is the time between two reads at all machines of the control plane.
const readInterval = 300 * time.Millisecond

// readEverywhere reads the configuration and the status at every machine of the control plane,
// including partitioned ones: none may answer with an older version than was acknowledged before
// the read.
func (sim *simulation) readEverywhere() {
	for _, c := range slices.Clone(sim.cores) {
		if c.up {
			sim.operator.readConfigAt(c)
			sim.operator.readStatusAt(c)
		}
	}
	if sim.now < sim.options.Length {
		sim.after(readInterval, sim.readEverywhere)
	}
}
