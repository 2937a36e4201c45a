package handover

import (
	"encoding/json"

	"frosttide/internal/dispatcher/core"
)

// State is the state that a process sends to the newer process that replaces it.
type State struct {
	Discovery string          `json:"discovery"` // address of discovery, the source of the list
	List      json.RawMessage `json:"list"`      // the workers, in discovery's format
	Core      core.Snapshot   `json:"core"`
}

// HasMembers reports whether the list is valid and contains at least one worker.
func (s *State) HasMembers() bool {
	var list struct {
		Targets []json.RawMessage `json:"targets"`
	}
	return json.Unmarshal(s.List, &list) == nil && len(list.Targets) > 0
}

// message is one message on the link, which is sent as one line of JSON. An empty message is a
// heartbeat.
type message struct {
	State     *State          `json:"state,omitempty"`
	Ready     bool            `json:"ready,omitempty"` // the newer process serves
	Exclusion *core.Exclusion `json:"exclusion,omitempty"`
	Event     *core.JobEvent  `json:"event,omitempty"`  // report on a job not held by the sender
	RequestID uint64          `json:"number,omitempty"` // in a request, and in the response to it
	Accepted  bool            `json:"took,omitempty"`   // response: the request was accepted
	Moving    bool            `json:"moving,omitempty"` // response: the job moves to the receiver
	Transfer  *transfer       `json:"client,omitempty"` // a connection, with ancillary data

	descriptor *descriptor // of Transfer; set at the sender only
}

// transfer is a client's connection that moves to the other process: the bytes of the request that
// were read from it, and the state of that request.
type transfer struct {
	Request []byte             `json:"request"`
	Moved   *core.MovedRequest `json:"moved"`
}
