package simnet

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"frosttide/internal/data/agent"
	"frosttide/internal/protocol"
)

// heartbeatBody is the JSON body of a heartbeat. Runners are not part of the system, so they encode
// and decode bodies by other means than the agents.
type heartbeatBody struct {
	Service  string
	Slots    int64
	State    string
	Capacity capacityBody
	Labels   []string
	Sequence uint64
	Running  [][]any
	Finished [][]any
}

// capacityBody is the member Capacity of a heartbeat.
type capacityBody struct {
	CPU   int64 `json:"Cpu"`
	MemMB int64 `json:"MemMb"`
}

// transmitHeartbeat returns a heartbeat as the agent receives it. To save time, only those heartbeats
// are encoded that hold a text for the first time: a runner's first, and those that list an end for
// the first time.
func (r *runner) transmitHeartbeat(heartbeat *agent.Heartbeat) (*agent.Heartbeat, error) {
	newest := r.newestTransmittedEnd
	if ends := heartbeat.Finished; len(ends) > 0 {
		r.newestTransmittedEnd = max(newest, ends[len(ends)-1].GetNumber())
	}
	if heartbeat.Sequence > 1 && r.newestTransmittedEnd == newest {
		return heartbeat, nil
	}
	return agent.ParseHeartbeat(heartbeat.Account.GetId(), encodeHeartbeat(heartbeat))
}

// transmitResponse returns a response as the runner receives it. To save time, only those responses
// are encoded that hold texts.
func transmitResponse(response agent.HeartbeatResponse) (agent.HeartbeatResponse, error) {
	if len(response.Start) == 0 && len(response.Stop) == 0 {
		return response, nil
	}
	body := response.Encode()
	if len(body) > maxResponseBytes {
		return agent.HeartbeatResponse{}, errors.Newf("response of %d bytes", len(body))
	}
	return decodeResponse(body)
}

// encodeHeartbeat returns the body of a heartbeat.
func encodeHeartbeat(heartbeat *agent.Heartbeat) []byte {
	account := heartbeat.Account
	body := heartbeatBody{Service: account.GetService(), Slots: account.GetSlots(), State: "ready", Labels: account.GetLabels(), Sequence: heartbeat.Sequence}
	if account.GetDraining() {
		body.State = "draining"
	}
	body.Capacity = capacityBody{CPU: account.GetCapacity().GetCpu(), MemMB: account.GetCapacity().GetMemMb()}
	for _, run := range heartbeat.Running {
		body.Running = append(body.Running, []any{run.GetTask(), run.GetRun(), run.GetSaved(), run.GetPercent()})
	}
	for _, end := range heartbeat.Finished {
		body.Finished = append(body.Finished, []any{end.GetNumber(), end.GetTask(), end.GetRun(), end.GetHow(), end.GetSaved()})
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(err) // the body holds only texts and numbers
	}
	return encoded
}

// responseBody is the JSON body of a response to a heartbeat.
type responseBody struct {
	LastSeen, FenceToken uint64
	RetryMs, HoldMs      int64
	Start                []startOrder
	Stop                 []stopOrder
}

// startOrder is an entry [task, run, spec, checkpoint] of Start.
type startOrder struct{ protocol.RunOrder }

// UnmarshalJSON implements json.Unmarshaler.
func (o *startOrder) UnmarshalJSON(body []byte) error {
	return json.Unmarshal(body, &[]any{&o.Task, &o.Run, &o.Spec, &o.Saved})
}

// stopOrder is an entry [task, run] of Stop.
type stopOrder struct{ protocol.RunRef }

// UnmarshalJSON implements json.Unmarshaler.
func (o *stopOrder) UnmarshalJSON(body []byte) error {
	return json.Unmarshal(body, &[]any{&o.Task, &o.Run})
}

// decodeResponse decodes the body of a response. If the body is no JSON, a runner can follow nothing
// in it.
func decodeResponse(body []byte) (agent.HeartbeatResponse, error) {
	var decoded responseBody
	if err := json.Unmarshal(body, &decoded); err != nil {
		return agent.HeartbeatResponse{}, errors.Wrapf(err, "response %s", body)
	}
	response := agent.HeartbeatResponse{
		RunLease:          time.Duration(decoded.HoldMs) * time.Millisecond,
		Acknowledged:      decoded.LastSeen,
		FencingToken:      decoded.FenceToken,
		HeartbeatInterval: time.Duration(decoded.RetryMs) * time.Millisecond,
	}
	for i := range decoded.Start {
		response.Start = append(response.Start, &decoded.Start[i].RunOrder)
	}
	for i := range decoded.Stop {
		response.Stop = append(response.Stop, &decoded.Stop[i].RunRef)
	}
	return response, nil
}
