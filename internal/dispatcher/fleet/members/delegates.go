package members

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/hashicorp/memberlist"
	"github.com/sirupsen/logrus"
)

func info(n *memberlist.Node, status Status) Info {
	i := Info{Name: n.Name, Addr: n.Address(), Status: status}
	_ = json.Unmarshal(n.Meta, &i.Meta) // the metadata of an incompatible build is left empty
	return i
}

// broadcast is a queued update; it implements memberlist.NamedBroadcast.
type broadcast struct {
	key    string
	update []byte
}

// Invalidates reports whether the update replaces another: a later one under the same key does.
func (b *broadcast) Invalidates(other memberlist.Broadcast) bool {
	o, ok := other.(*broadcast)
	return ok && o.key == b.key
}

// Name returns the key; memberlist keeps one update for each.
func (b *broadcast) Name() string { return b.key }

// Message returns the update.
func (b *broadcast) Message() []byte { return b.update }

// Finished does nothing.
func (b *broadcast) Finished() {}

// delegate implements memberlist.Delegate.
type delegate Members

// NodeMeta returns the member's metadata as JSON, nil if it does not fit.
func (d *delegate) NodeMeta(limit int) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	text, err := json.Marshal(d.meta)
	if err != nil || len(text) > min(limit, maxMetaSize) { // cannot happen: the settings limit the names
		return nil
	}
	return text
}

// NotifyMsg passes a received update to the sink.
func (d *delegate) NotifyMsg(b []byte) { d.sink.UpdateReceived(slices.Clone(b)) }

// GetBroadcasts returns queued updates for a packet.
func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.broadcasts.GetBroadcasts(overhead, limit)
}

// LocalState returns nothing: missing updates are fetched by comparing replicas.
func (d *delegate) LocalState(bool) []byte { return nil }

// MergeRemoteState does nothing.
func (d *delegate) MergeRemoteState([]byte, bool) {}

// events implements memberlist.EventDelegate.
type events Members

// NotifyJoin records a member that is new or has returned.
func (e *events) NotifyJoin(n *memberlist.Node) {
	i := info(n, Alive)
	e.mu.Lock()
	delete(e.departed, n.Name)
	e.alive[n.Name] = i
	e.mu.Unlock()
	e.sink.Joined(i)
}

// NotifyLeave records a member that has left or failed.
func (e *events) NotifyLeave(n *memberlist.Node) {
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

// NotifyUpdate records a member's new metadata.
func (e *events) NotifyUpdate(n *memberlist.Node) {
	i := info(n, Alive)
	e.mu.Lock()
	e.alive[n.Name] = i
	e.mu.Unlock()
	e.sink.Changed(i)
}

// conflicts implements memberlist.ConflictDelegate.
type conflicts Members

// NotifyConflict reports another member that uses a name in use.
func (c *conflicts) NotifyConflict(existing, other *memberlist.Node) {
	c.sink.NameConflict(info(existing, Alive), info(other, Alive))
}

// debugWriter writes memberlist's log lines at debug level: they repeat while a member is away,
// and the sink receives what matters.
type debugWriter struct{ log *logrus.Entry }

// Write logs one line; it never fails.
func (s debugWriter) Write(message []byte) (int, error) {
	s.log.Debug(strings.TrimSpace(string(message)))
	return len(message), nil
}
