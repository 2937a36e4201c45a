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
	_ = json.Unmarshal(n.Meta, &i.Meta) // of a build that says it otherwise nothing is known
	return i
}

// broadcast is a word on its way.
type broadcast struct {
	key    string
	update []byte
}

// Invalidates has a later word under the same key take the place of an earlier one.
func (b *broadcast) Invalidates(other memberlist.Broadcast) bool {
	o, ok := other.(*broadcast)
	return ok && o.key == b.key
}

// Name is the key; memberlist keeps one word for each.
func (b *broadcast) Name() string { return b.key }

// Message is what goes out.
func (b *broadcast) Message() []byte { return b.update }

// Finished is called when the word is not sent any more.
func (b *broadcast) Finished() {}

// delegate is what memberlist asks and tells.
type delegate Members

// NodeMeta says who the member is.
func (d *delegate) NodeMeta(limit int) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	text, err := json.Marshal(d.meta)
	if err != nil || len(text) > min(limit, maxMetaSize) { // names in the settings are shorter
		return nil
	}
	return text
}

// NotifyMsg brings a word.
func (d *delegate) NotifyMsg(b []byte) { d.sink.UpdateReceived(slices.Clone(b)) }

// GetBroadcasts gives words for a packet.
func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.broadcasts.GetBroadcasts(overhead, limit)
}

// LocalState is not used: what is missing is fetched in parts.
func (d *delegate) LocalState(bool) []byte { return nil }

// MergeRemoteState is not used.
func (d *delegate) MergeRemoteState([]byte, bool) {}

// events are memberlist's.
type events Members

// NotifyJoin tells of a member that is new or back.
func (e *events) NotifyJoin(n *memberlist.Node) {
	i := info(n, Alive)
	e.mu.Lock()
	delete(e.departed, n.Name)
	e.alive[n.Name] = i
	e.mu.Unlock()
	e.sink.Joined(i)
}

// NotifyLeave tells of one that is gone.
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

// NotifyUpdate tells that a member says something else of itself.
func (e *events) NotifyUpdate(n *memberlist.Node) {
	i := info(n, Alive)
	e.mu.Lock()
	e.alive[n.Name] = i
	e.mu.Unlock()
	e.sink.Changed(i)
}

// conflicts hears of two members of one name.
type conflicts Members

// NotifyConflict tells of another who uses a name that is taken.
func (c *conflicts) NotifyConflict(existing, other *memberlist.Node) {
	c.sink.NameConflict(info(existing, Alive), info(other, Alive))
}

// said writes memberlist's lines to the log, at debug level: it repeats itself
// while a member is away, and what matters is told to the sink.
type debugWriter struct{ log *logrus.Entry }

func (s debugWriter) Write(message []byte) (int, error) {
	s.log.Debug(strings.TrimSpace(string(message)))
	return len(message), nil
}
