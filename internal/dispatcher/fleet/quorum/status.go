package quorum

import (
	"strings"
	"time"

	"github.com/hashicorp/raft"
)

// Status describes a member's replica of the log, for operators.
type Status struct {
	ID        string   `json:"id"`      // server ID, NAME/DISK, or NAME without a disk
	Role      string   `json:"role"`    // Raft's state: follower, candidate, leader or shutdown
	Leader    string   `json:"leader"`  // name of the leader, empty for none
	Term      uint64   `json:"term"`    // Raft's current term
	Last      uint64   `json:"last"`    // index of the last entry of this member's log
	Applied   uint64   `json:"applied"` // index of the last applied entry
	Contact   float64  `json:"contact"` // seconds since contact with the leader; -1 for never
	Voters    []string `json:"voters"`
	Followers []string `json:"followers"`      // names of the non-voters
	Lost      string   `json:"lost,omitempty"` // what is known of a lost log, empty for none
}

// Status returns the current status of this member's replica.
func (q *Quorum) Status() Status {
	s := Status{ID: string(q.id), Role: strings.ToLower(q.raft.State().String()), Term: q.raft.CurrentTerm(),
		Last: q.raft.LastIndex(), Applied: q.raft.AppliedIndex(), Contact: -1}
	s.Leader, _ = q.Leader()
	if reason := q.lostReason.Load(); reason != nil && !q.hasNamedLeader() {
		s.Lost = *reason
	}
	if lastContact := q.raft.LastContact(); q.IsLeader() {
		s.Contact = 0
	} else if !lastContact.IsZero() {
		s.Contact = time.Since(lastContact).Seconds()
	}
	for _, server := range q.servers() {
		if server.Suffrage == raft.Voter {
			s.Voters = append(s.Voters, memberName(server.ID))
		} else {
			s.Followers = append(s.Followers, memberName(server.ID))
		}
	}
	return s
}
