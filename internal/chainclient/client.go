package chainclient

import (
	"maps"
	"slices"
	"time"

	"frosttide/internal/protocol"
	"frosttide/internal/view"
)

const (
	// resendAfter is how long a reply is awaited until the request is sent again. It is well above what a slow disk takes.
	resendAfter = 400 * time.Millisecond
	// refusedBackoff is the delay after a refusal by a member that does not hold the role, and before another attempt to
	// find a view.
	refusedBackoff = 25 * time.Millisecond
	// viewQueryInterval is the minimum time between queries for a newer view.
	viewQueryInterval = 60 * time.Millisecond
	// viewSuspectAfter is the age of a request without a reply from which the view may be outdated.
	viewSuspectAfter = 120 * time.Millisecond
	// idBits is the number of low bits of a request ID that count requests; the bits above are the process's incarnation.
	idBits = 24
)

// Outcome is how a request has ended.
type Outcome struct {
	ID              uint64
	Reply           *protocol.ClientReply // nil where none came before the deadline
	MayHaveExecuted bool                  // false where the control plane surely has not executed the request
	Elapsed         time.Duration         // since the start of the request
}

// Client is a process's access to the control plane. New makes one.
type Client struct {
	incarnation   uint64
	now           time.Duration // time of the current call
	contacts      []string
	contactIndex  int            // of the last process queried for a view
	view          *protocol.View // nil before any is known
	viewQueriedAt time.Duration
	lastID        uint64
	pending       map[uint64]*request
	outcomes      []Outcome           // not taken yet
	sends         []protocol.Outbound // not taken yet
}

// New returns a client that queries the processes at some internal addresses for the first view. The incarnation is drawn
// when the process starts.
func New(incarnation uint64, contacts []string) *Client {
	return &Client{incarnation: incarnation, contacts: contacts, lastID: incarnation << idBits, pending: make(map[uint64]*request)}
}

// SetContacts replaces the processes that are queried for the first view. An empty list is ignored.
func (c *Client) SetContacts(contacts []string) {
	if len(contacts) > 0 {
		c.contacts = contacts
	}
}

// View returns the newest view known, nil before any is.
func (c *Client) View() *protocol.View { return c.view }

// Pending returns the number of requests without an outcome.
func (c *Client) Pending() int { return len(c.pending) }

// Do starts a request to one end of the chain and returns its ID. The request ends without a reply at the deadline, or at the
// unsent deadline where no view was found by then to send it by. Do sets the ID and the incarnation of the message, which
// belongs to the client from then on.
func (c *Client) Do(now time.Duration, r *protocol.ClientRequest, destination Destination, deadline, unsentDeadline time.Duration) uint64 {
	c.now = now
	c.lastID++
	r.Id, r.Incarnation = c.lastID, c.incarnation
	req := &request{message: r, destination: destination, startedAt: now, deadline: deadline, unsentDeadline: min(unsentDeadline, deadline)}
	c.pending[r.GetId()] = req
	c.send(req)
	return r.GetId()
}

// Cancel forgets a request. It will have no outcome, and the control plane may execute it all the same.
func (c *Client) Cancel(id uint64) { delete(c.pending, id) }

// UpdateView adopts a view where it is newer, and sends all pending requests again: what was sent to the earlier chain may
// be lost with it.
func (c *Client) UpdateView(now time.Duration, v *protocol.View) {
	c.now = now
	if v.GetEpoch() <= c.view.GetEpoch() || len(v.GetChain()) == 0 {
		return
	}
	c.view = v
	for _, id := range slices.Sorted(maps.Keys(c.pending)) {
		c.send(c.pending[id])
	}
}

// Reply handles a reply. Those to requests that are not pending are ignored.
func (c *Client) Reply(now time.Duration, r *protocol.ClientReply) {
	c.now = now
	req := c.pending[r.GetId()]
	if req == nil {
		return
	}
	if r.GetNotServing() {
		req.recordRefusal(r.GetAttempt())
		req.resendAt = now + refusedBackoff
		return
	}
	delete(c.pending, r.GetId())
	c.outcomes = append(c.outcomes, Outcome{ID: r.GetId(), Reply: r, MayHaveExecuted: true, Elapsed: now - req.startedAt})
}

// Tick advances the time: requests reach their deadlines or are sent again, and a newer view is queried where requests
// have no reply.
func (c *Client) Tick(now time.Duration) {
	c.now = now
	viewSuspect := false
	for _, id := range slices.Sorted(maps.Keys(c.pending)) {
		req := c.pending[id]
		switch {
		case req.expired(now):
			delete(c.pending, id)
			c.outcomes = append(c.outcomes, Outcome{ID: id, MayHaveExecuted: req.mayHaveExecuted(), Elapsed: now - req.startedAt})
		case now >= req.resendAt:
			c.send(req)
			viewSuspect = true
		default:
			viewSuspect = viewSuspect || now-req.startedAt > viewSuspectAfter
		}
	}
	if (viewSuspect || c.view == nil) && now-c.viewQueriedAt >= viewQueryInterval {
		c.queryView()
	}
}

// TakeOutcomes returns the outcomes since the last call.
func (c *Client) TakeOutcomes() []Outcome {
	out := c.outcomes
	c.outcomes = nil
	return out
}

// TakeSends returns the messages to be sent since the last call.
func (c *Client) TakeSends() []protocol.Outbound {
	out := c.sends
	c.sends = nil
	return out
}

// send sends a request to the member that the view names for it, and without a view tries again soon.
func (c *Client) send(req *request) {
	if c.view == nil {
		req.resendAt = c.now + refusedBackoff
		return
	}
	id := view.Head(c.view)
	if req.destination == ToTail {
		id = view.Tail(c.view)
	}
	to := view.Find(c.view.GetVoters(), id)
	req.resendAt = c.now + resendAfter
	message := req.nextAttempt()
	c.sends = append(c.sends, protocol.Outbound{To: to.GetAddress(), Message: &protocol.Envelope{Body: &protocol.Envelope_ClientRequest{ClientRequest: message}}})
}

// queryView asks for a newer view, each time another one of the contacts and voters known.
func (c *Client) queryView() {
	c.viewQueriedAt = c.now
	addresses := slices.Clone(c.contacts)
	for _, m := range c.view.GetVoters() {
		addresses = append(addresses, m.GetAddress())
	}
	if len(addresses) == 0 {
		return
	}
	c.contactIndex++
	c.sends = append(c.sends, protocol.Outbound{
		To:      addresses[c.contactIndex%len(addresses)],
		Message: &protocol.Envelope{Body: &protocol.Envelope_ViewQuery{ViewQuery: &protocol.ViewQuery{Epoch: c.view.GetEpoch()}}},
	})
}
