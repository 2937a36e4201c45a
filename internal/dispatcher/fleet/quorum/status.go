package quorum

import (
	"strings"
	"time"

	"github.com/hashicorp/raft"
)

// Status describes a member's part in the log, for operators.
type Status struct {
	ID        string   `json:"id"`
	Role      string   `json:"role"`
	Leader    string   `json:"leader"`
	Term      uint64   `json:"term"`
	Last      uint64   `json:"last"`    // index of the last entry here
	Applied   uint64   `json:"applied"` // index of the last applied entry
	Contact   float64  `json:"contact"` // seconds since the last contact with the leader; -1 for never
	Voters    []string `json:"voters"`
	Followers []string `json:"followers"`
	Lost      string   `json:"lost,omitempty"` // what is known of a lost log
}

// Status returns the current status.
func (q *Quorum) Status() Status {
	s := Status{ID: string(q.id), Role: strings.ToLower(q.raft.State().String()), Term: q.raft.CurrentTerm(),
		Last: q.raft.LastIndex(), Applied: q.raft.AppliedIndex(), Contact: -1}
	s.Leader, _ = q.Leader()
	if why := q.lost.Load(); why != nil && !q.ledAndNamed() {
		s.Lost = *why
	}
	if at := q.raft.LastContact(); q.IsLeader() {
		s.Contact = 0
	} else if !at.IsZero() {
		s.Contact = time.Since(at).Seconds()
	}
	for _, x := range q.servers() {
		if x.Suffrage == raft.Voter {
			s.Voters = append(s.Voters, memberName(x.ID))
		} else {
			s.Followers = append(s.Followers, memberName(x.ID))
		}
	}
	return s
}
