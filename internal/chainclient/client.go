// Package chainclient has requests answered by the control plane: writes are sent to the head of the
// chain and reads to its tail, whose answers come back from the tail. It follows the view, asks again
// where an answer does not come, and tells at the end whether a request may have been taken. It is a pure
// state machine.
package chainclient

import (
	"maps"
	"slices"
	"time"

	"frosttide/internal/protocol"
	"frosttide/internal/view"
)

// Outcome is how a request ended.
type Outcome struct {
	ID              uint64
	Reply           *protocol.ClientReply // nil where none came
	MayHaveExecuted bool                  // without a reply: the control plane may have taken it; every attempt that it did not surely refuse counts
	Elapsed         time.Duration
}

// Send is a message to the process at an internal address.
type Send struct {
	To      string
	Message *protocol.Envelope
}

// request is a request that has no answer yet.
type request struct {
	message         *protocol.ClientRequest
	read            bool
	startedAt       time.Duration
	deadline        time.Duration // no answer is waited for beyond it
	unsentDeadline  time.Duration // it is given up at that time unless it has been sent
	sent            bool
	attempts        uint32
	refusedAttempts map[uint32]bool // attempts that were surely not taken
	resendAt        time.Duration   // when it is sent again
}

// Client is a process's access to the control plane. It is not safe for concurrent use.
type Client struct {
	incarnation   uint64
	now           time.Duration
	contacts      []string
	contactIndex  int
	view          *protocol.View
	lastReplyAt   time.Duration // when the control plane last answered anything
	viewQueriedAt time.Duration // when the view was last asked for
	lastID        uint64
	pending       map[uint64]*request
	outcomes      []Outcome
	sends         []Send
}

const (
	// resendAfter is how long an answer is waited for until the request is sent again. It is well above
	// what a slow disk takes.
	resendAfter = 400 * time.Millisecond
	// refusedBackoff is the pause after a member has said that it does not hold the role asked for.
	refusedBackoff = 25 * time.Millisecond
	// viewQueryInterval is how often the view is asked for while requests have no answer.
	viewQueryInterval = 60 * time.Millisecond
	// viewSuspectAfter is how long a request may have no answer until the view is doubted.
	viewSuspectAfter = 120 * time.Millisecond
)

// idBits is how many of a request's id count; those above are drawn with the process, so that an answer
// for an earlier process at the same address is not taken.
const idBits = 24

// New returns a client that asks the processes at some internal addresses for the view.
func New(incarnation uint64, contacts []string) *Client {
	return &Client{incarnation: incarnation, contacts: contacts, lastID: incarnation << idBits, pending: make(map[uint64]*request)}
}

// SetContacts replaces the processes that are asked for the view at first.
func (c *Client) SetContacts(contacts []string) {
	if len(contacts) > 0 {
		c.contacts = contacts
	}
}

// View returns the newest view that is known, nil before any is.
func (c *Client) View() *protocol.View { return c.view }

// Do begins a request and returns its id. It is given up at the deadline, or at unsentBy where nobody
// could be found to send it to.
func (c *Client) Do(now time.Duration, r *protocol.ClientRequest, read bool, deadline, unsentDeadline time.Duration) uint64 {
	c.now = now
	c.lastID++
	r.Id, r.Incarnation = c.lastID, c.incarnation
	req := &request{message: r, read: read, startedAt: now, deadline: deadline, unsentDeadline: min(unsentDeadline, deadline)}
	c.pending[r.GetId()] = req
	c.send(req)
	return r.GetId()
}

// Cancel forgets a request whose client has gone.
func (c *Client) Cancel(id uint64) { delete(c.pending, id) }

// send sends a request to whom the view names.
func (c *Client) send(req *request) {
	if c.view == nil {
		req.resendAt = c.now + refusedBackoff
		return
	}
	id := view.Head(c.view)
	if req.read {
		id = view.Tail(c.view)
	}
	to := view.Find(c.view.GetVoters(), id)
	req.resendAt = c.now + resendAfter
	req.sent = true
	req.attempts++
	message := &protocol.ClientRequest{Id: req.message.GetId(), Incarnation: req.message.GetIncarnation(), Op: req.message.GetOp(), Attempt: req.attempts}
	c.sends = append(c.sends, Send{To: to.GetAddress(), Message: &protocol.Envelope{Body: &protocol.Envelope_ClientRequest{ClientRequest: message}}})
}

// recordRefusal notes an attempt that was surely not taken.
func (req *request) recordRefusal(attempt uint32) {
	if attempt == 0 || attempt > req.attempts {
		return
	}
	if req.refusedAttempts == nil {
		req.refusedAttempts = make(map[uint32]bool)
	}
	req.refusedAttempts[attempt] = true
}

// mayHaveExecuted tells whether an attempt may have been taken.
func (req *request) mayHaveExecuted() bool { return len(req.refusedAttempts) < int(req.attempts) }

// UpdateView notes a view; requests without an answer are sent again where it is newer.
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

// Reply handles an answer.
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
	c.lastReplyAt = now
	delete(c.pending, r.GetId())
	c.outcomes = append(c.outcomes, Outcome{ID: r.GetId(), Reply: r, MayHaveExecuted: true, Elapsed: now - req.startedAt})
}

// Tick lets time pass.
func (c *Client) Tick(now time.Duration) {
	c.now = now
	viewSuspect := false
	for _, id := range slices.Sorted(maps.Keys(c.pending)) {
		req := c.pending[id]
		switch {
		case now >= req.deadline, !req.sent && now >= req.unsentDeadline:
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

// queryView asks another core member each time for a newer view.
func (c *Client) queryView() {
	c.viewQueriedAt = c.now
	addresses := append([]string(nil), c.contacts...)
	for _, m := range c.view.GetVoters() {
		addresses = append(addresses, m.GetAddress())
	}
	if len(addresses) == 0 {
		return
	}
	c.contactIndex++
	c.sends = append(c.sends, Send{To: addresses[c.contactIndex%len(addresses)],
		Message: &protocol.Envelope{Body: &protocol.Envelope_ViewQuery{ViewQuery: &protocol.ViewQuery{Epoch: c.view.GetEpoch()}}}})
}

// Pending returns how many requests have no answer.
func (c *Client) Pending() int { return len(c.pending) }

// TakeOutcomes returns the requests that have ended since the last call.
func (c *Client) TakeOutcomes() []Outcome {
	out := c.outcomes
	c.outcomes = nil
	return out
}

// TakeSends returns the messages to be sent since the last call.
func (c *Client) TakeSends() []Send {
	out := c.sends
	c.sends = nil
	return out
}
