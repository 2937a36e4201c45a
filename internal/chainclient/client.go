package chainclient

import (
	"maps"
	"slices"
	"time"

	"frosttide/internal/protocol"
	"frosttide/internal/view"
)

const (
	// resendAfter is the time without a reply after which a request is sent again. It is well above
	// the latency of a slow disk.
	resendAfter = 400 * time.Millisecond
	// refusedBackoff is the delay before a request is retried after a refusal by a member that does
	// not hold the required role, or while no view is known.
	refusedBackoff = 25 * time.Millisecond
	// viewQueryInterval is the minimum time between queries for a newer view.
	viewQueryInterval = 60 * time.Millisecond
	// viewStaleAfter is the age of a request without a reply from which the view is assumed to be
	// possibly outdated.
	viewStaleAfter = 120 * time.Millisecond
	// idBits is the number of low bits of a request ID that hold the request counter; the bits
	// above hold the process's incarnation.
	idBits = 24
)

// Outcome is the result of a request: its reply, or the end of its deadline.
type Outcome struct {
	ID              uint64
	Reply           *protocol.ClientReply // nil if none came before the deadline
	MayHaveExecuted bool                  // false if the control plane certainly did not execute it
	Elapsed         time.Duration         // since the start of the request
}

// Client sends the requests of one process to the control plane; see the package comment. Use New
// to create one.
type Client struct {
	incarnation   uint64
	now           time.Duration // time of the current call
	contacts      []string
	contactIndex  int            // counts view queries, to rotate through the processes queried
	view          *protocol.View // nil before any is known
	viewQueriedAt time.Duration
	lastID        uint64
	pending       map[uint64]*request
	outcomes      []Outcome           // since the last TakeOutcomes
	sends         []protocol.Outbound // since the last TakeSends
}

// New returns a client that queries the processes at the contacts' internal addresses for the first
// view. incarnation is the random number that the process drew when it started.
func New(incarnation uint64, contacts []string) *Client {
	return &Client{incarnation: incarnation, contacts: contacts, lastID: incarnation << idBits, pending: make(map[uint64]*request)}
}

// SetContacts replaces the processes that are queried for the first view. An empty list is ignored.
func (c *Client) SetContacts(contacts []string) {
	if len(contacts) > 0 {
		c.contacts = contacts
	}
}

// View returns the newest known view, nil if none is known yet.
func (c *Client) View() *protocol.View { return c.view }

// Pending returns the number of requests without an outcome.
func (c *Client) Pending() int { return len(c.pending) }

// Do starts a request to one end of the chain and returns its ID. The request ends without a reply
// at the deadline, or at unsentDeadline if it could not be sent by then because no view was known.
// Both are times on the same clock as now. Do sets the ID and the incarnation of the message and
// takes ownership of it.
func (c *Client) Do(now time.Duration, r *protocol.ClientRequest, destination Destination, deadline, unsentDeadline time.Duration) uint64 {
	c.now = now
	c.lastID++
	r.Id, r.Incarnation = c.lastID, c.incarnation
	req := &request{message: r, destination: destination, startedAt: now, deadline: deadline, unsentDeadline: min(unsentDeadline, deadline)}
	c.pending[r.GetId()] = req
	c.send(req)
	return r.GetId()
}

// Cancel drops a request: it gets no outcome, but the control plane may still execute it.
func (c *Client) Cancel(id uint64) { delete(c.pending, id) }

// UpdateView adopts a view if it is newer and has a chain, and resends all pending requests,
// because those sent to the earlier chain may be lost.
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

// Reply handles a reply. A refusal schedules a retry; any other reply ends its request. Replies to
// requests that are not pending are ignored.
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

// Tick advances the time: it ends requests whose deadline has passed, resends those that are due,
// and queries a newer view if requests have gone without a reply or no view is known.
func (c *Client) Tick(now time.Duration) {
	c.now = now
	viewMayBeStale := false
	for _, id := range slices.Sorted(maps.Keys(c.pending)) {
		req := c.pending[id]
		switch {
		case req.expired(now):
			delete(c.pending, id)
			c.outcomes = append(c.outcomes, Outcome{ID: id, MayHaveExecuted: req.mayHaveExecuted(), Elapsed: now - req.startedAt})
		case now >= req.resendAt:
			c.send(req)
			viewMayBeStale = true
		default:
			viewMayBeStale = viewMayBeStale || now-req.startedAt > viewStaleAfter
		}
	}
	if (viewMayBeStale || c.view == nil) && now-c.viewQueriedAt >= viewQueryInterval {
		c.queryView()
	}
}

// TakeOutcomes returns the outcomes since the last call.
func (c *Client) TakeOutcomes() []Outcome {
	out := c.outcomes
	c.outcomes = nil
	return out
}

// TakeSends returns the messages to be sent that were queued since the last call.
func (c *Client) TakeSends() []protocol.Outbound {
	out := c.sends
	c.sends = nil
	return out
}

// send sends a request to the head or tail of the view's chain. Without a view, it schedules a
// retry after refusedBackoff.
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

// queryView asks one of the contacts and known voters for a newer view, in rotation.
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
