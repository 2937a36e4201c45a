package agent

import (
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fastjson"

	"frosttide/internal/jsonbody"
	"frosttide/internal/protocol"
)

// ErrHeartbeat marks the errors of parsing a heartbeat's body; test for it with errors.Is.
var ErrHeartbeat = errors.New("heartbeat")

// heartbeatError returns an error that is marked with ErrHeartbeat.
func heartbeatError(format string, args ...any) error {
	return errors.Mark(errors.Newf("heartbeat: "+format, args...), ErrHeartbeat)
}

// ParseHeartbeat parses the JSON body of a heartbeat. id is the ID of the runner, which is part of
// the request's path. Unknown members are ignored; members that are missing or of the wrong type
// read as the zero value, except for malformed entries of Running and Finished, which are errors.
func ParseHeartbeat(id string, body []byte) (*Heartbeat, error) {
	v, err := jsonbody.Parse(body)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "heartbeat: the body can't be read"), ErrHeartbeat)
	}
	if v.Type() != fastjson.TypeObject {
		return nil, heartbeatError("the body is no object")
	}
	heartbeat := &Heartbeat{Sequence: v.GetUint64("Sequence"), Account: parseAccount(id, v)}
	for _, entry := range v.GetArray("Running") {
		progress, err := parseProgress(entry)
		if err != nil {
			return nil, err
		}
		heartbeat.Running = append(heartbeat.Running, progress)
	}
	for _, entry := range v.GetArray("Finished") {
		end, err := parseEnd(entry)
		if err != nil {
			return nil, err
		}
		heartbeat.Finished = append(heartbeat.Finished, end)
	}
	return heartbeat, nil
}

// parseAccount parses the members of a heartbeat that describe the runner.
func parseAccount(id string, v *fastjson.Value) *protocol.RunnerAccount {
	capacity := v.Get("Capacity")
	account := &protocol.RunnerAccount{
		Id:          id,
		Service:     stringField(v, "Service"),
		Address:     stringField(v, "Address"),
		Zone:        stringField(v, "Zone"),
		Version:     stringField(v, "Version"),
		Slots:       v.GetInt64("Slots"),
		Draining:    stringField(v, "State") == "draining",
		RemainingMs: v.GetInt64("RemainingMs"),
		ColdMs:      v.GetInt64("ColdRemainingMs"),
		Capacity: &protocol.Capacity{
			Cpu:   capacity.GetInt64("Cpu"),
			MemMb: capacity.GetInt64("MemMb"),
			Gpus:  capacity.GetInt64("Gpus"),
		},
	}
	for _, label := range v.GetArray("Labels") {
		account.Labels = append(account.Labels, string(label.GetStringBytes()))
	}
	return account
}

// stringField returns a string member.
func stringField(v *fastjson.Value, name string) string { return string(v.GetStringBytes(name)) }

// parseProgress parses an entry [task, run, checkpoint, percent] of Running. The last two elements
// are optional.
func parseProgress(entry *fastjson.Value) (*protocol.RunProgress, error) {
	fields, err := entry.Array()
	if err != nil || len(fields) < 2 {
		return nil, heartbeatError("Running: an entry is no list")
	}
	progress := &protocol.RunProgress{Task: string(fields[0].GetStringBytes()), Run: uint32(fields[1].GetUint())}
	if len(fields) > 3 {
		progress.Saved, progress.Percent = checkpoint(fields[2]), uint32(fields[3].GetUint())
	}
	return progress, nil
}

// checkpoint returns the checkpoint of a run, or none if it is longer than protocol.MaxCheckpointBytes:
// the task then resumes from an earlier one.
func checkpoint(v *fastjson.Value) string {
	text := v.GetStringBytes()
	if len(text) > protocol.MaxCheckpointBytes {
		return ""
	}
	return string(text)
}

// parseEnd parses an entry [number, task, run, how, checkpoint] of Finished. The last element is
// optional.
func parseEnd(entry *fastjson.Value) (*protocol.RunEnd, error) {
	fields, err := entry.Array()
	if err != nil || len(fields) < 4 {
		return nil, heartbeatError("Finished: an entry is no list")
	}
	end := &protocol.RunEnd{
		Number: fields[0].GetUint64(),
		Task:   string(fields[1].GetStringBytes()),
		Run:    uint32(fields[2].GetUint()),
		How:    string(fields[3].GetStringBytes()),
	}
	if len(fields) > 4 {
		end.Saved = checkpoint(fields[4])
	}
	return end, nil
}

// Encode returns the JSON body of the response.
func (r *HeartbeatResponse) Encode() []byte {
	out := make([]byte, 0, 256)
	out = append(out, `{"LastSeen":`...)
	out = strconv.AppendUint(out, r.Acknowledged, 10)
	out = append(out, `,"FenceToken":`...)
	out = strconv.AppendUint(out, r.FencingToken, 10)
	out = append(out, `,"RetryMs":`...)
	out = strconv.AppendInt(out, r.HeartbeatInterval.Milliseconds(), 10)
	if r.RunLease > 0 {
		out = append(out, `,"HoldMs":`...)
		out = strconv.AppendInt(out, r.RunLease.Milliseconds(), 10)
	}
	if len(r.Start) > 0 {
		out = append(out, `,"Start":[`...)
		out = appendStarts(out, r.Start)
		out = append(out, ']')
	}
	if len(r.Stop) > 0 {
		out = append(out, `,"Stop":[`...)
		out = appendStops(out, r.Stop)
		out = append(out, ']')
	}
	return append(out, '}')
}

// appendStarts appends a JSON array [task, run, spec, checkpoint] for each run to start, separated
// by commas.
func appendStarts(out []byte, starts []*protocol.RunOrder) []byte {
	for i, start := range starts {
		if i > 0 {
			out = append(out, ',')
		}
		out = append(out, '[')
		out = jsonbody.AppendString(out, start.GetTask())
		out = append(out, ',')
		out = strconv.AppendUint(out, uint64(start.GetRun()), 10)
		out = append(out, ',')
		out = jsonbody.AppendString(out, start.GetSpec())
		out = append(out, ',')
		out = jsonbody.AppendString(out, start.GetSaved())
		out = append(out, ']')
	}
	return out
}

// appendStops appends a JSON array [task, run] for each run to stop, separated by commas.
func appendStops(out []byte, stops []*protocol.RunRef) []byte {
	for i, stop := range stops {
		if i > 0 {
			out = append(out, ',')
		}
		out = append(out, '[')
		out = jsonbody.AppendString(out, stop.GetTask())
		out = append(out, ',')
		out = strconv.AppendUint(out, uint64(stop.GetRun()), 10)
		out = append(out, ']')
	}
	return out
}
