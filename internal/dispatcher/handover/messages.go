package handover

import (
	"encoding/json"

	"frosttide/internal/dispatcher/core"
)

// State is what a process passes to its successor.
type State struct {
	Discovery string          `json:"discovery"` // address of discovery
	List      json.RawMessage `json:"list"`      // in discovery's form
	Core      core.Snapshot   `json:"core"`
}

// HasMembers reports whether the list names any worker.
func (s *State) HasMembers() bool {
	var list struct {
		Targets []json.RawMessage `json:"targets"`
	}
	return json.Unmarshal(s.List, &list) == nil && len(list.Targets) > 0
}

// message is one line on the link. An empty one is a heartbeat.
type message struct {
	State     *State          `json:"state,omitempty"`
	Ready     bool            `json:"ready,omitempty"` // the newer process serves
	Exclusion *core.Exclusion `json:"exclusion,omitempty"`
	Event     *core.JobEvent  `json:"event,omitempty"`  // a report on a job that the sender doesn't hold
	Number    uint64          `json:"number,omitempty"` // of a request on the link, and of the response to it
	Took      bool            `json:"took,omitempty"`   // the response
	Moving    bool            `json:"moving,omitempty"` // in it: the job was released to the receiver, or is about to come
	Client    *client         `json:"client,omitempty"` // a connection, whose descriptor comes beside the line

	socket *socket // the descriptor of Client, at the sender
}

// client is what has been read from a client's connection, and what has been done
// for the request.
type client struct {
	Request []byte             `json:"request"`
	Moved   *core.MovedRequest `json:"moved"`
}
