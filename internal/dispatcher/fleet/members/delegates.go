package members

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/hashicorp/memberlist"
	"github.com/sirupsen/logrus"
)

// info returns a member's Info from memberlist's node.
func info(n *memberlist.Node, status Status) Info {
	i := Info{Name: n.Name, Addr: n.Address(), Status: status}
	_ = json.Unmarshal(n.Meta, &i.Meta) // metadata of an incompatible build is ignored
	return i
}

// broadcast is an update queued for gossip; it implements memberlist.NamedBroadcast.
type broadcast struct {
	key    string
	update []byte
}

// Invalidates reports whether the update replaces an earlier one, which holds if their keys are
// equal.
func (b *broadcast) Invalidates(other memberlist.Broadcast) bool {
	o, ok := other.(*broadcast)
	return ok && o.key == b.key
}

// Name returns the update's key; memberlist queues one update per key.
func (b *broadcast) Name() string { return b.key }

// Message returns the update's bytes, which memberlist appends to a gossip packet.
func (b *broadcast) Message() []byte { return b.update }

// Finished is called when the update is no longer queued, and does nothing.
func (b *broadcast) Finished() {}

// delegate implements memberlist.Delegate, which supplies metadata and updates to gossip.
type delegate Members

// NodeMeta returns the member's metadata as JSON, nil if it does not fit.
func (d *delegate) NodeMeta(limit int) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	text, err := json.Marshal(d.meta)
	if err != nil || len(text) > min(limit, maxMetaSize) { // unreachable: settings limit the names
		return nil
	}
	return text
}

// NotifyMsg passes a copy of a received update to the sink, as memberlist reuses the buffer.
func (d *delegate) NotifyMsg(b []byte) { d.sink.UpdateReceived(slices.Clone(b)) }

// GetBroadcasts returns queued updates for a packet: up to limit bytes, counting overhead bytes for
// each update.
func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.broadcasts.GetBroadcasts(overhead, limit)
}

// LocalState adds no state to memberlist's push/pull exchanges: package cluster finds missing
// updates by comparing replicas.
func (d *delegate) LocalState(bool) []byte { return nil }

// MergeRemoteState does nothing, as LocalState sends nothing.
func (d *delegate) MergeRemoteState([]byte, bool) {}

// eventDelegate implements memberlist.EventDelegate, which reports changes of the membership.
type eventDelegate Members

// NotifyJoin records a member that is new or has returned, and reports it to the sink.
func (e *eventDelegate) NotifyJoin(n *memberlist.Node) {
	i := info(n, Alive)
	e.mu.Lock()
	delete(e.departed, n.Name)
	e.alive[n.Name] = i
	e.mu.Unlock()
	e.sink.Joined(i)
}

// NotifyLeave records a member that has left or failed, and reports it to the sink. Beyond
// maxDeparted, an arbitrary earlier one is forgotten.
func (e *eventDelegate) NotifyLeave(n *memberlist.Node) {
	i := info(n, Dead)
	if i.Leaving {
		i.Status = Departed
	}
	e.mu.Lock()
	if len(e.departed) >= maxDeparted {
		for name := range e.departed {
			delete(e.departed, name)
			break
		}
	}
	delete(e.alive, n.Name)
	delete(e.rtts, n.Name)
	e.departed[n.Name] = i
	e.mu.Unlock()
	e.sink.Departed(i)
}

// NotifyUpdate records a member's new metadata, and reports it to the sink.
func (e *eventDelegate) NotifyUpdate(n *memberlist.Node) {
	i := info(n, Alive)
	e.mu.Lock()
	e.alive[n.Name] = i
	e.mu.Unlock()
	e.sink.Changed(i)
}

// conflictDelegate implements memberlist.ConflictDelegate, which reports duplicate names.
type conflictDelegate Members

// NotifyConflict reports to the sink that another member uses the name of an existing one.
func (c *conflictDelegate) NotifyConflict(existing, other *memberlist.Node) {
	c.sink.NameConflict(info(existing, Alive), info(other, Alive))
}

// debugWriter writes memberlist's log lines at debug level: they repeat while a member is
// unreachable, and the events that matter reach the sink.
type debugWriter struct{ log *logrus.Entry }

// Write logs one line. It always succeeds.
func (w debugWriter) Write(message []byte) (int, error) {
	w.log.Debug(strings.TrimSpace(string(message)))
	return len(message), nil
}
