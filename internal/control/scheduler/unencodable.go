package scheduler

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"frosttide/internal/control/store"
	"frosttide/internal/protocol"
)

// Changes that can't be encoded. Texts are checked where they enter the system, so that there are none. If one is found
// nevertheless, it costs the request that it came with, and the other changes of the same turn, but not the head: the
// entry is not appended, and the state, which includes its changes, is loaded from the store again.

// encodingError returns the reason why the changes of this turn can't be encoded, or nil.
func (s *Scheduler) encodingError() error {
	return errors.CombineErrors(s.jobs.Writes.Err(), s.writes.Err())
}

// rejectUnencodable replies to a request whose changes can't be encoded. Unlike other replies, this one does not depend on
// the state, so that it is sent without an entry.
func (s *Scheduler) rejectUnencodable(from string, r *protocol.ClientRequest, err error) {
	reply := &protocol.ClientReply{Id: r.GetId(), Status: http.StatusBadRequest, Body: []byte(err.Error())}
	s.sends = append(s.sends, protocol.Outbound{To: from, Message: &protocol.Envelope{Body: &protocol.Envelope_ClientReply{ClientReply: reply}}})
}

// Replacement returns a scheduler for the same epoch that continues from the store instead of this one's state. All entries
// up to index, the newest one, must be committed. It returns an error if a part of the state can't be decoded.
func (s *Scheduler) Replacement(now time.Duration, wallMs int64, index uint64, state *store.Store) (*Scheduler, error) {
	next, err := New(s.cfg, now, wallMs, s.epoch, index, state)
	if err != nil {
		return nil, err
	}
	next.confirmedAt = s.confirmedAt
	next.lastSession = s.lastSession // agents ignore orders of a session with a lower number
	return next, nil
}
